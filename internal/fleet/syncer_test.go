package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
)

// cluster connects Syncers in place of the peer protocol and gossip.
type cluster struct {
	table   *fakeTable
	members []membership.Member
	mutex   sync.Mutex
	syncers map[string]*Syncer
	// stale is the address of a router that serves an old file as its newest, if any.
	stale     string
	staleBody []byte
	// partitioned is the address of a router cut off from its peers, if any.
	partitioned string
	// adopted holds what each router put in force, by incarnation and in order; the
	// digest is that of the body.
	adopted map[string][][]FileRef
}

func newCluster(nodes int) *cluster {
	c := &cluster{table: newFakeTable(), syncers: map[string]*Syncer{}, adopted: map[string][][]FileRef{}}
	for index := range nodes {
		name := fmt.Sprint("node-", index)
		c.members = append(c.members, membership.Member{Node: ident.Node(name), Zone: ident.Zone(fmt.Sprint("zone-", index%3)), HTTPAddress: name})
	}
	return c
}

// start runs a Syncer for the member and returns it.
func (c *cluster) start(ctx context.Context, member membership.Member) *Syncer {
	syncer := NewSyncer(SyncerOptions{
		Self: member.Node, Zone: member.Zone, Table: c.table, Peers: c,
		View: func() membership.View { return membership.View{Self: member.Node, Members: c.members} },
	})
	c.mutex.Lock()
	address, incarnation := member.HTTPAddress, len(c.adopted[member.HTTPAddress])
	c.syncers[address] = syncer
	c.adopted[address] = append(c.adopted[address], nil)
	c.mutex.Unlock()
	prepared := Version(0)
	syncer.OnPrepare(func(compiled *Compiled) {
		if syncer.CurrentRef().Version < compiled.Version {
			prepared = compiled.Version
		}
	})
	syncer.OnAdopt(func(compiled *Compiled) {
		if prepared != compiled.Version {
			panic("a file was adopted before it was prepared")
		}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		body, _ := syncer.Body(compiled.Digest)
		c.adopted[address][incarnation] = append(c.adopted[address][incarnation], FileRef{compiled.Version, DigestOf(body)})
		for receiver, other := range c.syncers {
			if c.partitioned == "" || (receiver != c.partitioned && address != c.partitioned) {
				other.ObserveHead(compiled.Version, compiled.Digest, member.HTTPAddress)
			}
		}
	})
	go syncer.Run(ctx)
	return syncer
}

func (c *cluster) at(address string) (*Syncer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if syncer := c.syncers[address]; syncer != nil && address != c.partitioned {
		return syncer, nil
	}
	return nil, fault.New(fault.BackendLost, "%s is not running", address)
}

func (c *cluster) isStale(address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return address == c.stale
}

func (c *cluster) FetchHead(_ context.Context, address string) (FileRef, error) {
	syncer, err := c.at(address)
	if err != nil {
		return FileRef{}, err
	}
	if c.isStale(address) {
		return FileRef{Version: 1, Digest: DigestOf(c.staleBody)}, nil
	}
	return syncer.CurrentRef(), nil
}

func (c *cluster) FetchBody(_ context.Context, address string, digest Digest) ([]byte, error) {
	syncer, err := c.at(address)
	if err != nil {
		return nil, err
	}
	if c.isStale(address) {
		return c.staleBody, nil
	}
	if body, found := syncer.Body(digest); found {
		return body, nil
	}
	return nil, fault.New(fault.BackendLost, "%s does not have it", address)
}

func (c *cluster) countInForce(version Version) int {
	count := 0
	for _, syncer := range c.syncers {
		if syncer.CurrentRef().Version == version {
			count++
		}
	}
	return count
}

func (c *cluster) apply(t *testing.T, name string) {
	t.Helper()
	if _, err := Apply(t.Context(), c.table, smallFile(name), ApplyOptions{}); err != nil {
		t.Fatal(err)
	}
}

func TestAppliedFileReachesAllRouters(t *testing.T) {
	const nodes, readsPerSecond, quietSeconds = 90, 9, 120
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		c := newCluster(nodes)
		c.apply(t, "one")
		for _, member := range c.members {
			c.start(t.Context(), member)
		}
		time.Sleep(5 * time.Second)
		check.Equal(c.countInForce(1), nodes)
		c.apply(t, "two")
		time.Sleep(5 * time.Second)
		check.Equal(c.countInForce(2), nodes)
		readsBefore := c.table.countReads()
		time.Sleep(quietSeconds * time.Second)
		reads := c.table.countReads() - readsBefore
		if reads > quietSeconds*readsPerSecond || reads < quietSeconds {
			t.Errorf("%d reads of the table in %d seconds", reads, quietSeconds)
		}
	})
}

func TestStartWithoutTable(t *testing.T) {
	for _, mode := range []faultMode{down, hangs} {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			c := newCluster(6)
			c.apply(t, "one")
			for _, member := range c.members[:5] {
				c.start(t.Context(), member)
			}
			time.Sleep(5 * time.Second)
			c.table.setMode(mode)
			restarted := c.start(t.Context(), c.members[5])
			time.Sleep(3 * time.Second)
			check.Equal(restarted.CurrentRef().Version, Version(1)) // from peers
		})
	}
}

func TestSimultaneousStartWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		c := newCluster(6)
		c.apply(t, "one")
		c.table.setMode(down)
		for _, member := range c.members {
			c.start(t.Context(), member)
		}
		time.Sleep(time.Minute)
		check.Equal(c.countInForce(0), 6)
		_, err := c.syncers["node-0"].Ready()
		check.True(fault.Is(err, fault.NotReady)) // not an empty file
		c.table.setMode(works)
		time.Sleep(5 * time.Second)
		check.Equal(c.countInForce(1), 6)
	})
}

// TestBodyReadRetriesRateLimits guards against restarting a body's read after a rate
// limit: here every second read is refused, so it would never end.
func TestBodyReadRetriesRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		c := newCluster(1)
		body := append(smallFile("one"), "# "+strings.Repeat("x", 2*chunkBytes)+"\n"...)
		_, err := Apply(t.Context(), c.table, body, ApplyOptions{})
		check.NoErr(err)
		turn := 0
		c.table.mode = func(key string, _ bool) faultMode {
			if key == HeadKey {
				return works
			}
			turn++
			return []faultMode{works, limited}[turn%2]
		}
		syncer := c.start(t.Context(), c.members[0])
		time.Sleep(8 * time.Second)
		check.Equal(syncer.CurrentRef().Version, Version(1))
	})
}
