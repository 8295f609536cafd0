package node

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/flood"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// follower keeps the replica up to date: it reads the store as often as this router's
// place in the chain requires, and otherwise pulls from a peer. A read counts from the
// time of its request, so that a slow answer or a paused process doesn't make old state
// count as current.
type follower struct {
	source Source
	// feed reads a long instance list by its changes; it may be nil.
	feed         BackendFeed
	replica      *replica
	config       FollowConfig
	publications *publicationStore
	routerList   *routerList
	// states reads the states of rollouts; nil without canary rollouts.
	states *rolloutStates
	// guard reads the quarantined requests; it may be nil.
	guard  *guard.Guard
	client puller
	chain  *chainGuard
	// recipients is updated at each read of the router list.
	recipients *recipients
	// onJoined is called with this router's row and those of all routers, once it is written.
	onJoined func(self upstream.Peer, peers []upstream.Peer)
	// announce reports to other routers that this one has joined; it may be nil.
	announce func(others []netip.AddrPort)
	// newRouters is whether a router has joined whose row was not read yet.
	newRouters atomic.Bool
	// onLost is called each time a dependency is lost.
	onLost func(name string)
	// onPulled is called with the result of each pull, onWatched with that of each watch.
	onPulled, onWatched func(result string)
	// reads reports reads that do not confirm the configuration.
	reads unconfirmedReads
	// kept holds the newest configuration that a router has adopted; it may be nil. keptRead is
	// whether it was read by this router.
	kept     *configurationKeeper
	keptRead bool
	// gap is the time in which reads are answered and do not confirm the configuration.
	gap       catalog.Gap
	startedAt time.Time
	// zones are all zones, if they are known.
	zones []ident.Zone
	// zoneBackbone has the names of the backbone of this router's zone, if it belongs to it.
	zoneBackbone atomic.Pointer[[]ident.Node]
	// flood passes notifications on in a large fleet.
	flood *flood.Router
	// joinRefused is whether the store refused the last attempt to write this router's row, as
	// there were too many.
	joinRefused atomic.Bool
	// longList is whether this router knows that the instance list takes several calls.
	longList atomic.Bool
	// view is what is known of the last read of the peers.
	view viewState
	// configurationSeen is true once the configuration was read here or received from a peer.
	configurationSeen atomic.Bool
	// rowsReadAt is up to when the operator's rows are known by this router's own reads.
	rowsReadAt time.Time
	// pauses tells whether this process was paused.
	pauses pauseDetector
	// rowsLoadedAt is when the watch last read the publication rows, rowsLoadFailed whether
	// that failed.
	rowsLoadedAt   time.Time
	rowsLoadFailed atomic.Bool
	// epochs counts restores of the store; peersEpoch is the newest epoch that a peer reported,
	// handledEpoch the newest that this router has handled.
	epochs                   optionalEpochs
	peersEpoch, handledEpoch atomic.Uint64
	// outdated holds, by model, the version below the newest that its row was last logged with.
	outdated map[ident.Model]int
}

// FollowConfig sets how often the store is read.
type FollowConfig struct {
	// ConfigurationInterval is the time between two reads of the configuration.
	ConfigurationInterval time.Duration
	// BackendInterval is the time between two reads of the back ends.
	BackendInterval time.Duration
	// ReadTimeout bounds one read, and the silence in an answer that arrives slowly.
	ReadTimeout time.Duration
	// HistoryWait is how long answered reads may leave the configuration unconfirmed, since what
	// its row held before is not known; 0 means two seconds. Twice that must be below the time for
	// which keys stay valid without a confirmation.
	HistoryWait time.Duration
	// RetryPause follows a failed read. At routers that do not read the store for
	// others it doubles with each failure in a row, up to the interval.
	RetryPause time.Duration
	// RouterListInterval is the time between two counts of the routers.
	RouterListInterval time.Duration
	// Chain orders the routers of a zone.
	Chain upstream.Config
}

// dependency logs when reads start to fail and when they work again.
type dependency struct {
	name string
	// onLost is called each time the dependency is lost.
	onLost func(name string)
	lost   bool
	// lostAt is when the first read in a row failed.
	lostAt time.Time
}

func (d *dependency) observe(err error) {
	switch {
	case err != nil && !d.lost:
		d.lost, d.lostAt = true, clock.Now()
		d.onLost(d.name)
		log.WithFields(log.Fields{"dependency": d.name, "cause": err.Error()}).Warn("dependency_lost")
	case err == nil && d.lost:
		d.lost = false
		log.WithFields(log.Fields{"dependency": d.name, "lost_ms": clock.Since(d.lostAt).Milliseconds()}).Info("dependency_regained")
	}
}

// followConfiguration reads the configuration from the store until ctx ends.
func (f *follower) followConfiguration(ctx context.Context) {
	dep := &dependency{name: "configuration", onLost: f.onLost}
	due := func(now time.Time) time.Duration {
		confirmedAt := f.startedAt
		if view := f.replica.holder.View(); view.Snapshot != nil {
			confirmedAt = view.ConfirmedAt
		}
		return f.due(f.config.ConfigurationInterval) - now.Sub(confirmedAt)
	}
	f.poll(ctx, f.config.ConfigurationInterval, due, func() error {
		err := f.readConfiguration(ctx)
		if ctx.Err() == nil {
			dep.observe(err)
		}
		return err
	})
}

// defaultHistoryWait is the default of FollowConfig.HistoryWait: a store that drops its history may
// return it a second later.
const defaultHistoryWait = 2 * time.Second

// maxReadTime bounds a read whose answer arrives slowly, within the time for which a configuration
// stays valid.
const maxReadTime = 4 * time.Second

// readContext returns the context of one read of the store: the same read would not be faster later,
// so that it goes on while its answer arrives.
func (f *follower) readContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return wait.WithSilence(ctx, f.config.ReadTimeout, f.config.ReadTimeout, max(maxReadTime, f.config.ReadTimeout))
}

func (f *follower) readConfiguration(ctx context.Context) error {
	askedAt := clock.Sync()
	bounded, cancel := f.readContext(ctx)
	defer cancel()
	reading, err := f.source.Configuration(bounded)
	if err != nil {
		f.rowsReadFailed(askedAt)
		if ctx.Err() == nil {
			f.reads.observe(f.replica.holder, catalog.Unconfirmed{Reason: catalog.ReadFailed, AskedAt: askedAt}, err)
		}
		return err
	}
	f.observeEpoch()
	f.guard.Load(ctx, askedAt.Sub(f.replica.holder.View().ConfirmedAt))
	f.observePublications(ctx, askedAt, &reading)
	// Not the time of the answer: the process may have been paused since it was sent.
	f.rowsReadAt = askedAt
	f.replica.recordRead(askedAt, &reading)
	rollouts := f.orders(askedAt, f.replica.holder.View().ConfirmedAt, &reading)
	if f.replica.configurationVersion() == 0 || (!f.keptRead && f.readsForOthers()) {
		f.adoptKept(ctx, askedAt)
	}
	unconfirmed, err := f.applyReading(ctx, askedAt, &reading, rollouts)
	if ctx.Err() == nil {
		f.reads.observe(f.replica.holder, unconfirmed, err)
	}
	if err == nil {
		f.checkHistory(ctx, askedAt, &reading)
	}
	if err == nil && f.replica.currentRollouts().pending() {
		f.readStates(ctx)
	}
	return err
}

// orders returns the rollout orders of a read, nil if there are none. A rollout whose order was
// withdrawn remains until it is over.
func (f *follower) orders(askedAt, confirmedAt time.Time, reading *Reading) *knownRollouts {
	known := f.replica.currentRollouts()
	if f.states == nil || (len(reading.Orders) == 0 && !known.pending()) {
		return nil
	}
	orders := &knownRollouts{orders: reading.Orders, storeTime: reading.StoreTime, readAt: askedAt}
	switch {
	case orders.newestRevision() <= known.newestRevision():
		orders.absentAt = known.absentAt
	case !confirmedAt.IsZero():
		// The order did not exist when a router last confirmed the configuration.
		orders.absentAt = max(reading.StoreTime-askedAt.Sub(confirmedAt), 0)
	}
	return orders
}

// readStates reads the states of rollouts. Call it only while an order has no final state, so
// that finished rollouts cost no calls.
func (f *follower) readStates(ctx context.Context) {
	askedAt := clock.Now()
	states, err := f.states.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("rollout_states_not_read")
		return
	}
	f.replica.applyStates(askedAt, states)
}

// observePublications applies the published versions of a read. One that the first read finds may
// have been published long before; one found after the rows were unknown for a time, at any
// moment of that time.
func (f *follower) observePublications(ctx context.Context, askedAt time.Time, reading *Reading) {
	seen := f.configurationSeen.Swap(true)
	// Computed now, as the process may have been paused since the answer was sent.
	since, known := f.rowsUnknownSince(askedAt), true
	if !seen {
		since, known = unmarkedSince(f.loadAllPublications(ctx, askedAt, reading), askedAt, reading.StoreTime)
	}
	for model, version := range reading.Models {
		f.logOutdatedVersion(model, version)
		publication := catalog.Publication{Version: version, SeenAt: since, SeenAtStart: !known}
		if !f.replica.holder.Published(model, publication) {
			continue
		}
		age := askedAt.Sub(since)
		log.WithFields(log.Fields{
			"model": model, "version": version, "met": publication.SeenAtStart, "age_ms": age.Milliseconds(),
		}).Info("version_named")
		if known {
			f.publications.save(ctx, model, version, publicationRow{FirstSeen: max(reading.StoreTime-age, 0)})
		}
	}
}

// logOutdatedVersion logs, once for each version, that a row has an older version than the known
// one: the store executed an older write after a newer one.
func (f *follower) logOutdatedVersion(model ident.Model, version int) {
	known := f.replica.holder.View().Models[model].Version
	if version >= known {
		delete(f.outdated, model)
		return
	}
	if f.outdated[model] == version {
		return
	}
	if f.outdated == nil {
		f.outdated = make(map[ident.Model]int)
	}
	f.outdated[model] = version
	log.WithFields(log.Fields{"model": model, "version": version, "known": known}).Warn("version_row_outdated")
}

// loadAllPublications applies the publication rows of all models, and returns the store's own time
// up to which they are complete, 0 if unknown. If a model's rows cannot be read, the next read of
// the configuration tries again: only they bound the age of a version that was published while
// no router ran.
func (f *follower) loadAllPublications(ctx context.Context, askedAt time.Time, reading *Reading) (marked time.Duration) {
	for model := range reading.Models {
		stored, err := f.loadPublications(ctx, askedAt, reading.StoreTime, model)
		if err != nil {
			log.WithFields(log.Fields{"model": model, "cause": err.Error()}).Warn("namings_not_found")
			f.configurationSeen.Store(false)
			continue
		}
		marked = max(marked, stored.markedTo)
	}
	return marked
}

// loadPublications applies the publication rows of a model.
func (f *follower) loadPublications(ctx context.Context, askedAt time.Time, storeTime time.Duration, model ident.Model) (storedPublications, error) {
	stored, err := f.publications.load(ctx, model, storeTime, askedAt)
	if err != nil {
		return storedPublications{}, err
	}
	f.applyStored(model, &stored)
	f.replica.advanceWatch(watchPosition{revision: stored.completeTo, storeTime: stored.markedTo}, false)
	return stored, nil
}

// followBackends reads the list of back ends from the store until ctx ends.
func (f *follower) followBackends(ctx context.Context) {
	dep := &dependency{name: "backends", onLost: f.onLost}
	due := func(now time.Time) time.Duration {
		return f.listDue(f.config.BackendInterval) - f.replica.listAge(now, f.startedAt)
	}
	f.poll(ctx, f.config.BackendInterval, due, func() error {
		err := f.readBackends(ctx)
		if ctx.Err() == nil {
			dep.observe(err)
		}
		return err
	})
}

// due returns the age at which this router reads the store itself.
func (f *follower) due(interval time.Duration) (due time.Duration) {
	own := f.replica.ownOrigin()
	f.chain.use(func(chain *upstream.Chain) { due = chain.ReadAge(interval, own) })
	return due
}

// listDue is due for the instance list.
func (f *follower) listDue(interval time.Duration) (due time.Duration) {
	own := f.replica.ownOrigin()
	f.chain.use(func(chain *upstream.Chain) { due = chain.ListReadAge(interval, own) })
	return due
}

// minOwnOriginTime is how long a router that is not the first of all reads the store itself
// before it takes over the first one's duties. While peers come and go many routers read for a
// shorter time, and would make needless calls.
const minOwnOriginTime = 2 * time.Second

// readsForOthers reports whether this router has the duties that one router does for all: it is
// the first of all, or no peer has supplied it for a while. A first router that is cut off from
// the store still answers pulls and stays the first, so another one must count the routers and
// recheck changes.
func (f *follower) readsForOthers() bool {
	return f.chain.reads() || (f.replica.ownOriginFor() >= minOwnOriginTime && !f.chain.leaf())
}

// contends reports whether this router should take the rollout lease if it is free. The first
// router of a region may be cut off from the store, so those that read in its place contend too.
func (f *follower) contends() bool { return f.chain.leadsRegion() || f.readsForOthers() }

// poll calls read whenever due returns no time left, until ctx ends; the first time at
// once, unless peers supply this router. It pauses after a failed read, longer each time.
func (f *follower) poll(ctx context.Context, interval time.Duration, due func(now time.Time) time.Duration, read func() error) {
	pause := time.Duration(0)
	if !f.awaitPeers(ctx) || (f.replica.initialized() && !f.chain.reads() && !waitUntilDue(ctx, 0, due)) {
		return
	}
	for ctx.Err() == nil {
		begun := clock.Now()
		if read() == nil {
			pause = 0
		} else {
			pause = f.retryPause(pause, interval)
		}
		minWait := pause
		if pause == 0 {
			minWait = interval - clock.Since(begun)
		}
		if !waitUntilDue(ctx, minWait, due) {
			return
		}
	}
}

// retryPause returns the pause after a failed read, given the previous one. Only the
// router that reads for others retries at a constant pace.
func (f *follower) retryPause(pause, interval time.Duration) time.Duration {
	if f.chain.reads() {
		return f.config.RetryPause
	}
	return min(max(2*pause, f.config.RetryPause), interval)
}

// waitUntilDue waits for a least time and then until a read is due, and reports whether
// ctx is still open. State from a peer postpones the read.
func waitUntilDue(ctx context.Context, minWait time.Duration, due func(now time.Time) time.Duration) bool {
	left := minWait
	for {
		if !wait.For(ctx, max(left, time.Millisecond)) {
			return false
		}
		left = due(clock.Sync())
		if left <= 0 {
			return true
		}
	}
}
