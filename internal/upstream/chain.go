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
	// peerSlack is the part of an interval by which state from a peer may be older
	// than state read from the store.
	peerSlack = 0.3
	// minBackoff and maxBackoff bound the time a peer is not asked after a failed
	// pull; it doubles with each one in a row.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// staleBackoff is the time a peer is not asked after stale state.
	staleBackoff = time.Second
	// maxFollowers bounds the followers that are remembered.
	maxFollowers = 4
	// fanout is the number of peers of its zone that a router supplies.
	fanout = 8
)

// peerState is what is believed of one peer.
type peerState struct {
	peer Peer
	// backoff is the last time of rest after failures, 0 while the peer answers.
	backoff time.Duration
	// retryAt is when the peer may be asked again.
	retryAt time.Time
	// shuttingDown is true once the peer said that it is about to end.
	shuttingDown bool
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
	sameZone, sameRegion, others []*peerState
	followers                    []*peerState
	// supplied is true if the last pull brought fresh state.
	supplied bool
	// shuttingDown is true once this router is about to end. It goes on in its place then, and
	// takes over nothing of others that leave: of routers that all leave, one reads.
	shuttingDown bool
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
	c.sameZone, c.sameRegion, c.others = nil, nil, nil
	for _, peer := range peers {
		switch {
		case peer.Revision >= self.Revision || peer.Node == self.Node:
		case peer.Zone == self.Zone:
			c.sameZone = append(c.sameZone, &peerState{peer: peer})
		case c.cfg.Regions.HasMultiple() && c.cfg.Regions.Same(peer.Zone, self.Zone):
			c.sameRegion = append(c.sameRegion, &peerState{peer: peer})
		default:
			c.others = append(c.others, &peerState{peer: peer})
		}
	}
	for _, group := range [][]*peerState{c.sameZone, c.sameRegion, c.others} {
		slices.SortFunc(group, byRevision)
	}
}

// ByRevision compares two routers: the one that joined first comes first.
func ByRevision(a, b Peer) int { return cmp.Compare(a.Revision, b.Revision) }

func byRevision(a, b *peerState) int { return ByRevision(a.peer, b.peer) }

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
		c.followers = append(c.followers, &peerState{peer: peer})
	}
}

// SetShuttingDown takes in that this router is about to end.
func (c *Chain) SetShuttingDown() { c.shuttingDown = true }

// SetPeerShuttingDown takes in whether a peer that answered is about to end.
func (c *Chain) SetPeerShuttingDown(node ident.Node, leaving bool) {
	if known := c.find(node); known != nil {
		known.shuttingDown = leaving
	}
}

// remainsUp reports whether a peer is to be counted on.
func (c *Chain) remainsUp(known *peerState) bool { return c.shuttingDown || !known.shuttingDown }

// Next returns where to read the shared state, whose present copy has an age. Peers that
// leave are asked after all others.
func (c *Chain) Next(now time.Time, age time.Duration) Source {
	usable := func(known *peerState) bool { return !now.Before(known.retryAt) }
	preferred := func(known *peerState) bool { return usable(known) && c.remainsUp(known) }
	groups := [][]*peerState{c.ancestors(), c.sameZone, c.sameRegion, c.others}
	for _, accept := range []func(*peerState) bool{preferred, usable} {
		if peer := firstMatching(groups, accept); peer != nil {
			return *peer
		}
	}
	retryAt := earliestRetry(earliestRetry(earliestRetry(time.Time{}, c.sameZone), c.sameRegion), c.others)
	if age <= c.cfg.StaleAfter {
		return Store{RetryAt: earliest(retryAt, now.Add(c.cfg.StaleAfter-age))}
	}
	if index := slices.IndexFunc(c.followers, usable); index >= 0 {
		return c.followers[index].peer
	}
	return Store{RetryAt: earliestRetry(retryAt, c.followers)}
}

// firstMatching returns the first peer of the groups that is wanted, nil if there is none.
func firstMatching(groups [][]*peerState, accept func(*peerState) bool) *Peer {
	for _, group := range groups {
		if index := slices.IndexFunc(group, accept); index >= 0 {
			return &group[index].peer
		}
	}
	return nil
}

// ancestors returns the peers that supply this router in the tree of its zone,
// the nearest first.
func (c *Chain) ancestors() []*peerState {
	var path []*peerState
	for place := len(c.sameZone); place > 0; {
		place = (place - 1) / fanout
		path = append(path, c.sameZone[place])
	}
	return path
}

// soonest returns the first time at which one of the links may be asked, or a
// time known before.
func earliestRetry(known time.Time, peers []*peerState) time.Time {
	for _, peer := range peers {
		known = earliest(known, peer.retryAt)
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
		known.backoff, known.retryAt = 0, time.Time{}
	case Stale:
		known.backoff, known.retryAt = 0, now.Add(staleBackoff)
	case Failed:
		known.backoff = min(max(2*known.backoff, minBackoff), maxBackoff)
		known.retryAt = now.Add(known.backoff)
	case Restarted:
		c.moveBehind(known, result.Revision)
	}
}

// moveBehind moves a peer behind this router.
func (c *Chain) moveBehind(known *peerState, revision uint64) {
	known.peer.Revision, known.backoff, known.retryAt, known.shuttingDown = revision, 0, time.Time{}, false
	if revision <= c.self.Revision {
		return
	}
	same := func(each *peerState) bool { return each == known }
	c.sameZone, c.others = slices.DeleteFunc(c.sameZone, same), slices.DeleteFunc(c.others, same)
	c.sameRegion = slices.DeleteFunc(c.sameRegion, same)
	c.AddFollower(known.peer)
}

func (c *Chain) find(node ident.Node) *peerState {
	for _, peers := range [][]*peerState{c.sameZone, c.sameRegion, c.others, c.followers} {
		for _, known := range peers {
			if known.peer.Node == node {
				return known
			}
		}
	}
	return nil
}

// Rank returns the number of peers of this zone before this router that are not
// known to be down or to leave. The router of rank 0 speaks for its zone.
func (c *Chain) Rank() int { return c.countUp(c.sameZone) }

// First reports whether no peer before this router is known to be up and to stay: it
// reads the store for all.
func (c *Chain) First() bool { return c.FirstOfRegion() && c.countUp(c.others) == 0 }

// FirstOfRegion reports whether no peer of its region before this router is known to be
// up and to stay. Where there is one region, that is the first of each zone, as its zones
// share no router that speaks for them.
func (c *Chain) FirstOfRegion() bool {
	return c.countUp(c.sameZone) == 0 && c.countUp(c.sameRegion) == 0
}

func (c *Chain) countUp(peers []*peerState) int {
	count := 0
	for _, known := range peers {
		if known.backoff == 0 && c.remainsUp(known) {
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
	extra := time.Duration(peerSlack * float64(interval))
	return interval + extra + time.Duration(c.Rank())*c.cfg.Stagger/time.Duration(len(c.sameZone)+1)
}
