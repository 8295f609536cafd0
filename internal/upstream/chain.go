// Package upstream lets the routers of one zone share their reads of the store.
//
// Each router has a row in the store, and the revisions of these rows order the
// routers, the longest running first. A router pulls the shared state from the
// first peer before it that is alive and has fresh state; the one that has no
// such peer reads the store. State travels with its age, so that it is never
// taken for newer than it is, however many peers it came through.
//
// Chain decides without I/O or clock; Client and Server carry the pulls.
package upstream

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Peer is a router of the same zone, as its row in the store tells.
type Peer struct {
	Node ident.Node
	Addr netip.AddrPort
	// Revision is that of the row; a peer that restarts gets a higher one.
	Revision uint64
}

// Source is where shared state is to be read next: a Peer or a Store.
type Source interface{ source() }

// Store says that no peer is to be asked before RetryAt; a zero RetryAt means
// until the chain changes.
type Store struct {
	RetryAt time.Time
}

func (Peer) source()  {}
func (Store) source() {}

// Result is what came of a pull: Fresh, Stale, Failed or Restarted.
type Result interface{ result() }

// Fresh is state that is young enough to live on.
type Fresh struct{}

// Stale is state that is too old, or that came from this router itself.
type Stale struct{}

// Failed is a pull without a sound answer.
type Failed struct{}

// Restarted is an answer of a peer whose row has a newer revision than known.
type Restarted struct{ Revision uint64 }

func (Fresh) result()     {}
func (Stale) result()     {}
func (Failed) result()    {}
func (Restarted) result() {}

// Config sets a Chain. Zero fields take the defaults.
type Config struct {
	// Stagger is the span over which the routers of a zone begin to read the
	// store when their peers supply nothing. Default: 1s.
	Stagger time.Duration
	// StaleAfter is the age at which state of a peer counts as stale.
	// Default: 2s.
	StaleAfter time.Duration
}

const (
	defaultStagger    = time.Second
	defaultStaleAfter = 2 * time.Second
	// slack is the part of an interval by which state from a peer may be older
	// than state read from the store.
	slack = 0.3
	// firstDown and maxDown bound the time a peer is not asked after a failed
	// pull; it doubles with each one in a row.
	firstDown = time.Second
	maxDown   = 8 * time.Second
	// staleFor is the time a peer is not asked after stale state.
	staleFor = time.Second
	// maxFollowers bounds the followers that are remembered.
	maxFollowers = 4
)

// link is what is believed of one peer.
type link struct {
	peer Peer
	// down is the last time of rest after failures, 0 while the peer answers.
	down time.Duration
	// retryAt is when the peer may be asked again.
	retryAt time.Time
}

// Chain orders the peers of one router. It is not safe for concurrent use.
//
// Invariant: a peer before this router has a lower revision. A follower is asked
// only by a router that no peer before it and no store supplies.
type Chain struct {
	cfg       Config
	self      Peer
	joined    bool
	before    []*link
	followers []*link
}

// NewChain returns the chain of a router that has no row yet.
func NewChain(cfg Config) *Chain {
	if cfg.Stagger <= 0 {
		cfg.Stagger = defaultStagger
	}
	if cfg.StaleAfter <= 0 {
		cfg.StaleAfter = defaultStaleAfter
	}
	return &Chain{cfg: cfg}
}

// Join takes in this router's own row and those of its peers, read after it was
// written.
func (c *Chain) Join(self Peer, peers []Peer) {
	c.self, c.joined = self, true
	c.before = c.before[:0]
	for _, peer := range peers {
		if peer.Revision < self.Revision && peer.Node != self.Node {
			c.before = append(c.before, &link{peer: peer})
		}
	}
	slices.SortFunc(c.before, func(a, b *link) int {
		if a.peer.Revision < b.peer.Revision {
			return -1
		}
		return 1
	})
}

// Self returns this router's own row; its revision is 0 before Join.
func (c *Chain) Self() Peer { return c.self }

// Followed takes in that a peer pulled from this router.
func (c *Chain) Followed(peer Peer) {
	if peer.Revision <= c.self.Revision || peer.Node == c.self.Node {
		return
	}
	for _, known := range c.followers {
		if known.peer.Node == peer.Node {
			known.peer = peer
			return
		}
	}
	if len(c.followers) < maxFollowers {
		c.followers = append(c.followers, &link{peer: peer})
	}
}

// Next returns where to read the shared state, whose present copy has an age.
func (c *Chain) Next(now time.Time, age time.Duration) Source {
	retryAt := time.Time{}
	for _, known := range c.before {
		if !now.Before(known.retryAt) {
			return known.peer
		}
		retryAt = earliest(retryAt, known.retryAt)
	}
	if age <= c.cfg.StaleAfter {
		return Store{RetryAt: earliest(retryAt, now.Add(c.cfg.StaleAfter-age))}
	}
	for _, known := range c.followers {
		if !now.Before(known.retryAt) {
			return known.peer
		}
		retryAt = earliest(retryAt, known.retryAt)
	}
	return Store{RetryAt: retryAt}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Judge says what state of an age that a router read is worth here.
func (c *Chain) Judge(origin ident.Node, age time.Duration) Result {
	if origin == c.self.Node || age > c.cfg.StaleAfter {
		return Stale{}
	}
	return Fresh{}
}

// Pulled takes in what came of a pull.
func (c *Chain) Pulled(now time.Time, node ident.Node, result Result) {
	known := c.find(node)
	if known == nil {
		return
	}
	switch result := result.(type) {
	case Fresh:
		known.down, known.retryAt = 0, time.Time{}
	case Stale:
		known.down, known.retryAt = 0, now.Add(staleFor)
	case Failed:
		known.down = min(max(2*known.down, firstDown), maxDown)
		known.retryAt = now.Add(known.down)
	case Restarted:
		c.restarted(known, result.Revision)
	}
}

// restarted moves a peer behind this router.
func (c *Chain) restarted(known *link, revision uint64) {
	known.peer.Revision, known.down, known.retryAt = revision, 0, time.Time{}
	if revision <= c.self.Revision {
		return
	}
	c.before = slices.DeleteFunc(c.before, func(other *link) bool { return other == known })
	c.Followed(known.peer)
}

func (c *Chain) find(node ident.Node) *link {
	for _, links := range [][]*link{c.before, c.followers} {
		for _, known := range links {
			if known.peer.Node == node {
				return known
			}
		}
	}
	return nil
}

// Rank returns the number of peers before this router that are not known to be
// down. The router of rank 0 reads the store for its zone.
func (c *Chain) Rank() int {
	rank := 0
	for _, known := range c.before {
		if known.down == 0 {
			rank++
		}
	}
	return rank
}

// Joined reports whether this router has a row.
func (c *Chain) Joined() bool { return c.joined }

// Due returns the age at which state that is read from the store once in an
// interval is to be read by this router itself.
func (c *Chain) Due(interval time.Duration) time.Duration {
	rank := c.Rank()
	if rank == 0 {
		return interval
	}
	late := time.Duration(slack * float64(interval))
	return interval + late + time.Duration(rank)*c.cfg.Stagger/time.Duration(len(c.before))
}
