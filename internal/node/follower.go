package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// follower keeps the replica up to date: it reads the store as often as this
// router's place in the chain asks for, and else pulls from a peer. A read counts
// from the moment it was asked for, so that neither a pause of the process nor a
// slow answer makes old news look new.
type follower struct {
	source       Source
	replica      *replica
	config       FollowConfig
	publications *publicationStore
	routerList   *routerList
	// states reads the states of rollouts; it is nil where no service is moved to another
	// release under guard.
	states *rolloutStates
	// guard reads the requests that are held; it may be nil.
	guard  *guard.Guard
	client puller
	chain  *chainGuard
	// recipients is kept up to date with the routers there are.
	recipients *recipients
	// onJoined is called with this router's row and those of all, once it is written.
	onJoined func(self upstream.Peer, peers []upstream.Peer)
	// onLost is called each time a dependency is lost.
	onLost func(name string)
	// pulled is called with the result of each pull, onWatched with that of each watch.
	onPulled, onWatched func(result string)
	// startedAt is when this router began to follow.
	startedAt time.Time
	// looked is true after the first read of the configuration.
	looked atomic.Bool
	// rowsKnownAt is up to when the rows were last known here by this router's own questions.
	rowsKnownAt time.Time
	// recalledAt is when the watch last read the naming rows, notRecalled whether that failed.
	recalledAt  time.Time
	notRecalled atomic.Bool
	// epochs counts the returns of the store from an older copy; peersEpoch is the newest one
	// that a peer told, seenEpoch the newest of which this router took notice.
	epochs                optionalEpochs
	peersEpoch, seenEpoch atomic.Uint64
	// outdated are the versions below the newest that rows named last, by model.
	outdated map[ident.Model]int
}

// FollowConfig fixes how often the store is read.
type FollowConfig struct {
	// ConfigurationInterval is the time between two reads of the configuration.
	ConfigurationInterval time.Duration
	// BackendInterval is the time between two reads of the back ends.
	BackendInterval time.Duration
	// ReadTimeout bounds one read.
	ReadTimeout time.Duration
	// RetryPause is waited after a failed read. It doubles with each one in a
	// row, up to the interval, at routers that do not read for their zone.
	RetryPause time.Duration
	// RosterInterval is the time between two counts of the routers.
	RosterInterval time.Duration
	// Chain orders the routers of a zone.
	Chain upstream.Config
}

// dependency logs when reads begin to fail and when they work again.
type dependency struct {
	name string
	// count is called each time the dependency is lost.
	count func(name string)
	lost  bool
	// lostAt is when the first read in a row failed.
	lostAt time.Time
}

func (d *dependency) saw(err error) {
	switch {
	case err != nil && !d.lost:
		d.lost, d.lostAt = true, clock.Now()
		d.count(d.name)
		log.WithFields(log.Fields{"dependency": d.name, "cause": err.Error()}).Warn("dependency_lost")
	case err == nil && d.lost:
		d.lost = false
		log.WithFields(log.Fields{"dependency": d.name, "lost_ms": clock.Since(d.lostAt).Milliseconds()}).Info("dependency_regained")
	}
}

// followConfiguration reads the configuration from the store until ctx ends.
func (f *follower) followConfiguration(ctx context.Context) {
	seen := &dependency{name: "configuration", count: f.onLost}
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
			seen.saw(err)
		}
		return err
	})
}

func (f *follower) readConfiguration(ctx context.Context) error {
	askedAt := clock.Sync()
	bounded, cancel := context.WithTimeout(ctx, f.config.ReadTimeout)
	defer cancel()
	reading, err := f.source.Configuration(bounded)
	if err != nil {
		f.rowsUnanswered(askedAt)
		return err
	}
	f.noteEpoch()
	f.guard.Load(ctx, askedAt.Sub(f.replica.holder.View().ConfirmedAt))
	f.readNamings(ctx, askedAt, &reading)
	// When the answer is read says nothing, as the process may have stood still meanwhile.
	f.rowsKnownAt = askedAt
	f.replica.rowsRead(askedAt, &reading)
	rollouts := f.orders(askedAt, f.replica.holder.View().ConfirmedAt, &reading)
	err = f.applyReading(ctx, askedAt, &reading, rollouts)
	if err == nil {
		f.checkHistory(ctx, askedAt, &reading)
	}
	if err == nil && f.replica.currentRollouts().pending() {
		f.readStates(ctx)
	}
	return err
}

// orders returns the orders of a read with the states that are known, or nil if there is
// none. A rollout whose order is withdrawn stays known until it is over.
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
		// When the configuration was last confirmed, by whichever router, the order was
		// not there.
		orders.absentAt = max(reading.StoreTime-askedAt.Sub(confirmedAt), 0)
	}
	return orders
}

// readStates reads the states of rollouts. Only orders without a final state are asked
// for, so that a rollout that is over costs nothing.
func (f *follower) readStates(ctx context.Context) {
	askedAt := clock.Now()
	states, err := f.states.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("rollout_states_not_read")
		return
	}
	f.replica.takeStates(askedAt, states)
}

// readNamings takes in the versions of weights that are named. One that is
// there at the first look may have been named long before, and one that is there after a time in
// which the rows were not known at any moment since then.
func (f *follower) readNamings(ctx context.Context, askedAt time.Time, reading *Reading) {
	looked := f.looked.Swap(true)
	// The answer may be read long after it was given, by a process that was paused.
	since, known := f.unaskedSince(askedAt), true
	if !looked {
		since, known = unseenSince(f.recallAll(ctx, askedAt, reading), askedAt, reading.StoreTime)
	}
	for model, version := range reading.Models {
		f.noteOutdated(model, version)
		naming := catalog.Publication{Version: version, SeenAt: since, SeenAtStart: !known}
		if !f.replica.holder.Published(model, naming) {
			continue
		}
		age := askedAt.Sub(since)
		log.WithFields(log.Fields{
			"model": model, "version": version, "met": naming.SeenAtStart, "age_ms": age.Milliseconds(),
		}).Info("version_named")
		if known {
			f.publications.keep(ctx, model, version, publicationRow{FirstSeen: max(reading.StoreTime-age, 0)})
		}
	}
}

// noteOutdated logs, once for each content, that a row names an older version than is
// known: an older write was carried out after a newer one.
func (f *follower) noteOutdated(model ident.Model, version int) {
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

// recallAll takes in what other routers kept of the versions of all models, and returns the
// store's time up to which they kept all, 0 if nothing tells it. If the rows of one model are
// not read, the next read of the configuration looks for them again, as nothing else tells
// then how old a version is that was named while all routers were away.
func (f *follower) recallAll(ctx context.Context, askedAt time.Time, reading *Reading) (marked time.Duration) {
	for model := range reading.Models {
		found, err := f.recallNamings(ctx, askedAt, reading.StoreTime, model)
		if err != nil {
			log.WithFields(log.Fields{"model": model, "cause": err.Error()}).Warn("namings_not_found")
			f.looked.Store(false)
			continue
		}
		marked = max(marked, found.marked)
	}
	return marked
}

// recallNamings takes in what other routers kept of the versions of a model.
func (f *follower) recallNamings(ctx context.Context, askedAt time.Time, storeTime time.Duration, model ident.Model) (kept, error) {
	found, err := f.publications.find(ctx, model, storeTime, askedAt)
	if err != nil {
		return kept{}, err
	}
	f.takeKept(model, &found)
	f.replica.watchedUpTo(watched{revision: found.watched, storeTime: found.marked}, false)
	return found, nil
}

// followBackends reads the list of back ends from the store until ctx ends.
func (f *follower) followBackends(ctx context.Context) {
	seen := &dependency{name: "backends", count: f.onLost}
	due := func(now time.Time) time.Duration {
		return f.due(f.config.BackendInterval) - f.replica.listAge(now, f.startedAt)
	}
	f.poll(ctx, f.config.BackendInterval, due, func() error {
		askedAt := clock.Now()
		bounded, cancel := context.WithTimeout(ctx, f.config.ReadTimeout)
		defer cancel()
		records, err := f.source.Backends(bounded)
		if ctx.Err() == nil {
			seen.saw(err)
		}
		if err != nil {
			return err
		}
		f.noteEpoch()
		records = slices.Clone(records)
		f.replica.backends.MarkDraining(records)
		f.replica.takeList(f.replica.node, askedAt, wholeList(records))
		return nil
	})
}

// due returns the age at which this router reads the store itself.
func (f *follower) due(interval time.Duration) (due time.Duration) {
	own := f.replica.ownOrigin()
	f.chain.use(func(chain *upstream.Chain) { due = chain.ReadAge(interval, own) })
	return due
}

// settledOrigin is how long a router that is not the first of all reads the store itself
// before it takes over what the first does once for all. Where peers come and go, many read
// for less: each would make calls for nothing.
const settledOrigin = 2 * time.Second

// readsForOthers reports whether this router does what is done once for all: it is the first
// of all, or no peer supplies it for a while. A first router that is cut off from the store
// alone still answers pulls, so that nobody else becomes the first one; without this nobody
// counted the routers that joined then, nor asked a second time for changes of the store.
func (f *follower) readsForOthers() bool {
	return f.chain.reads() || f.replica.ownOriginFor() >= settledOrigin
}

// contends reports whether this router is to hold the lease of weights if nobody else does.
// In a deployment of one zone nobody else took it for 30 s while its first router was cut off
// from the store alone, and no engine was ordered to take new weights.
func (f *follower) contends() bool { return f.chain.leadsRegion() || f.readsForOthers() }

const (
	// startPatience is how long a starting router waits for its peers to supply it
	// before it reads the store itself: some hops of a few ms each, and a late row.
	startPatience = 200 * time.Millisecond
	// startStagger is the span over which routers that nobody supplied then begin
	// to read, so that the first of them can supply the others.
	startStagger = 400 * time.Millisecond
	// startPause is the time between two looks at what a starting router has.
	startPause = 10 * time.Millisecond
)

// awaitPeers lets peers supply a starting router, and reports whether ctx is still
// open. The first router of all does not wait.
func (f *follower) awaitPeers(ctx context.Context) bool {
	part := xxhash.Sum64String(string(f.replica.node)) % uint64(startStagger)
	readAt := f.startedAt.Add(startPatience + time.Duration(part))
	for clock.Now().Before(readAt) && !f.chain.reads() && !f.replica.knows() {
		if !wait.For(ctx, startPause) {
			return false
		}
	}
	return true
}

// poll calls read whenever due says that no time is left, until ctx ends; the first
// time at once, unless peers supply this router. After a failed read it pauses,
// longer each time.
func (f *follower) poll(ctx context.Context, interval time.Duration, due func(now time.Time) time.Duration, read func() error) {
	pause := time.Duration(0)
	if !f.awaitPeers(ctx) || (f.replica.knows() && !f.chain.reads() && !rest(ctx, 0, due)) {
		return
	}
	for ctx.Err() == nil {
		begun := clock.Now()
		if read() == nil {
			pause = 0
		} else {
			pause = f.retryPause(pause, interval)
		}
		least := pause
		if pause == 0 {
			least = interval - clock.Since(begun)
		}
		if !rest(ctx, least, due) {
			return
		}
	}
}

// retryPause returns the pause after a failed read, given the one before. Only
// the router that reads for its zone tries again at the same pace.
func (f *follower) retryPause(pause, interval time.Duration) time.Duration {
	if f.chain.reads() {
		return f.config.RetryPause
	}
	return min(max(2*pause, f.config.RetryPause), interval)
}

// rest waits for a time at least, and then until a read is due; it reports
// whether ctx is still open. What a peer supplies puts the read off.
func rest(ctx context.Context, least time.Duration, due func(now time.Time) time.Duration) bool {
	left := least
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
