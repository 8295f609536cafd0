// Package upstream lets routers share their reads of the store.
//
// Each router has a row in the store. The revisions of these rows order the routers, the
// longest running first. A router pulls the shared state from an earlier peer that is up and
// has fresh state; a router without such a peer reads the store. The routers of a zone form a
// tree under the first one. The first routers of the zones pull from the first one of their
// region, and these from the first router of all, so that state crosses to each region once.
// State carries its age across all hops, so that it never counts as newer than it is.
//
// Chain decides without I/O or clock; Client and Server transfer the state.
package upstream

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

// Peer is a router as its row in the store describes it.
type Peer struct {
	Node ident.Node
	Zone ident.Zone
	Addr netip.AddrPort
	// Revision is the row's revision; a restarted peer gets a higher one. In a large fleet it is
	// that of Ordered.
	Revision uint64
}

// Source is where shared state is to be read next: a Peer or a Store.
type Source interface{ source() }

// Store means that the store is to be read and no peer before RetryAt; a zero RetryAt
// means until the chain changes.
type Store struct {
	RetryAt time.Time
}

func (Peer) source()  {}
func (Store) source() {}

// Result is the outcome of a pull: Fresh, Pending, Stale, Failed or Restarted.
type Result interface{ result() }

// Fresh is state that is recent enough to be used.
type Fresh struct{}

// Pending means that the peer has no state yet, but is about to be supplied.
type Pending struct{}

// Stale is state that is too old, or that originates from this router itself.
type Stale struct{}

// Failed is a pull without a valid answer.
type Failed struct{}

// Restarted is an answer from a peer whose row has a newer revision than the known one.
type Restarted struct{ Revision uint64 }

func (Fresh) result()     {}
func (Pending) result()   {}
func (Stale) result()     {}
func (Failed) result()    {}
func (Restarted) result() {}

// Config configures a Chain. Zero fields take the defaults.
type Config struct {
	// Stagger is the span over which the routers of a zone begin to read the
	// store when their peers supply nothing. Default: 1s.
	Stagger time.Duration
	// StaleAfter is the age at which state of a peer counts as stale.
	// Default: 2s.
	StaleAfter time.Duration
	// Regions maps zones to regions. Default: one region.
	Regions region.Map
}

const (
	defaultStagger    = time.Second
	defaultStaleAfter = 2 * time.Second
	// peerSlack is the share of an interval by which state from a peer may be older
	// than state read from the store.
	peerSlack = 0.3
	// minBackoff and maxBackoff bound the back-off after failed pulls from a peer; it
	// doubles with each consecutive failure.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// staleBackoff is the back-off after a peer returned stale state.
	staleBackoff = time.Second
	maxFollowers = 4
	// fanout is the number of children of a router in the tree of its zone.
	fanout = 8
)

// peerState is the known state of one peer.
type peerState struct {
	peer Peer
	// backoff is the latest back-off after failures, 0 while the peer answers.
	backoff time.Duration
	// retryAt is the end of the back-off.
	retryAt time.Time
	// shuttingDown is set while the peer reports that it shuts down.
	shuttingDown bool
}

// Chain orders the peers of one router. It is not safe for concurrent use.
//
// Invariant: an earlier peer has a lower revision. A router pulls from a follower only if
// neither an earlier peer nor the store supplies it.
type Chain struct {
	cfg    Config
	self   Peer
	joined bool
	// sameZone are the earlier peers of this zone, sameRegion those of other zones of the
	// region if there are several regions, and others the rest, each sorted by revision.
	sameZone, sameRegion, others []*peerState
	followers                    []*peerState
	// large is whether the zone is so large that the earlier peers are only those of the
	// backbone.
	large bool
	// supplied is true if the last pull returned fresh state.
	supplied bool
	// shuttingDown is true once this router shuts down. It then keeps its place and takes over
	// nothing from peers that shut down too: if all routers do, one still reads the store.
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

// JoinBackbone is Join in a large fleet, where peers are those of the backbone. A leaf needs no
// row of its own.
func (c *Chain) JoinBackbone(self Peer, peers []Peer) {
	c.Join(self, peers)
	c.large = true
}

// Join sets this router's own row and those of its peers, which must be read after the
// own row was written.
func (c *Chain) Join(self Peer, peers []Peer) {
	c.self, c.joined, c.large = self, true, false
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

// ByRevision orders routers by the time they joined, the earliest first.
func ByRevision(a, b Peer) int { return cmp.Compare(a.Revision, b.Revision) }

func byRevision(a, b *peerState) int { return ByRevision(a.peer, b.peer) }

// Self returns this router's own row; its revision is 0 before Join.
func (c *Chain) Self() Peer { return c.self }

// AddFollower records that a peer pulled from this router.
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

// Peers returns the peers that this router knows, in no particular order.
func (c *Chain) Peers() []Peer {
	var peers []Peer
	for _, known := range [][]*peerState{c.sameZone, c.sameRegion, c.others, c.followers} {
		for _, peer := range known {
			peers = append(peers, peer.peer)
		}
	}
	return peers
}

// SetShuttingDown records that this router shuts down.
func (c *Chain) SetShuttingDown() { c.shuttingDown = true }

// SetPeerShuttingDown records whether a peer reports that it shuts down.
func (c *Chain) SetPeerShuttingDown(node ident.Node, shuttingDown bool) {
	if known := c.find(node); known != nil {
		known.shuttingDown = shuttingDown
	}
}

// remainsUp reports whether a peer counts as staying up; all do once this router shuts
// down itself.
func (c *Chain) remainsUp(known *peerState) bool { return c.shuttingDown || !known.shuttingDown }

// Next returns where to read the shared state, given the age of the present copy. Peers
// that shut down come after all others.
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

// firstMatching returns the first peer of the groups that is accepted, nil if there is none.
func firstMatching(groups [][]*peerState, accept func(*peerState) bool) *Peer {
	for _, group := range groups {
		if index := slices.IndexFunc(group, accept); index >= 0 {
			return &group[index].peer
		}
	}
	return nil
}

// Leaf reports whether this router is a leaf.
func (c *Chain) Leaf() bool { return IsLeaf(c.self.Revision) }

// place returns this router's place in the tree of the zone, 0 for the root. The places of leaves
// spread them over those routers of the backbone that have no children in it.
func (c *Chain) place() int {
	earlier := len(c.sameZone)
	if !c.Leaf() || earlier == 0 {
		return earlier
	}
	firstParent := (earlier-1)/fanout + 1
	if firstParent >= earlier {
		firstParent = 0
	}
	parents := earlier - firstParent
	return fanout*(firstParent+int(c.self.Revision%uint64(parents))) + 1
}

// ancestors returns the path to the root in the tree of the zone, the parent first.
func (c *Chain) ancestors() []*peerState {
	var path []*peerState
	for place := c.place(); place > 0; {
		place = (place - 1) / fanout
		path = append(path, c.sameZone[place])
	}
	return path
}

// earliestRetry returns the earliest of a known time and the ends of the peers' back-offs.
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

// Classify returns the result of a pull that returned state of an age, read by origin.
func (c *Chain) Classify(origin ident.Node, age time.Duration) Result {
	if origin == c.self.Node || age > c.cfg.StaleAfter {
		return Stale{}
	}
	return Fresh{}
}

// RecordPull records the result of a pull.
func (c *Chain) RecordPull(now time.Time, node ident.Node, result Result) {
	known := c.find(node)
	if known == nil {
		return
	}
	_, c.supplied = result.(Fresh)
	switch result := result.(type) {
	case Fresh, Pending:
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

// moveBehind records a peer's new revision, and makes it a follower if that is higher than
// this router's own.
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

// Rank returns the number of earlier peers of this zone that are not known to be down or
// shutting down. The router of rank 0 acts for its zone, which a leaf never does.
func (c *Chain) Rank() int {
	if c.Leaf() {
		return max(len(c.sameZone), 1)
	}
	return c.countUp(c.sameZone)
}

// First reports whether no earlier peer is up and stays up: this router reads the store
// for all.
func (c *Chain) First() bool { return c.FirstOfRegion() && c.countUp(c.others) == 0 }

// FirstOfRegion reports whether no earlier peer of the region is up and stays up. If there
// is only one region, it reports this for the zone.
func (c *Chain) FirstOfRegion() bool {
	return !c.Leaf() && c.countUp(c.sameZone) == 0 && c.countUp(c.sameRegion) == 0
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

// Large reports whether this router knows only the backbone of a large fleet.
func (c *Chain) Large() bool { return c.large }

// Down reports whether a peer did not answer repeatedly.
func (c *Chain) Down(node ident.Node) bool {
	known := c.find(node)
	return known != nil && known.backoff > minBackoff
}

// Joined reports whether this router has a row, or is a leaf.
func (c *Chain) Joined() bool { return c.joined }

// ReadAge returns the age at which this router itself reads state from the store that is
// read once per interval. own is true if it read the present copy itself: until a peer
// supplies it, it then reads at the pace of the first router.
func (c *Chain) ReadAge(interval time.Duration, own bool) time.Duration {
	if c.First() || (own && !c.supplied) {
		return interval
	}
	extra := time.Duration(peerSlack * float64(interval))
	return interval + extra + c.turn()
}

// turn returns this router's part of the stagger, which grows with its rank and is spread over
// the leaves.
func (c *Chain) turn() time.Duration {
	if c.Leaf() {
		return c.cfg.Stagger/4 + time.Duration(c.spread()*float64(c.cfg.Stagger*3/4))
	}
	return time.Duration(c.Rank()) * c.cfg.Stagger / time.Duration(len(c.sameZone)+1)
}

// spread returns a number from 0 to below 1 that differs between leaves.
func (c *Chain) spread() float64 {
	return float64(c.self.Revision<<1>>1) / leafRevision
}

const (
	// backboneListDelay is the time between two ranks of a backbone after which they read the
	// instance list themselves: a whole list is hundreds of times larger than a configuration.
	backboneListDelay = time.Second
	// leafListDelay and leafListSpread are when leaves begin to do so and the span over which
	// they do. Until then they serve by the list that they have.
	leafListDelay  = 4 * time.Second
	leafListSpread = 16 * time.Second
)

// ListReadAge is ReadAge for the instance list.
func (c *Chain) ListReadAge(interval time.Duration, own bool) time.Duration {
	switch {
	case c.Leaf():
		return interval + leafListDelay + time.Duration(c.spread()*float64(leafListSpread))
	case c.large && !c.First():
		return interval + time.Duration(1+c.Rank())*backboneListDelay
	default:
		return c.ReadAge(interval, own)
	}
}
