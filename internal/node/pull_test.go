package node

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/promptcache"
	"github.com/fieldpond/fieldpond/internal/region"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// zone is a group of routers before one store, in virtual time. Pulls are
// direct calls, held back for as long as a Server would.
type zone struct {
	store *fakeStore
	// guard, if set, prepares each life of a router before it runs.
	guard func(ctx context.Context, running *zoneRouter)

	// regions tells the regions of the routers' zones.
	regions region.Map

	mu      sync.Mutex
	routers map[ident.Node]*zoneRouter
	// apart tells which zones do not reach each other; nil means that all do.
	apart func(a, b ident.Zone) bool
}

// zoneSharers are those of a zone's routers: a count each 5s, and state of 1.4s at most.
var zoneSharers = admission.SharersConfig{Window: 10 * time.Second, Lag: 6400 * time.Millisecond}

type zoneRouter struct {
	zone     *zone
	node     ident.Node
	follower *follower
	stop     context.CancelFunc
	// reads counts the calls to the store that this router made.
	reads int
	// cut routers do not reach the store, dead ones answer no pull.
	cut, dead bool
}

func newZone() *zone {
	z := &zone{store: newFakeStore(), routers: map[ident.Node]*zoneRouter{}}
	z.store.reading.Revision = 1
	z.store.records = []backend.Record{{Instance: "a", Service: "s", Revision: 1}}
	return z
}

// start starts a life of a router; its zone is named by the first letter after a
// dash, if there is one.
func (z *zone) start(ctx context.Context, node ident.Node) *zoneRouter {
	_, place, _ := strings.Cut(string(node), "-")
	running := &zoneRouter{zone: z, node: node}
	ctx, running.stop = context.WithCancel(ctx)
	running.follower = &follower{
		source:  running,
		replica: newReplica(node, &catalog.Holder{}, backend.NewRegistry(backend.Config{}), z.store.Decode, zoneSharers),
		namings: &namings{table: z.store, timeout: time.Second},
		roster: &roster{
			table: z.store, timeout: time.Second, node: node, zone: ident.Zone("z" + place),
			addr: netip.MustParseAddrPort("10.0.0.1:1"), life: fmt.Sprint(time.Now()),
		},
		audience:  &audience{node: node},
		client:    running,
		chain:     newChainGuard(upstream.Config{Stagger: 700 * time.Millisecond, StaleAfter: 1400 * time.Millisecond, Regions: z.regions}),
		lost:      func(string) {},
		pulled:    func(string) {},
		startedAt: time.Now(),
		config: FollowConfig{
			ConfigurationInterval: 700 * time.Millisecond, BackendInterval: 500 * time.Millisecond,
			ReadTimeout: time.Second, RetryPause: 100 * time.Millisecond, RosterInterval: 5 * time.Second,
		},
	}
	z.mu.Lock()
	z.routers[node] = running
	z.mu.Unlock()
	if z.guard != nil {
		z.guard(ctx, running)
	}
	go running.follower.followConfiguration(ctx)
	go running.follower.followBackends(ctx)
	go running.follower.followPeers(ctx)
	go running.follower.countRouters(ctx, func() bool { return false })
	return running
}

func (z *zone) set(node ident.Node, change func(*zoneRouter)) {
	z.mu.Lock()
	defer z.mu.Unlock()
	change(z.routers[node])
}

// kill ends a router without a planned stop.
func (z *zone) kill(node ident.Node) {
	z.set(node, func(r *zoneRouter) {
		r.dead = true
		r.stop()
	})
}

// reads returns the calls to the store since the last look.
func (z *zone) reads() (total int, by map[ident.Node]int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	by = map[ident.Node]int{}
	for node, running := range z.routers {
		total += running.reads
		by[node] = running.reads
		running.reads = 0
	}
	return total, by
}

func (r *zoneRouter) ask() error {
	r.zone.mu.Lock()
	defer r.zone.mu.Unlock()
	r.reads++
	if r.cut {
		return errors.New("cut off")
	}
	return nil
}

// Configuration implements Source.
func (r *zoneRouter) Configuration(ctx context.Context) (Reading, error) {
	if err := r.ask(); err != nil {
		return Reading{}, err
	}
	return r.zone.store.Configuration(ctx)
}

// Decode implements Source.
func (r *zoneRouter) Decode(body []byte) (*catalog.Snapshot, error) { return r.zone.store.Decode(body) }

// Backends implements Source.
func (r *zoneRouter) Backends(ctx context.Context) ([]backend.Record, error) {
	if err := r.ask(); err != nil {
		return nil, err
	}
	return r.zone.store.Backends(ctx)
}

// Pull implements puller.
func (r *zoneRouter) Pull(ctx context.Context, peer upstream.Peer, pull *upstream.Pull) (*upstream.Update, time.Time, error) {
	r.zone.mu.Lock()
	asked := r.zone.routers[peer.Node]
	dead := asked == nil || asked.dead
	apart := r.zone.apart != nil && r.zone.apart(pull.From.Zone, peer.Zone)
	r.zone.mu.Unlock()
	if apart {
		wait.For(ctx, 250*time.Millisecond)
		return nil, time.Time{}, errors.New("timed out")
	}
	if dead {
		wait.For(ctx, 10*time.Millisecond)
		return nil, time.Time{}, errors.New("refused")
	}
	askedAt := time.Now()
	asked.follower.chain.followed(pull.From)
	if !upstream.Hold(ctx, asked.follower.replica, pull) {
		return nil, time.Time{}, ctx.Err()
	}
	now := time.Now()
	update := asked.follower.replica.Update(now, pull)
	update.Held = now.Sub(askedAt)
	return update, askedAt.Add(update.Held), nil
}

var _ store.Table = (*fakeStore)(nil)

// version returns the version in force at a router.
func (r *zoneRouter) version() uint64 {
	snapshot := r.follower.replica.holder.View().Snapshot
	if snapshot == nil {
		return 0
	}
	return snapshot.Version
}

// startZone starts routers one after the other and lets them settle.
func startZone(t *testing.T, nodes ...ident.Node) *zone {
	t.Helper()
	z := newZone()
	for _, node := range nodes {
		z.start(t.Context(), node)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	z.reads()
	return z
}

func (z *zone) adopt(version uint64) {
	z.store.change(func() {
		z.store.reading.Revision, z.store.snapshot.Version = z.store.reading.Revision+1, version
	})
}

// adopted fails unless all routers that are up have a version.
func (z *zone) adopted(t *testing.T, version uint64) {
	t.Helper()
	z.mu.Lock()
	defer z.mu.Unlock()
	for node, running := range z.routers {
		if !running.dead && running.version() != version {
			t.Errorf("%s has version %d, not %d", node, running.version(), version)
		}
	}
}

func TestOneRouterReadsTheStoreForItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b", "c", "d")
		time.Sleep(10 * time.Second)
		total, by := z.reads()
		is.Equal(by["a"], total)
		is.True(total <= 36) // 10s / 0.7s + 10s / 0.5s, and the ends
		z.adopt(5)
		time.Sleep(750 * time.Millisecond)
		z.adopted(t, 5)
		z.store.change(func() {
			z.store.records = append(z.store.records, backend.Record{Instance: "b", Service: "s", Revision: 2})
		})
		time.Sleep(550 * time.Millisecond)
		for _, running := range z.routers {
			is.Equal(len(running.follower.replica.backends.Records()), 2)
			is.Equal(running.follower.replica.Routers(), 4)
		}
	})
}

func TestOneRouterReadsTheStoreForAllZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a-x", "b-y", "c-x", "d-y", "e-z")
		time.Sleep(10 * time.Second)
		total, by := z.reads()
		is.Equal(by["a-x"], total)
		z.adopt(5)
		time.Sleep(750 * time.Millisecond)
		z.adopted(t, 5)
		z.kill("a-x")
		time.Sleep(3 * time.Second)
		z.reads()
		z.adopt(6)
		time.Sleep(1500 * time.Millisecond)
		z.adopted(t, 6)
		time.Sleep(10 * time.Second)
		total, by = z.reads()
		is.Equal(by["b-y"], total)
	})
}

// Routers that start together are supplied by the first of them, and so are those
// that start again together, whose rows of former lives are still there.
func TestAStartOfAllRoutersIsNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone()
		const routers = 60
		name := func(i int) ident.Node { return ident.Node(fmt.Sprintf("r%02d-%d", i, i%3)) }
		startAll := func() {
			for i := range routers {
				z.start(t.Context(), name(i))
				time.Sleep(2 * time.Millisecond)
			}
		}
		startAll()
		time.Sleep(time.Second)
		z.adopted(t, 1)
		total, _ := z.reads()
		is.True(total <= 3*2) // the first of each zone, if at all
		for i := range routers {
			z.kill(name(i))
		}
		startAll()
		time.Sleep(time.Second)
		z.adopted(t, 1)
		total, _ = z.reads()
		t.Logf("%d reads after the restart", total)
		is.True(total <= routers/2)
	})
}

// What one router reads of a store of prompt caches, all others of the zone learn.
func TestWhatCachesHoldIsPulled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
		store := netip.MustParseAddrPort("10.0.0.9:1")
		part := promptcache.Part{Salt: "v1", ID: "p"}
		caches := func(node ident.Node) *promptcache.Index { return z.routers[node].follower.replica.caches }
		caches("a").Replace(time.Now(), store, &promptcache.Listing{Epoch: 1, Next: 5})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(caches("l").Holds(time.Now(), store, part, 100), promptcache.Missing)
		caches("a").Apply(time.Now(), store, &promptcache.Changes{
			Epoch: 1, Next: 6, Changes: []promptcache.Change{{Part: part, Tokens: 100}},
		})
		time.Sleep(1500 * time.Millisecond)
		for node := range z.routers {
			is.Equal(caches(node).Holds(time.Now(), store, part, 100), promptcache.Held)
		}
		time.Sleep(5 * time.Second) // the reader hears nothing more of the store
		is.Equal(caches("l").Holds(time.Now(), store, part, 100), promptcache.Unknown)
	})
}

// A router whose peers know nothing reads the store soon.
func TestAStartingRouterDoesNotWaitForDeadPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startZone(t, "a", "b", "c")
		for _, node := range []ident.Node{"a", "b", "c"} {
			z.kill(node)
		}
		z.start(t.Context(), "d")
		time.Sleep(startPatience + startStagger + startPause)
		z.adopted(t, 1)
	})
}

// What a follower believes is never dated later than the read it comes from.
func TestPulledStateKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b")
		z.store.change(func() { z.store.down = true })
		time.Sleep(time.Minute)
		one, other := z.routers["a"].follower.replica, z.routers["b"].follower.replica
		is.True(!other.holder.View().ConfirmedAt.After(one.holder.View().ConfirmedAt))
		is.True(one.holder.View().Age(time.Now()) >= time.Minute)
	})
}

func TestNewsReachEveryRouterWhateverHappensToTheReader(t *testing.T) {
	tests := []struct {
		name string
		hit  func(ctx context.Context, z *zone)
	}{
		{"killed", func(_ context.Context, z *zone) { z.kill("a") }},
		{"two killed", func(_ context.Context, z *zone) { z.kill("a"); z.kill("b") }},
		{"cut from the store", func(_ context.Context, z *zone) { z.set("a", func(r *zoneRouter) { r.cut = true }) }},
		{"restarted", func(ctx context.Context, z *zone) { z.kill("a"); z.start(ctx, "a") }},
		{"all restarted", func(ctx context.Context, z *zone) {
			for _, node := range []ident.Node{"d", "c", "b", "a"} {
				z.kill(node)
				z.start(ctx, node)
			}
		}},
		{"most cut from the store", func(_ context.Context, z *zone) {
			for _, node := range []ident.Node{"a", "b", "c"} {
				z.set(node, func(r *zoneRouter) { r.cut = true })
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := startZone(t, "a", "b", "c", "d")
				tt.hit(t.Context(), z)
				time.Sleep(3 * time.Second) // those who pull have found out
				z.adopt(7)
				time.Sleep(2 * time.Second)
				z.adopted(t, 7)
				time.Sleep(time.Minute)
				z.adopt(9)
				time.Sleep(2 * time.Second)
				z.adopted(t, 9)
			})
		})
	}
}

// A store that is down is not asked by every router at full pace.
func TestAnOutageOfTheStoreIsNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var nodes []ident.Node
		for index := range 20 {
			nodes = append(nodes, ident.Node(fmt.Sprintf("n%02d", index)))
		}
		z := startZone(t, nodes...)
		z.store.change(func() { z.store.down = true })
		time.Sleep(5 * time.Second)
		total, by := z.reads()
		is.True(by["n00"] >= 80) // the reader tries often
		is.True(total-by["n00"] <= 19*20)
		z.store.change(func() { z.store.down = false })
		z.adopt(3)
		time.Sleep(time.Second)
		z.adopted(t, 3)
	})
}

// The age of a naming is the same at a router that pulled it.
func TestNamingsTravelWithTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t, "a", "b")
		z.store.change(func() { z.store.reading.Models = map[ident.Model]int{model: 2} })
		time.Sleep(10 * time.Second)
		late := z.start(t.Context(), "c")
		time.Sleep(5 * time.Second)
		first := z.routers["a"].follower.replica.holder.View().Models[model].Named[0]
		for _, node := range []ident.Node{"b", "c"} {
			named := z.routers[node].follower.replica.holder.View().Models[model].Named[0]
			is.Equal(named.Version, 2)
			is.True(!named.SeenAt.After(first.SeenAt.Add(time.Second)))
		}
		is.True(!late.follower.replica.holder.View().Models[model].Named[0].Met)
	})
}

func TestARouterLeavesItsOwnRowOnly(t *testing.T) {
	is := is.New(t)
	table := newFakeStore()
	first := &roster{table: table, timeout: time.Second, node: "n", zone: "z", life: "1"}
	second := &roster{table: table, timeout: time.Second, node: "n", zone: "z", life: "2"}
	_, _, _, err := first.join(t.Context())
	is.NoErr(err)
	_, _, routers, err := second.join(t.Context())
	is.NoErr(err)
	is.Equal(routers, 1)
	first.leave(t.Context()) // its row was written anew
	_, routers, err = second.read(t.Context())
	is.NoErr(err)
	is.Equal(routers, 1)
	second.leave(t.Context())
	_, routers, err = second.read(t.Context())
	is.NoErr(err)
	is.Equal(routers, 0)
}
