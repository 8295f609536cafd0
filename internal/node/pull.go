package node

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// puller requests the state of a peer.
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

// relays reports whether this router is the first of its zone or, with several regions, may
// relay notifications in its zone.
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

// leaf reports whether this router is a leaf.
func (g *chainGuard) leaf() (leaf bool) {
	g.use(func(chain *upstream.Chain) { leaf = chain.Leaf() })
	return leaf
}

// large reports whether this router knows only the backbone of a large fleet.
func (g *chainGuard) large() (large bool) {
	g.use(func(chain *upstream.Chain) { large = chain.Large() })
	return large
}

// down reports whether a peer did not answer repeatedly.
func (g *chainGuard) down(node ident.Node) (down bool) {
	g.use(func(chain *upstream.Chain) { down = chain.Down(node) })
	return down
}

// joined reports whether this router has written its row, or is a leaf.
func (g *chainGuard) joined() (joined bool) {
	g.use(func(chain *upstream.Chain) { joined = chain.Joined() })
	return joined
}

// observeFollower records that a peer pulls from this router.
func (g *chainGuard) observeFollower(peer upstream.Peer) {
	g.use(func(chain *upstream.Chain) { chain.AddFollower(peer) })
}

const (
	// maxChainPause bounds the time between two evaluations of the chain.
	maxChainPause = 500 * time.Millisecond
	// countCheckInterval is the time between two checks whether the routers must be counted.
	countCheckInterval = 500 * time.Millisecond
	// firstRecountDelay is the time from the start of the router that reads the store for others to
	// its second count: routers that start together have written their rows by then, and each of
	// them counted only those before it.
	firstRecountDelay = time.Second
	// minPullInterval is the least time between two pulls, even if the peer answers at once.
	minPullInterval = 20 * time.Millisecond
)

// followPeers writes this router's row and pulls from the peers that the chain selects,
// until ctx ends.
func (f *follower) followPeers(ctx context.Context) {
	if !f.join(ctx) {
		return
	}
	source := upstream.Source(upstream.Store{})
	confirmation := uint64(0)
	for ctx.Err() == nil {
		next := f.next(clock.Sync())
		if f.refreshDue(clock.Now(), next) {
			f.refresh(ctx)
			next = f.next(clock.Sync())
		}
		if !sameSource(next, source) {
			logSource(next)
			confirmation = 0
		}
		source = next
		f.flood.SetParent(parentOf(next))
		switch next := next.(type) {
		case upstream.Peer:
			begun := clock.Now()
			confirmation = f.pull(ctx, next, confirmation)
			wait.For(ctx, max(minPullInterval-clock.Since(begun), time.Millisecond))
		case upstream.Store:
			wait.For(ctx, min(max(clock.Until(next.RetryAt), minPullInterval), maxChainPause))
		}
	}
}

// parentOf returns the address of the router that state comes from, the zero address for the store.
func parentOf(source upstream.Source) netip.AddrPort {
	if peer, ok := source.(upstream.Peer); ok {
		return peer.Addr
	}
	return netip.AddrPort{}
}

// observePull records that a peer pulls from this router.
func (f *follower) observePull(peer upstream.Peer) {
	f.chain.observeFollower(peer)
	f.flood.ObserveChild(clock.Now(), peer.Addr)
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

// advertiseShutdown reports to the routers that pull from this one that it is shutting down, so
// that another one takes its place in the chain.
func (f *follower) advertiseShutdown() {
	f.chain.use(func(chain *upstream.Chain) { chain.SetShuttingDown() })
	f.replica.advertiseShutdown()
}

func (f *follower) next(now time.Time) (next upstream.Source) {
	age := max(f.replica.holder.View().Age(now), f.replica.listAge(now, f.startedAt))
	f.chain.use(func(chain *upstream.Chain) { next = chain.Next(now, age) })
	return next
}

// pull requests the state of a peer once, applies it, and returns the number of the
// peer's confirmation, 0 if there is none.
func (f *follower) pull(ctx context.Context, peer upstream.Peer, confirmation uint64) uint64 {
	pull := &upstream.Pull{Confirmation: confirmation, Packed: true}
	pull.Configuration, pull.List = f.replica.copyVersions()
	pull.Quarantine = f.guard.Digest()
	pull.Elders = f.replica.eldersDigest()
	pull.UpdatesDigest = backend.UpdatesDigest(f.replica.backends.StateUpdates(clock.Now()))
	// The contents of prompt caches can wait until this router can serve.
	if f.replica.initialized() {
		pull.Caches, pull.CachePositions = true, f.replica.caches.Positions()
	}
	pull.Pending = f.replica.Pending(clock.Now())
	f.chain.use(func(chain *upstream.Chain) { pull.From = chain.Self() })
	update, at, err := f.client.Pull(ctx, peer, pull)
	if ctx.Err() != nil {
		return 0
	}
	result := f.evaluate(peer, update, err)
	switch result.(type) {
	case upstream.Restarted:
		f.view.observeRestart()
	case upstream.Pending:
		f.replica.setReadingSince(at.Add(-update.ReadingFor))
	}
	if f.shouldApply(update, result, at) {
		err = f.apply(update, at)
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

// shouldApply reports whether an update as of a time should be applied: it is fresh, or complete
// while this router has no state yet, an older configuration or an older confirmation of it. Ages
// and versions prevent that older state replaces newer.
func (f *follower) shouldApply(update *upstream.Update, result upstream.Result, at time.Time) bool {
	if _, fresh := result.(upstream.Fresh); fresh {
		return true
	}
	if update == nil || !update.Complete() {
		return false
	}
	if !f.replica.initialized() || f.replica.behind(&update.Configuration) {
		return true
	}
	// While most reads of the store fail, each router is served by those of the others.
	_, stale := result.(upstream.Stale)
	confirmedAt := at.Add(-update.Configuration.Age)
	return stale && f.epochsCurrent(update) && confirmedAt.After(f.replica.holder.View().ConfirmedAt)
}

// resultName returns the metric label of a result: its type's name in lower case.
func resultName(result upstream.Result) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", result), "upstream."))
}

// evaluate returns the result of a pull.
func (f *follower) evaluate(peer upstream.Peer, update *upstream.Update, err error) (result upstream.Result) {
	switch {
	case err != nil:
		return upstream.Failed{}
	case update.Revision != peer.Revision:
		return upstream.Restarted{Revision: update.Revision}
	case !update.Complete() && update.ReadingFor > 0 && update.ReadingFor <= maxListRead:
		return upstream.Pending{}
	case !update.Complete():
		return upstream.Stale{}
	case !f.epochsCurrent(update):
		return upstream.Stale{}
	}
	age := max(update.Configuration.Age, update.List.Age)
	f.chain.use(func(chain *upstream.Chain) { result = chain.Classify(update.Origin, age) })
	return result
}

// epochsCurrent reports whether a peer has observed all store restores that this router has.
// Otherwise it may have confirmed its state by a version that was assigned again after a restore.
// Older builds and routers that pull only from them observe none.
func (f *follower) epochsCurrent(update *upstream.Update) bool {
	_, known := f.epochs.First()
	return update.Epoch >= f.handledEpoch.Load() && (update.FirstEra > 0 || !known)
}

// apply applies the state of a peer as of a time.
func (f *follower) apply(update *upstream.Update, at time.Time) error {
	f.configurationSeen.Store(true)
	f.applyPeerEpoch(update)
	// First, so that a starting router has it before it serves.
	f.guard.Merge(at, update.Quarantine)
	for _, publication := range update.Configuration.Publications {
		f.applyPublication(&publication, at)
	}
	configuration := &update.Configuration
	err := f.replica.applyConfiguration(
		update.Origin, at.Add(-configuration.Age), configuration, peerRollouts(configuration.Rollouts, at),
	)
	if err != nil {
		return err
	}
	f.replica.applyList(update.Origin, at.Add(-update.List.Age), &update.List)
	f.replica.backends.ObserveGoneReleases(at, update.GoneReleases)
	if update.PastReleasesKnown {
		f.replica.backends.ObservePastReleases(at, nil)
	}
	f.replica.backends.ApplyOverloads(at, update.Overloads)
	f.replica.caches.ApplyUpdates(at, update.Caches)
	// After the instance list: updates of back ends that are not listed are ignored.
	f.replica.updates.applyUpdates(update.StateUpdates)
	if position := configuration.WatchPosition; position != nil {
		// After the publications up to this position have been applied.
		f.replica.advanceWatch(watchPosition{revision: position.Revision, storeTime: position.StoreTime}, false)
	}
	if update.Routers > 0 {
		f.replica.observeRouterCount(at.Add(-update.RoutersAge), update.Routers)
	}
	if f.chain.large() && len(update.Elders) > 0 {
		f.setElders(update.Elders)
	}
	return nil
}

func (f *follower) applyPublication(update *upstream.Publication, at time.Time) {
	publication := catalog.Publication{Version: update.Version, SeenAt: at.Add(-update.Age), SeenAtStart: update.SeenAtStart}
	if f.replica.holder.Published(update.Model, publication) {
		log.WithFields(log.Fields{
			"model": update.Model, "version": update.Version, "age_ms": update.Age.Milliseconds(), "met": update.SeenAtStart,
		}).Info("version_named")
	}
}

// countRouters reads the router list regularly while this router reads the store for others or
// holds the lease, until ctx ends. Routers that send or relay notifications also read it when
// the number of routers changes, and all do after a router has joined.
func (f *follower) countRouters(ctx context.Context, holdsLease func() bool) {
	minAge := f.config.RouterListInterval - countCheckInterval/2
	triedAt, recounted := clock.Now(), false
	wait.Every(ctx, countCheckInterval, func() {
		now := clock.Now()
		intervalOver := now.Sub(triedAt) >= minAge
		if !recounted && f.chain.joined() && clock.Since(f.startedAt) >= firstRecountDelay {
			recounted = true
			intervalOver = intervalOver || (f.readsForOthers() && !f.chain.large())
		}
		// After a takeover or a failed count don't wait a whole interval: the others get no
		// share of the retry slack while their count is old.
		due := f.readsForOthers() && (intervalOver || f.replica.routerCountAge(now) >= minAge)
		changed := f.chain.relays() && f.replica.Routers() != f.recipients.count()+1
		// In a large fleet only a holder that sends permits needs to know all routers.
		sends := (holdsLease() && (f.states != nil || !f.chain.large())) || (changed && !f.chain.large())
		if !due && !(intervalOver && sends) && !f.newRouters.Load() {
			return
		}
		triedAt = now
		f.readRouters(ctx)
	})
}

// readRouters reads the router list.
func (f *follower) readRouters(ctx context.Context) {
	newRouters := f.newRouters.Swap(false)
	readAt := clock.Now()
	peers, routers, err := f.routerList.readAll(ctx, f.chain.large())
	if err != nil {
		if newRouters {
			f.newRouters.Store(true)
		}
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("routers_not_counted")
		return
	}
	f.observeEpoch()
	f.replica.observeRouterCount(readAt, routers)
	f.recipients.set(peers)
	if f.chain.large() {
		f.setElders(upstream.Elders(peers))
	}
}

// setElders sets the routers of a large fleet that may lead pools of limits.
func (f *follower) setElders(elders []upstream.Peer) {
	if !f.replica.setElders(elders) || f.onJoined == nil {
		return
	}
	var self upstream.Peer
	f.chain.use(func(chain *upstream.Chain) { self = chain.Self() })
	f.onJoined(self, elders)
}
