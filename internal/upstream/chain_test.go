package upstream_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

var (
	start = time.Unix(1000, 0)
	addr  = netip.MustParseAddrPort("10.0.0.1:7340")
)

func peer(revision uint64) upstream.Peer {
	return upstream.Peer{Node: ident.Node(fmt.Sprint("n", revision)), Zone: "near", Addr: addr, Revision: revision}
}

func farPeer(revision uint64) upstream.Peer {
	far := peer(revision)
	far.Zone = "far"
	return far
}

// chain returns the chain of the router of a revision among peers.
func chain(self uint64, peers ...uint64) *upstream.Chain {
	joined := upstream.NewChain(upstream.Config{Stagger: time.Second, StaleAfter: 2 * time.Second})
	var rows []upstream.Peer
	for _, revision := range peers {
		rows = append(rows, peer(revision))
	}
	joined.Join(peer(self), rows)
	return joined
}

func TestNextReturnsFirstUsableEarlierPeer(t *testing.T) {
	type pulled struct {
		node   ident.Node
		result upstream.Result
	}
	tests := []struct {
		name   string
		pulled []pulled
		after  time.Duration
		want   upstream.Source
	}{
		{"nothing known", nil, 0, peer(1)},
		{"first failed", []pulled{{"n1", upstream.Failed{}}}, 0, peer(2)},
		{"first stale", []pulled{{"n1", upstream.Stale{}}}, 0, peer(2)},
		{"first failed long ago", []pulled{{"n1", upstream.Failed{}}}, time.Second, peer(1)},
		{"first failed twice", []pulled{{"n1", upstream.Failed{}}, {"n1", upstream.Failed{}}}, time.Second, peer(2)},
		{"first restarted", []pulled{{"n1", upstream.Restarted{Revision: 9}}}, time.Hour, peer(2)},
		{"failed, then fresh", []pulled{{"n1", upstream.Failed{}}, {"n1", upstream.Fresh{}}}, 0, peer(1)},
		{"all failed", []pulled{{"n1", upstream.Failed{}}, {"n2", upstream.Failed{}}}, 0, upstream.Store{RetryAt: start.Add(time.Second)}},
		{"unknown peer", []pulled{{"n7", upstream.Failed{}}}, 0, peer(1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := chain(3, 2, 4, 1, 3)
			for _, p := range tt.pulled {
				c.RecordPull(start, p.node, p.result)
			}
			is.New(t).Equal(c.Next(start.Add(tt.after), 0), tt.want)
		})
	}
}

// Whichever peers fail, at least one router reads the store and pulls form no cycle.
func TestPullsFormNoCycle(t *testing.T) {
	is := is.New(t)
	const routers = 6
	for failures := range 1 << routers {
		var revisions []uint64
		for revision := range uint64(routers) {
			revisions = append(revisions, revision+1)
		}
		readers := 0
		for _, self := range revisions {
			c := chain(self, revisions...)
			for node := range routers {
				if failures&(1<<node) != 0 {
					c.RecordPull(start, peer(uint64(node+1)).Node, upstream.Failed{})
				}
			}
			switch next := c.Next(start, 0).(type) {
			case upstream.Peer:
				is.True(next.Revision < self)
			case upstream.Store:
				readers++
				is.Equal(c.Rank(), 0)
			}
		}
		is.True(readers >= 1)
	}
}

// A peer that shuts down does not count as up, and is used only if no other peer is left.
func TestPeerShuttingDownIsUsedLast(t *testing.T) {
	is := is.New(t)
	c := chain(3, 1, 2)
	is.Equal(c.Rank(), 2)
	c.SetPeerShuttingDown("n1", true)
	is.Equal(c.Next(start, 0), upstream.Source(peer(2)))
	is.Equal(c.Rank(), 1)
	is.True(!c.First())
	c.SetPeerShuttingDown("n2", true)
	is.True(c.First())
	is.Equal(c.Next(start, 0), upstream.Source(peer(1)))
	c.SetShuttingDown() // it takes over nothing from now on
	is.Equal(c.Rank(), 2)
	is.True(!c.First())
}

// A peer that shut down and restarted comes after the peers that stayed up.
func TestRestartedPeerRanksLast(t *testing.T) {
	is := is.New(t)
	c := chain(3, 1, 2)
	c.SetPeerShuttingDown("n1", true)
	c.RecordPull(start, "n1", upstream.Restarted{Revision: 9})
	is.Equal(c.Rank(), 1)
	c.SetPeerShuttingDown("n2", true)
	c.SetPeerShuttingDown("n2", false)
	is.Equal(c.Rank(), 1)
}

// Whichever routers shut down, pulls form no cycle, and a router that stays up reads the
// store if there is one.
func TestPullsFormNoCycleDuringShutdown(t *testing.T) {
	is := is.New(t)
	const routers = 6
	for shuttingDown := range 1 << routers {
		readers := 0
		for self := range routers {
			c := chain(uint64(self+1), 1, 2, 3, 4, 5, 6)
			for node := range routers {
				c.SetPeerShuttingDown(peer(uint64(node+1)).Node, shuttingDown&(1<<node) != 0)
			}
			if shuttingDown&(1<<self) != 0 {
				c.SetShuttingDown()
			}
			if next, pulls := c.Next(start, 0).(upstream.Peer); pulls {
				is.True(next.Revision < uint64(self+1))
			}
			if c.First() {
				readers++
				is.True(self == 0 || shuttingDown&(1<<self) == 0)
			}
		}
		is.True(readers == 1 || (readers == 2 && shuttingDown&1 != 0))
	}
}

// Only the first router of a zone pulls from another zone; the others form a tree under it
// with bounded fanout.
func TestZoneFormsTree(t *testing.T) {
	is := is.New(t)
	const routers = 120
	rows := []upstream.Peer{farPeer(1), farPeer(2)}
	for revision := uint64(3); revision < 3+routers; revision++ {
		rows = append(rows, peer(revision))
	}
	children := map[ident.Node]int{}
	depth := map[ident.Node]int{}
	for _, self := range rows[2:] {
		c := upstream.NewChain(upstream.Config{})
		c.Join(self, rows)
		parent := c.Next(start, 0).(upstream.Peer)
		children[parent.Node]++
		if self.Revision == 3 {
			is.Equal(parent, farPeer(1))
			is.Equal(c.Rank(), 0)
			is.True(!c.First())
			continue
		}
		is.Equal(parent.Zone, self.Zone)
		depth[self.Node] = depth[parent.Node] + 1
		is.True(depth[self.Node] <= 3)
	}
	for node, count := range children {
		if count > 8 {
			t.Errorf("%s supplies %d routers", node, count)
		}
	}
}

func TestFallbackToOtherZone(t *testing.T) {
	is := is.New(t)
	c := upstream.NewChain(upstream.Config{})
	c.Join(peer(5), []upstream.Peer{farPeer(1), peer(2), farPeer(3), peer(4)})
	want := []upstream.Peer{peer(2), peer(4), farPeer(1), farPeer(3)}
	for _, next := range want {
		is.True(!c.First())
		is.Equal(c.Next(start, 0), next)
		c.RecordPull(start, next.Node, upstream.Failed{})
	}
	is.True(c.First())
	is.Equal(c.Next(start, 0), upstream.Store{RetryAt: start.Add(time.Second)})
}

func TestUnsuppliedRouterPullsFromFollowers(t *testing.T) {
	is := is.New(t)
	c := chain(1, 2, 3)
	is.Equal(c.Next(start, time.Minute), upstream.Store{}) // no followers yet
	c.AddFollower(peer(2))
	c.AddFollower(peer(2))
	c.AddFollower(peer(1)) // itself
	is.Equal(c.Next(start, time.Second), upstream.Store{RetryAt: start.Add(time.Second)})
	is.Equal(c.Next(start, 3*time.Second), peer(2))
	c.RecordPull(start, "n2", upstream.Stale{})
	is.Equal(c.Next(start, 3*time.Second), upstream.Store{RetryAt: start.Add(time.Second)})
}

func TestClassifyByAgeAndOrigin(t *testing.T) {
	tests := []struct {
		name   string
		origin ident.Node
		age    time.Duration
		want   upstream.Result
	}{
		{"young", "n1", time.Second, upstream.Fresh{}},
		{"old", "n1", 3 * time.Second, upstream.Stale{}},
		{"this router's own", "n3", time.Second, upstream.Stale{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(chain(3, 1, 2).Classify(tt.origin, tt.age), tt.want)
		})
	}
}

// When peers supply nothing, the routers of a zone start to read one after the other, the
// last of them within the stagger.
func TestStoreReadsAreStaggered(t *testing.T) {
	is := is.New(t)
	const interval = time.Second
	is.Equal(chain(1, 2, 3).ReadAge(interval, false), interval)
	previous := interval
	for self := uint64(2); self <= 20; self++ {
		var peers []uint64
		for revision := uint64(1); revision < self; revision++ {
			peers = append(peers, revision)
		}
		due := chain(self, peers...).ReadAge(interval, false)
		is.True(due > interval)
		is.True(due <= 2300*time.Millisecond)
		previous = due
	}
	is.True(previous > interval)
	c := chain(3, 1, 2)
	c.RecordPull(start, "n1", upstream.Failed{})
	c.RecordPull(start, "n2", upstream.Failed{})
	is.Equal(c.ReadAge(interval, false), interval) // all before it are down
}

// A router that read its present copy itself reads at the pace of the first router until a
// peer supplies it; one that never read does not.
func TestReadAgeOfSelfSuppliedRouter(t *testing.T) {
	is := is.New(t)
	const interval = time.Second
	c := chain(3, 1, 2)
	c.RecordPull(start, "n1", upstream.Stale{})
	is.True(c.ReadAge(interval, false) > interval)
	is.Equal(c.ReadAge(interval, true), interval)
	c.RecordPull(start, "n2", upstream.Fresh{})
	is.True(c.ReadAge(interval, true) > interval)
}

func TestRouterWithoutRowReadsStore(t *testing.T) {
	is := is.New(t)
	c := upstream.NewChain(upstream.Config{})
	is.True(!c.Joined())
	is.Equal(c.Rank(), 0)
	is.Equal(c.Next(start, 0), upstream.Store{RetryAt: start.Add(2 * time.Second)})
	is.Equal(c.ReadAge(time.Second, false), time.Second)
}
