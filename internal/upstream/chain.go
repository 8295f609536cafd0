// Package upstream lets routers share their reads of the store.
//
// Each router has a row in the store, and the revisions of these rows order the
// routers, the longest running first. A router pulls the shared state from a peer
// before it that is alive and has fresh state; the one that has no such peer reads
// the store. The routers of a zone form a tree under its first one. The first ones of
// zones pull from the first of their region, and those from the first router of all, so
// that state crosses to each region once. State travels with its age, so that it is never
// taken for newer than it is, however many peers it came through.
//
// Chain decides without I/O or clock; Client and Server carry the pulls.
package upstream

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

// Peer is a router, as its row in the store tells.
type Peer struct {
	Node ident.Node
	Zone ident.Zone
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
	// Regions tells which zones lie in one region. Default: all do.
	Regions region.Map
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
	// fanout is the number of peers of its zone that a router supplies.
	fanout = 8
)

// link is what is believed of one peer.
type link struct {
	peer Peer
	// down is the last time of rest after failures, 0 while the peer answers.
	down time.Duration
	// retryAt is when the peer may be asked again.
	retryAt time.Time
	// leaving is true once the peer said that it is about to end.
	leaving bool
}

// Chain orders the peers of one router. It is not safe for concurrent use.
//
// Invariant: a peer before this router has a lower revision. A follower is asked
// only by a router that no peer before it and no store supplies.
type Chain struct {
	cfg    Config
	self   Peer
	joined bool
	// near are the peers of this zone before this router, regional those of other
	// zones of its region if there are several regions, and far all others, each by
	// revision.
	near, regional, far []*link
	followers           []*link
	// supplied is true if the last pull brought fresh state.
	supplied bool
	// leaving is true once this router is about to end. It goes on in its place then, and
	// takes over nothing of others that leave: of routers that all leave, one reads.
	leaving bool
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
	c.near, c.regional, c.far = nil, nil, nil
	for _, peer := range peers {
		switch {
		case peer.Revision >= self.Revision || peer.Node == self.Node:
		case peer.Zone == self.Zone:
			c.near = append(c.near, &link{peer: peer})
		case c.cfg.Regions.HasMultiple() && c.cfg.Regions.Same(peer.Zone, self.Zone):
			c.regional = append(c.regional, &link{peer: peer})
		default:
			c.far = append(c.far, &link{peer: peer})
		}
	}
	for _, links := range [][]*link{c.near, c.regional, c.far} {
		slices.SortFunc(links, byRevision)
	}
}

// ByRevision compares two routers: the one that joined first comes first.
func ByRevision(a, b Peer) int { return cmp.Compare(a.Revision, b.Revision) }

func byRevision(a, b *link) int { return ByRevision(a.peer, b.peer) }

// Self returns this router's own row; its revision is 0 before Join.
func (c *Chain) Self() Peer { return c.self }

// AddFollower takes in that a peer pulled from this router.
func (c *Chain) AddFollower(peer Peer) {
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

// SetShuttingDown takes in that this router is about to end.
func (c *Chain) SetShuttingDown() { c.leaving = true }

// SetPeerShuttingDown takes in whether a peer that answered is about to end.
func (c *Chain) SetPeerShuttingDown(node ident.Node, leaving bool) {
	if known := c.find(node); known != nil {
		known.leaving = leaving
	}
}

// stays reports whether a peer is to be counted on.
func (c *Chain) stays(known *link) bool { return c.leaving || !known.leaving }

// Next returns where to read the shared state, whose present copy has an age. Peers that
// leave are asked after all others.
func (c *Chain) Next(now time.Time, age time.Duration) Source {
	usable := func(known *link) bool { return !now.Before(known.retryAt) }
	stays := func(known *link) bool { return usable(known) && c.stays(known) }
	groups := [][]*link{c.ancestors(), c.near, c.regional, c.far}
	for _, wanted := range []func(*link) bool{stays, usable} {
		if peer := firstOf(groups, wanted); peer != nil {
			return *peer
		}
	}
	retryAt := soonest(soonest(soonest(time.Time{}, c.near), c.regional), c.far)
	if age <= c.cfg.StaleAfter {
		return Store{RetryAt: earliest(retryAt, now.Add(c.cfg.StaleAfter-age))}
	}
	if index := slices.IndexFunc(c.followers, usable); index >= 0 {
		return c.followers[index].peer
	}
	return Store{RetryAt: soonest(retryAt, c.followers)}
}

// firstOf returns the first peer of the groups that is wanted, nil if there is none.
func firstOf(groups [][]*link, wanted func(*link) bool) *Peer {
	for _, group := range groups {
		if index := slices.IndexFunc(group, wanted); index >= 0 {
			return &group[index].peer
		}
	}
	return nil
}

// ancestors returns the peers that supply this router in the tree of its zone,
// the nearest first.
func (c *Chain) ancestors() []*link {
	var path []*link
	for place := len(c.near); place > 0; {
		place = (place - 1) / fanout
		path = append(path, c.near[place])
	}
	return path
}

// soonest returns the first time at which one of the links may be asked, or a
// time known before.
func soonest(known time.Time, links []*link) time.Time {
	for _, link := range links {
		known = earliest(known, link.retryAt)
	}
	return known
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Classify says what state of an age that a router read is worth here.
func (c *Chain) Classify(origin ident.Node, age time.Duration) Result {
	if origin == c.self.Node || age > c.cfg.StaleAfter {
		return Stale{}
	}
	return Fresh{}
}

// RecordPull takes in what came of a pull.
func (c *Chain) RecordPull(now time.Time, node ident.Node, result Result) {
	known := c.find(node)
	if known == nil {
		return
	}
	_, c.supplied = result.(Fresh)
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
	known.peer.Revision, known.down, known.retryAt, known.leaving = revision, 0, time.Time{}, false
	if revision <= c.self.Revision {
		return
	}
	other := func(link *link) bool { return link == known }
	c.near, c.far = slices.DeleteFunc(c.near, other), slices.DeleteFunc(c.far, other)
	c.regional = slices.DeleteFunc(c.regional, other)
	c.AddFollower(known.peer)
}

func (c *Chain) find(node ident.Node) *link {
	for _, links := range [][]*link{c.near, c.regional, c.far, c.followers} {
		for _, known := range links {
			if known.peer.Node == node {
				return known
			}
		}
	}
	return nil
}

// Rank returns the number of peers of this zone before this router that are not
// known to be down or to leave. The router of rank 0 speaks for its zone.
func (c *Chain) Rank() int { return c.alive(c.near) }

// First reports whether no peer before this router is known to be up and to stay: it
// reads the store for all.
func (c *Chain) First() bool { return c.FirstOfRegion() && c.alive(c.far) == 0 }

// FirstOfRegion reports whether no peer of its region before this router is known to be
// up and to stay. Where there is one region, that is the first of each zone, as its zones
// share no router that speaks for them.
func (c *Chain) FirstOfRegion() bool { return c.alive(c.near) == 0 && c.alive(c.regional) == 0 }

func (c *Chain) alive(links []*link) int {
	count := 0
	for _, known := range links {
		if known.down == 0 && c.stays(known) {
			count++
		}
	}
	return count
}

// Regional reports whether the routers are in several regions.
func (c *Chain) Regional() bool { return c.cfg.Regions.HasMultiple() }

// Joined reports whether this router has a row.
func (c *Chain) Joined() bool { return c.joined }

// ReadAge returns the age at which state that is read from the store once in an
// interval is to be read by this router itself. own says that its present copy
// is such a read: without a peer that does better, it goes on like the first.
func (c *Chain) ReadAge(interval time.Duration, own bool) time.Duration {
	if c.First() || (own && !c.supplied) {
		return interval
	}
	late := time.Duration(slack * float64(interval))
	return interval + late + time.Duration(c.Rank())*c.cfg.Stagger/time.Duration(len(c.near)+1)
}
