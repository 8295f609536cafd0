package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// joinRetryPause is the time between two attempts to write this router's row.
	joinRetryPause = 250 * time.Millisecond
	// refusedRetryPause is the least pause in its place after the store refused the row, as too
	// many were to be written: it writes them for a second in advance.
	refusedRetryPause = time.Second
	// minRefreshInterval is the time between two reads of the peers of a router without state,
	// while it finds that they have restarted: their rows have changed as well.
	minRefreshInterval = 500 * time.Millisecond
	// orphanRefreshInterval is the time between two reads of the peers while none of the known
	// ones answers.
	orphanRefreshInterval = 2 * time.Second
	// refreshInterval is the time between two reads of the backbone of a large fleet.
	refreshInterval = 2 * time.Minute
	// settleSpread is the span over which routers read their peers again after a large fleet has
	// started and all rows are written.
	settleSpread = 4 * time.Second
	// leafRowDelay is how long a leaf waits before it writes its row, and leafRowsPerSecond the
	// rate at which all leaves together should: the store writes rows one after the other, and
	// those of the backbone go first.
	leafRowDelay      = 2 * time.Second
	leafRowsPerSecond = 100
)

// viewState is what a router remembers of the last read of its peers. It is safe for concurrent
// use.
type viewState struct {
	mu     sync.Mutex
	readAt time.Time
	// routers is the number of rows that were read, 0 in a large fleet.
	routers int
	// provisional is whether the backbone was not known yet.
	provisional bool
	// restartSeen is whether a peer has restarted since.
	restartSeen bool
}

func (v *viewState) set(readAt time.Time, routers int, provisional bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readAt, v.routers, v.provisional, v.restartSeen = readAt, routers, provisional, false
}

func (v *viewState) observeRestart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restartSeen = true
}

// postpone records a failed read of the peers.
func (v *viewState) postpone(triedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readAt = triedAt
}

// join writes this router's row, unless it is a leaf, and reports whether ctx is still open.
func (f *follower) join(ctx context.Context) bool {
	dep := &dependency{name: "router row", onLost: f.onLost}
	for ctx.Err() == nil {
		askedAt := clock.Now()
		view, err := f.routerList.join(ctx)
		dep.observe(err)
		f.joinRefused.Store(err != nil && f.routerList.refused)
		if err == nil {
			f.observeEpoch()
			f.replica.joined(view.self)
			f.announceJoin(&view)
			f.applyView(askedAt, &view)
			log.WithFields(view.logFields()).Info("joined")
			return true
		}
		pause := joinRetryPause
		if f.joinRefused.Load() {
			pause = refusedRetryPause + f.turn(refusedRetryPause)
		}
		wait.For(ctx, pause)
	}
	return false
}

func (v *fleetView) logFields() log.Fields {
	return log.Fields{"revision": v.self.Revision, "peers": len(v.peers), "routers": v.routers, "leaf": upstream.IsLeaf(v.self.Revision)}
}

// applyView applies this router's row and those of its peers, as read at askedAt.
func (f *follower) applyView(askedAt time.Time, view *fleetView) {
	f.view.set(askedAt, view.routers, view.provisional)
	names := zoneBackbone(view)
	f.zoneBackbone.Store(&names)
	if view.large {
		f.chain.use(func(chain *upstream.Chain) { chain.JoinBackbone(view.self, view.peers) })
		return
	}
	f.recipients.set(view.peers)
	f.replica.observeRouterCount(view.countedAt, view.routers)
	if f.onJoined != nil {
		f.onJoined(view.self, view.peers)
	}
	f.chain.use(func(chain *upstream.Chain) { chain.Join(view.self, view.peers) })
}

// zoneBackbone returns the names of the backbone of this router's zone if it belongs to it.
func zoneBackbone(view *fleetView) []ident.Node {
	if !view.large || upstream.IsLeaf(view.self.Revision) {
		return nil
	}
	var names []ident.Node
	for _, peer := range view.peers {
		if peer.Zone == view.self.Zone {
			names = append(names, peer.Node)
		}
	}
	return names
}

// checkers returns the routers that check the engines of this router's zone, as far as it is one
// of them: the first of the zone, or the backbone of a large one.
func (f *follower) checkers() []ident.Node {
	if f.chain.large() {
		return *f.zoneBackbone.Load()
	}
	if f.chain.leads() {
		return []ident.Node{f.replica.node}
	}
	return nil
}

// refreshDue reports whether to read the peers again: this router does not know the backbone of
// a large fleet yet, none of the peers that it knows can be used, or they have restarted.
func (f *follower) refreshDue(now time.Time, next upstream.Source) bool {
	f.view.mu.Lock()
	defer f.view.mu.Unlock()
	age := now.Sub(f.view.readAt)
	settled := age >= leafRowDelay+f.leafRowSpread()+f.turn(settleSpread)
	if !f.chain.large() {
		large := len(f.zones) * upstream.LargeZone
		return large > 0 && settled && f.replica.Routers() > max(large, 2*f.view.routers)
	}
	_, orphan := next.(upstream.Store)
	switch {
	case f.view.provisional && settled:
		return true
	case f.chain.reads():
		return age >= refreshInterval
	case !f.replica.initialized() && f.view.restartSeen && !f.chain.leaf():
		return age >= minRefreshInterval+f.turn(minRefreshInterval)
	case orphan:
		return age >= orphanRefreshInterval+f.turn(orphanRefreshInterval)
	default:
		return age >= refreshInterval+f.turn(refreshInterval)
	}
}

// refresh reads the peers again. A router that belongs to the backbone now writes its row.
func (f *follower) refresh(ctx context.Context) {
	askedAt := clock.Now()
	view, err := f.routerList.reread(ctx)
	if err == nil && view.self.Revision == 0 {
		view, err = f.routerList.rejoin(ctx)
	}
	if err != nil {
		f.view.postpone(askedAt)
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("peers_not_read")
		return
	}
	f.observeEpoch()
	f.replica.rejoined(view.self)
	if !upstream.IsLeaf(view.self.Revision) {
		f.replica.listed()
	}
	f.applyView(askedAt, &view)
	log.WithFields(view.logFields()).Info("peers_read")
}

// maintainRow writes this router's row again when a restored store lacks it, and that of a leaf
// some time after its start, until ctx ends.
func (f *follower) maintainRow(ctx context.Context) {
	leafRowDue := time.Time{}
	wait.Every(ctx, rejoinCheckInterval, func() {
		f.observeEpoch()
		if !f.chain.joined() || f.routerList.current(f.handledEpoch.Load()) {
			leafRowDue = time.Time{}
			return
		}
		if !f.chain.leaf() {
			f.rejoin(ctx)
			return
		}
		now := clock.Now()
		if leafRowDue.IsZero() {
			leafRowDue = now.Add(leafRowDelay + f.turn(f.leafRowSpread()))
		}
		if now.Before(leafRowDue) {
			return
		}
		if err := f.routerList.writeLeaf(ctx); err != nil {
			leafRowDue = now.Add(leafRowDelay + f.turn(2*f.leafRowSpread()))
			return
		}
		f.replica.listed()
	})
}

// leafRowSpread returns the span over which all leaves write their rows.
func (f *follower) leafRowSpread() time.Duration {
	return time.Duration(max(f.replica.Routers(), upstream.LargeZone)) * time.Second / leafRowsPerSecond
}

// rejoin writes this router's row again if a restore has lost it.
func (f *follower) rejoin(ctx context.Context) {
	askedAt := clock.Now()
	view, err := f.routerList.rejoin(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("router_row_not_written_again")
		return
	}
	f.observeEpoch()
	f.replica.rejoined(view.self)
	f.announceJoin(&view)
	f.applyView(askedAt, &view)
	log.WithFields(view.logFields()).Info("rejoined")
}

const (
	// startPeerWait is how long a starting router waits for its peers to supply it
	// before it reads the store itself; it covers some hops and a late row.
	startPeerWait = 200 * time.Millisecond
	// startStagger spreads the first reads of unsupplied routers after that, so that the
	// first one can supply the others.
	startStagger = 400 * time.Millisecond
	// largeStartPeerWait and largeStartStagger are used in their place in a large fleet, where
	// the first one reads for seconds and the store cannot serve the whole list to all.
	largeStartPeerWait = 6 * time.Second
	largeStartStagger  = 20 * time.Second
	// startCheckInterval is the time between two checks whether a starting router is supplied.
	startCheckInterval = 10 * time.Millisecond
)

// awaitPeers waits for peers to supply a starting router, and reports whether ctx is still
// open. The first router of all does not wait.
func (f *follower) awaitPeers(ctx context.Context) bool {
	for clock.Since(f.startedAt) < f.startWait() && !f.chain.reads() && !f.replica.initialized() {
		if !wait.For(ctx, startCheckInterval) {
			return false
		}
	}
	return true
}

// startWait returns how long after its start a router waits for its peers to supply it.
func (f *follower) startWait() time.Duration {
	if f.chain.large() || f.joinRefused.Load() || f.longList.Load() || f.replica.Pending(clock.Now()) {
		return largeStartPeerWait + f.turn(largeStartStagger)
	}
	return startPeerWait + f.turn(startStagger)
}

// turn returns this router's part of a span over which routers spread what all of them do.
func (f *follower) turn(span time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(string(f.replica.node)) % uint64(span))
}
