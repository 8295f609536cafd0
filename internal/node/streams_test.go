package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/affinity"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// streamNetwork is a network of routers whose datagrams take time and are lost.
type streamNetwork struct {
	delay time.Duration
	loss  float64
	// metrics are those of all routers.
	metrics *metrics

	mu      sync.Mutex
	random  *rand.Rand
	addrs   []netip.AddrPort
	routers map[netip.AddrPort]*streams
	// elders are the routers that all know in a large fleet.
	elders []netip.AddrPort
	// messages and bytes count what was sent.
	messages, bytes int
}

// newStreamNetwork returns a network of routers that know an engine of each of some releases; all
// of them know each other unless the fleet is large.
func newStreamNetwork(count int, large bool, releases ...ident.Release) *streamNetwork {
	n := &streamNetwork{delay: 2 * time.Millisecond, metrics: newMetrics(func() gaugeValues { return gaugeValues{} }), random: rand.New(rand.NewPCG(1, 2)), routers: map[netip.AddrPort]*streams{}}
	for index := range count {
		n.addrs = append(n.addrs, netip.MustParseAddrPort(fmt.Sprintf("10.%d.%d.1:7", index/250, index%250)))
	}
	if large {
		n.elders = n.addrs[:16]
	}
	for _, addr := range n.addrs {
		n.start(addr, releases...)
	}
	return n
}

// start starts a router, in place of an earlier one at the same address.
func (n *streamNetwork) start(addr netip.AddrPort, releases ...ident.Release) *streams {
	known := backend.NewRegistry(backend.Config{})
	var records []backend.Record
	for _, release := range releases {
		records = append(records, backend.Record{Instance: ident.Incarnation("i-" + release), Service: "s", Release: release, Slots: 1})
	}
	known.ApplyList(time.Now(), records)
	router := newStreams(&streams{
		backends: known, metrics: n.metrics, refresh: func(context.Context) {},
		routers: func() ([]netip.AddrPort, bool) { return n.others(addr) },
	})
	router.send = func(to netip.AddrPort, message *affinity.Message) { n.send(addr, to, message) }
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routers[addr] = router
	return router
}

func (n *streamNetwork) others(self netip.AddrPort) (others []netip.AddrPort, all bool) {
	known := n.addrs
	if n.elders != nil {
		known = n.elders
	}
	for _, addr := range known {
		if addr != self {
			others = append(others, addr)
		}
	}
	return others, n.elders == nil
}

func (n *streamNetwork) send(from, to netip.AddrPort, message *affinity.Message) {
	encoded, err := cbor.Marshal(datagram{Streams: message})
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	n.messages++
	n.bytes += len(encoded)
	lost := n.random.Float64() < n.loss
	n.mu.Unlock()
	if lost {
		return
	}
	time.AfterFunc(n.delay, func() {
		if router := n.at(to); router != nil {
			var received datagram
			if cbor.Unmarshal(encoded, &received) == nil {
				router.receive(from, received.Streams)
			}
		}
	})
}

func (n *streamNetwork) at(addr netip.AddrPort) *streams {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.routers[addr]
}

func (n *streamNetwork) setLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
}

func (n *streamNetwork) kill(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.routers, addr)
}

func streamKeyOf(number int) affinity.Key {
	return affinity.KeyOf("tenant", "h", "/path", ident.Request(strconv.Itoa(number)))
}

func originOf(release ident.Release) affinity.Origin {
	return affinity.Origin{Service: "s", Release: release}
}

// killOwner kills the router that began a stream right after that. It reports whether another one
// finds the stream, and in what time.
func (n *streamNetwork) killOwner(t *testing.T, number int) (found bool, took time.Duration) {
	owner, other := n.addrs[number%len(n.addrs)], n.addrs[(number+1)%len(n.addrs)]
	release := []ident.Release{"v1", "v2"}[number%2]
	n.at(owner).Began(streamKeyOf(number), originOf(release), time.Minute)
	n.kill(owner)
	// The client connects again no sooner than after two ways.
	time.Sleep(2 * n.delay)
	begun := time.Now()
	result, found := n.at(other).Find(t.Context(), streamKeyOf(number), "s").(affinity.Found)
	if found && result.Origin != originOf(release) {
		t.Errorf("stream %d of %s was found at %s", number, release, result.Origin.Release)
	}
	took = time.Since(begun)
	n.start(owner, "v1", "v2")
	return found, took
}

// Guards against streams whose origin is lost with the router that began them, and against work that
// grows with the number of routers. FIELDPOND_FLEET_ROUTERS adds a size.
func TestOriginsAreFoundAfterTheRouterThatBeganIsKilled(t *testing.T) {
	sizes := []int{7, 83, 300, 985}
	if more, err := strconv.Atoi(os.Getenv("FIELDPOND_FLEET_ROUTERS")); err == nil {
		sizes = append(sizes, more)
	}
	for _, size := range sizes {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d routers, loss %v", size, loss), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newStreamNetwork(size, size > 128, "v1", "v2")
					n.setLoss(loss)
					n.checkKilledOwners(t, 400)
				})
			})
		}
	}
}

// checkKilledOwners checks how many streams are found after their routers were killed, and at what
// cost.
func (n *streamNetwork) checkKilledOwners(t *testing.T, streamCount int) {
	found, slowest := 0, time.Duration(0)
	for number := range streamCount {
		known, took := n.killOwner(t, number)
		slowest = max(slowest, took)
		if known {
			found++
		}
	}
	t.Logf("%d of %d found, the slowest in %v; %.1f messages and %.0f bytes a stream", found, streamCount, slowest,
		float64(n.messages)/float64(streamCount), float64(n.bytes)/float64(streamCount))
	if found < streamCount*98/100 {
		t.Errorf("%d of %d found", found, streamCount)
	}
	// Three records and at most three asks with their answers, more where some are lost.
	if n.messages > 12*streamCount {
		t.Errorf("%d messages for %d streams", n.messages, streamCount)
	}
}

func TestStartedRouterFindsEarlierStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStreamNetwork(7, false, "v1", "v2")
		n.at(n.addrs[0]).Began(streamKeyOf(1), originOf("v2"), time.Minute)
		time.Sleep(10 * time.Millisecond)
		is.Equal(n.start(n.addrs[6], "v1", "v2").Find(t.Context(), streamKeyOf(1), "s").(affinity.Found).Origin, originOf("v2"))
		// Once found, it is known there.
		messages := n.messages
		n.at(n.addrs[6]).Find(t.Context(), streamKeyOf(1), "s")
		is.Equal(n.messages, messages)
	})
}

// Guards against a guess when all routers were killed.
func TestStreamsAreUnknownAfterAllRoutersWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStreamNetwork(7, false, "v1", "v2")
		n.at(n.addrs[0]).Began(streamKeyOf(1), originOf("v2"), time.Minute)
		time.Sleep(10 * time.Millisecond)
		for _, addr := range n.addrs {
			n.start(addr, "v1", "v2")
		}
		is.Equal(n.at(n.addrs[1]).Find(t.Context(), streamKeyOf(1), "s"), affinity.Unknown{Complete: true})
	})
}

func TestStoppingRouterHandsItsRecordsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStreamNetwork(7, false, "v1", "v2")
		for number := range 50 {
			n.at(n.addrs[number%7]).Began(streamKeyOf(number), originOf("v2"), time.Minute)
		}
		for _, addr := range n.addrs {
			time.Sleep(100 * time.Millisecond)
			n.at(addr).handOver()
			time.Sleep(100 * time.Millisecond)
			n.start(addr, "v1", "v2")
		}
		for number := range 50 {
			_, found := n.at(n.addrs[(number+3)%7]).Find(t.Context(), streamKeyOf(number), "s").(affinity.Found)
			is.True(found)
		}
	})
}

// Guards against a router with an old list that takes the release it knows for the only one.
func TestRouterWithOldListAsksOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStreamNetwork(7, false, "v1", "v2")
		old := n.start(n.addrs[6], "v1")
		is.Equal(old.Find(t.Context(), streamKeyOf(1), "s"), affinity.Unknown{Complete: true})
		for _, addr := range n.addrs {
			n.start(addr, "v1")
		}
		is.Equal(n.at(n.addrs[6]).Find(t.Context(), streamKeyOf(1), "s").(affinity.Found).Origin, originOf("v1"))
	})
}

// Guards against a router that is out of step and takes the release it knows for the only one: the holders tell.
func TestHoldersTellARouterThatIsOutOfStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStreamNetwork(7, false, "v1", "v2")
		behind := n.start(n.addrs[6], "v1")
		n.at(n.addrs[0]).Began(streamKeyOf(1), originOf("v2"), time.Minute)
		time.Sleep(10 * time.Millisecond)
		is.Equal(behind.AskHolders(t.Context(), streamKeyOf(1), "s").(affinity.Found).Origin, originOf("v2"))
		is.Equal(behind.AskHolders(t.Context(), streamKeyOf(2), "s"), affinity.Unknown{Complete: true, Several: true})
		for _, addr := range n.addrs[:6] {
			n.kill(addr)
		}
		begun := time.Now()
		is.Equal(behind.AskHolders(t.Context(), streamKeyOf(3), "s"), affinity.Unknown{})
		is.Equal(time.Since(begun), affinity.HoldersSearchTime)
	})
}

// Guards against a conclusion from the answers of few routers, by one that has not counted those that started with it.
func TestRouterThatHasNotCountedTheOthersDoesNotConclude(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStreamNetwork(3, false, "v1")
		started := n.at(n.addrs[0])
		counted := false
		started.counted = func() bool { return counted }
		is.Equal(started.Find(t.Context(), streamKeyOf(1), "s"), affinity.Unknown{})
		counted = true
		is.Equal(started.Find(t.Context(), streamKeyOf(1), "s").(affinity.Found).Origin, originOf("v1"))
	})
}

func TestSearchEndsWithItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStreamNetwork(7, false, "v1", "v2")
		for _, addr := range n.addrs[1:] {
			n.kill(addr)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		begun := time.Now()
		is.Equal(n.at(n.addrs[0]).Find(ctx, streamKeyOf(1), "s"), affinity.Unknown{})
		is.Equal(time.Since(begun), 10*time.Millisecond)
		is.Equal(n.at(n.addrs[0]).Find(t.Context(), streamKeyOf(1), "s"), affinity.Unknown{})
		is.Equal(time.Since(begun), 10*time.Millisecond+affinity.SearchTime)
		is.Equal(len(n.at(n.addrs[0]).searches), 0)
	})
}

func TestRepeatedRecordsReachHoldersThatMissedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newStreamNetwork(7, false, "v1", "v2")
		ctx, cancel := context.WithCancel(t.Context())
		go n.at(n.addrs[0]).run(ctx)
		n.setLoss(1)
		n.at(n.addrs[0]).Began(streamKeyOf(1), originOf("v2"), time.Minute)
		n.setLoss(0)
		time.Sleep(2 * streamsTick)
		n.kill(n.addrs[0])
		_, found := n.at(n.addrs[1]).Find(t.Context(), streamKeyOf(1), "s").(affinity.Found)
		is.True(found)
		cancel()
		synctest.Wait()
	})
}

// Guards against datagrams that are split or dropped for their size.
func TestMessagesFitIntoDatagrams(t *testing.T) {
	is := is.New(t)
	var message affinity.Message
	for number := range affinity.RecordsPerMessage {
		message.Records = append(message.Records, affinity.Record{
			Key: streamKeyOf(number), Origin: affinity.Origin{Service: "a-service-of-a-usual-length", Release: "v2026.12.1-rc3"}, TTL: affinity.MaxTTL,
		})
	}
	encoded, err := cbor.Marshal(datagram{Streams: &message})
	is.NoErr(err)
	is.True(len(encoded) <= 1400)
}
