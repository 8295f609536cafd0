package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// puller asks a peer for its state.
type puller interface {
	Pull(ctx context.Context, peer upstream.Peer, pull *upstream.Pull) (*upstream.Update, time.Time, error)
}

// chainGuard makes a Chain safe for concurrent use.
type chainGuard struct {
	mu    sync.Mutex
	chain *upstream.Chain
}

func newChainGuard(cfg upstream.Config) *chainGuard {
	return &chainGuard{chain: upstream.NewChain(cfg)}
}

func (g *chainGuard) use(use func(*upstream.Chain)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	use(g.chain)
}

// reads reports whether this router reads the store for all.
func (g *chainGuard) reads() (reads bool) {
	g.use(func(chain *upstream.Chain) { reads = chain.Joined() && chain.First() })
	return reads
}

// leads reports whether this router is the first of its zone.
func (g *chainGuard) leads() (leads bool) {
	g.use(func(chain *upstream.Chain) { leads = chain.Joined() && chain.Rank() == 0 })
	return leads
}

// relays reports whether this router is the first of its zone or, where there are several
// regions, may pass notices on in its zone.
func (g *chainGuard) relays() (relays bool) {
	g.use(func(chain *upstream.Chain) {
		most := 1
		if chain.Regional() {
			most = relaysPerZone
		}
		relays = chain.Joined() && chain.Rank() < most
	})
	return relays
}

// leadsRegion reports whether this router is the first of its region, or of its zone if
// there is one region.
func (g *chainGuard) leadsRegion() (leads bool) {
	g.use(func(chain *upstream.Chain) { leads = chain.Joined() && chain.FirstOfRegion() })
	return leads
}

// joined reports whether this router has a row.
func (g *chainGuard) joined() (joined bool) {
	g.use(func(chain *upstream.Chain) { joined = chain.Joined() })
	return joined
}

// observeFollower takes in that a peer pulls from this router.
func (g *chainGuard) observeFollower(peer upstream.Peer) {
	g.use(func(chain *upstream.Chain) { chain.AddFollower(peer) })
}

const (
	// joinPause is the time between two tries to write this router's row.
	joinPause = 250 * time.Millisecond
	// chainPause bounds the time between two looks at the chain.
	chainPause = 500 * time.Millisecond
	// countLook is the time between two looks at whether the routers are to be counted.
	countLook = 500 * time.Millisecond
	// leastPull is the least time between two pulls, whatever the peer answers.
	leastPull = 20 * time.Millisecond
)

// followPeers joins the routers of the zone and pulls from the peers that the
// chain names, until ctx ends.
func (f *follower) followPeers(ctx context.Context) {
	if !f.join(ctx) {
		return
	}
	source := upstream.Source(upstream.Store{})
	confirmation := uint64(0)
	for ctx.Err() == nil {
		next := f.next(clock.Sync())
		if !sameSource(next, source) {
			logSource(next)
			confirmation = 0
		}
		source = next
		switch next := next.(type) {
		case upstream.Peer:
			begun := clock.Now()
			confirmation = f.pull(ctx, next, confirmation)
			wait.For(ctx, max(leastPull-clock.Since(begun), time.Millisecond))
		case upstream.Store:
			wait.For(ctx, min(max(clock.Until(next.RetryAt), leastPull), chainPause))
		}
	}
}

// sameSource reports whether two sources are the same peer, or both the store.
func sameSource(a, b upstream.Source) bool {
	first, peer := a.(upstream.Peer)
	second, other := b.(upstream.Peer)
	return peer == other && first.Node == second.Node
}

func logSource(source upstream.Source) {
	switch source := source.(type) {
	case upstream.Peer:
		log.WithFields(log.Fields{"peer": source.Node, "address": source.Addr.String()}).Info("state_from_peer")
	case upstream.Store:
		log.Info("state_from_store")
	}
}

// join writes this router's row, and reports whether ctx is still open.
func (f *follower) join(ctx context.Context) bool {
	seen := &dependency{name: "router row", count: f.onLost}
	for ctx.Err() == nil {
		askedAt := clock.Now()
		self, peers, routers, err := f.routerList.join(ctx)
		seen.saw(err)
		if err == nil {
			f.noteEpoch()
			f.replica.joined(self)
			f.takeRoster(askedAt, self, peers, routers)
			log.WithFields(log.Fields{"revision": self.Revision, "peers": len(peers), "routers": routers}).Info("joined")
			return true
		}
		wait.For(ctx, joinPause)
	}
	return false
}

// advertiseShutdown takes in that this router is about to end: those that pull from it learn that, and
// the first one of them that stays takes its place.
func (f *follower) advertiseShutdown() {
	f.chain.use(func(chain *upstream.Chain) { chain.SetShuttingDown() })
	f.replica.leave()
}

func (f *follower) next(now time.Time) (next upstream.Source) {
	age := max(f.replica.holder.View().Age(now), f.replica.listAge(now, f.startedAt))
	f.chain.use(func(chain *upstream.Chain) { next = chain.Next(now, age) })
	return next
}

// pull asks a peer once, takes in what it answers, and returns the number of
// its confirmation.
func (f *follower) pull(ctx context.Context, peer upstream.Peer, confirmation uint64) uint64 {
	pull := &upstream.Pull{Confirmation: confirmation}
	pull.Configuration, pull.List = f.replica.holds()
	pull.Quarantine = f.guard.Digest()
	pull.UpdatesDigest = backend.UpdatesDigest(f.replica.backends.StateUpdates(clock.Now()))
	// What caches hold can wait until this router can serve.
	if f.replica.knows() {
		pull.Caches, pull.CachePositions = true, f.replica.caches.Positions()
	}
	f.chain.use(func(chain *upstream.Chain) { pull.From = chain.Self() })
	update, at, err := f.client.Pull(ctx, peer, pull)
	if ctx.Err() != nil {
		return 0
	}
	result := f.judge(peer, update, err)
	if f.wants(update, result) {
		err = f.take(update, at)
	}
	f.onPulled(resultName(result))
	if err != nil {
		log.WithFields(log.Fields{"peer": peer.Node, "cause": err.Error()}).Warn("pull_failed")
		result = upstream.Failed{}
	}
	f.chain.use(func(chain *upstream.Chain) {
		if update != nil {
			chain.SetPeerShuttingDown(peer.Node, update.ShuttingDown)
		}
		chain.RecordPull(clock.Now(), peer.Node, result)
	})
	if update == nil {
		return 0
	}
	return update.Confirmation
}

// wants reports whether an update is to be taken in. A router that knows nothing
// yet takes the state of any peer, and one that met an older configuration, as the store
// wrote it late, any newer one; ages and versions guard what is believed.
func (f *follower) wants(update *upstream.Update, result upstream.Result) bool {
	if _, fresh := result.(upstream.Fresh); fresh {
		return true
	}
	return update != nil && update.Complete() && (!f.replica.knows() || f.replica.behind(&update.Configuration))
}

// resultName is the name of a result in metrics.
func resultName(result upstream.Result) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", result), "upstream."))
}

// judge says what came of a pull.
func (f *follower) judge(peer upstream.Peer, update *upstream.Update, err error) (result upstream.Result) {
	switch {
	case err != nil:
		return upstream.Failed{}
	case update.Revision != peer.Revision:
		return upstream.Restarted{Revision: update.Revision}
	case !update.Complete():
		return upstream.Stale{}
	case !f.knowsReturns(update):
		return upstream.Stale{}
	}
	age := max(update.Configuration.Age, update.List.Age)
	f.chain.use(func(chain *upstream.Chain) { result = chain.Classify(update.Origin, age) })
	return result
}

// knowsReturns reports whether a peer can know all that this router does of the store's returns
// from older copies. One that does not may have confirmed what it holds by a version that was
// given out again. Older builds never know, and those that only pull from them hear of none.
func (f *follower) knowsReturns(update *upstream.Update) bool {
	_, told := f.epochs.First()
	return update.Epoch >= f.seenEpoch.Load() && (update.FirstEra > 0 || !told)
}

// take takes in the state of a peer as of a time.
func (f *follower) take(update *upstream.Update, at time.Time) error {
	f.looked.Store(true)
	f.takeEpoch(update)
	// It comes first, so that a router that starts knows it before it serves.
	f.guard.Merge(at, update.Quarantine)
	for _, naming := range update.Configuration.Publications {
		f.takeNaming(&naming, at)
	}
	configuration := &update.Configuration
	err := f.replica.applyConfiguration(
		update.Origin, at.Add(-configuration.Age), configuration, peerRollouts(configuration.Rollouts, at),
	)
	if err != nil {
		return err
	}
	f.replica.takeList(update.Origin, at.Add(-update.List.Age), &update.List)
	f.replica.caches.Take(at, update.Caches)
	// The list of back ends comes first: a limit of one that is not listed is passed over.
	f.replica.updates.applyUpdates(update.StateUpdates)
	if told := configuration.WatchPosition; told != nil {
		// The namings up to this revision were taken in before it is.
		f.replica.watchedUpTo(watched{revision: told.Revision, storeTime: told.StoreTime}, false)
	}
	if update.Routers > 0 {
		f.replica.counted(at.Add(-update.RoutersAge), update.Routers)
	}
	return nil
}

func (f *follower) takeNaming(told *upstream.Publication, at time.Time) {
	naming := catalog.Publication{Version: told.Version, SeenAt: at.Add(-told.Age), SeenAtStart: told.SeenAtStart}
	if f.replica.holder.Published(told.Model, naming) {
		log.WithFields(log.Fields{
			"model": told.Model, "version": told.Version, "age_ms": told.Age.Milliseconds(), "met": told.SeenAtStart,
		}).Info("version_named")
	}
}

// countRouters keeps the rows of the routers up to date while this router reads the
// store for others or holds the lease, until ctx ends. Those that tell others what becomes of
// engines, or pass that on, read them when their number is another one.
func (f *follower) countRouters(ctx context.Context, holds func() bool) {
	least := f.config.RosterInterval - countLook/2
	triedAt := clock.Now()
	wait.Every(ctx, countLook, func() {
		now := clock.Now()
		rested := now.Sub(triedAt) >= least
		// A router that takes over from one that died before its next count, and one whose
		// count failed, must not wait for an interval of its own: the others take no part of
		// the slack of repeats while their count is old.
		due := f.readsForOthers() && (rested || f.replica.countAge(now) >= least)
		changed := f.chain.relays() && f.replica.Routers() != f.recipients.count()+1
		if !due && !(rested && (holds() || changed)) {
			return
		}
		triedAt = now
		f.readRouters(ctx)
	})
}

// readRouters reads the rows of the routers.
func (f *follower) readRouters(ctx context.Context) {
	readAt := clock.Now()
	peers, routers, err := f.routerList.read(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("routers_not_counted")
		return
	}
	f.noteEpoch()
	f.replica.counted(readAt, routers)
	f.recipients.know(peers)
}
