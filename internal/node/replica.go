package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/promptcache"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// replica is this router's copy of the shared state, mainly the configuration and the instance
// list, from the store or a peer, and serves it to peers. It is safe for concurrent use.
type replica struct {
	node     ident.Node
	holder   *catalog.Holder
	backends *backend.Registry
	decode   func(body []byte) (*catalog.Snapshot, error)
	// caches indexes the contents of prompt cache stores; it is only passed on here.
	caches *promptcache.Index
	// canaries receives orders, states and releases; nil without canary rollouts.
	canaries *canaries
	// epochs counts restores of the store.
	epochs optionalEpochs
	// guard has the quarantined requests; it may be nil.
	guard *guard.Guard
	// updates applies state updates of back ends; it may be nil.
	updates *backendUpdates

	mu   sync.Mutex
	self upstream.Peer
	// elders are the routers of a large fleet that may lead pools of limits, eldersSum is their
	// digest.
	elders    []upstream.Peer
	eldersSum uint64
	// isListed is whether this router's row was written.
	isListed     bool
	shuttingDown bool
	confirmation uint64
	changed      chan struct{}
	// origin is the router that read the store for the newest confirmation.
	origin ident.Node
	// originSince is since when origin has been the same router.
	originSince time.Time
	// config is the configuration in force.
	config heldConfiguration
	// list was read at listedAt.
	list         recordList
	listedAt     time.Time
	listPosition listPosition
	// readingSince is since when a router that supplies this one reads a long list.
	readingSince time.Time
	// routers is the number of routers in all zones as of countedAt, 0 if unknown; sharers
	// derives from it the number among which the retry slack is divided.
	routers   int
	countedAt time.Time
	// newRouters are routers that have joined since then.
	newRouters joinedRouters
	// joinedAt is when this router's row was first written.
	joinedAt time.Time
	// noDecreaseUntil is until when routers may not decrease, since a restored store may lack
	// rows of routers.
	noDecreaseUntil time.Time
	// watched is the position up to which all publications are known, readRevision the
	// store's revision at this router's last read of the rows.
	watched      watchPosition
	readRevision uint64
	// lastReadClock relates the store's clock to this router's, as of the same read.
	lastReadClock storeClock
	sharers       *admission.Sharers
	// rollouts are the known rollouts, nil without an order. Orders and states may have been
	// read by different routers.
	rollouts *knownRollouts
}

func newReplica(
	node ident.Node, holder *catalog.Holder, backends *backend.Registry, decode func([]byte) (*catalog.Snapshot, error), sharers admission.SharersConfig,
) *replica {
	return &replica{
		node: node, holder: holder, backends: backends, decode: decode, sharers: admission.NewSharers(sharers),
		caches: promptcache.NewIndex(), changed: make(chan struct{}),
	}
}

// Confirmation implements upstream.State.
func (r *replica) Confirmation() (uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.initializedLocked() {
		return 0, r.changed
	}
	return r.confirmation, r.changed
}

// Revision implements upstream.State.
func (r *replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self.Revision
}

// initializedLocked is initialized for callers that hold the mutex.
func (r *replica) initializedLocked() bool { return r.config.version != 0 && r.list.digest != 0 }

// initialized reports whether this router has both a configuration and an instance list.
func (r *replica) initialized() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.initializedLocked()
}

// Update implements upstream.State.
func (r *replica) Update(now time.Time, pull *upstream.Pull) *upstream.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The view must not be older than the confirmation and the revision that it is sent with.
	view := r.holder.View()
	update := &upstream.Update{
		Revision: r.self.Revision, Confirmation: r.confirmation, Origin: r.origin, Routers: r.routers,
		Configuration: upstream.Configuration{Revision: r.config.checkedRevision, Version: r.config.version},
		List:          r.list.update(pull.List, pull.Packed),
		ShuttingDown:  r.shuttingDown,
		ReadingFor:    r.readingFor(now),
		Epoch:         r.epochs.Epoch(),
	}
	if first, known := r.epochs.First(); known {
		update.FirstEra = first + 1
	}
	if r.routers > 0 {
		update.RoutersAge = now.Sub(r.countedAt)
	}
	if r.config.version != 0 {
		update.Configuration.Age = view.Age(now)
		update.Configuration.Publications = publicationUpdates(now, view)
		update.Configuration.Rollouts = r.rollouts.forPeer(now)
		update.Configuration.WatchPosition = watchUpdate(r.watched)
	}
	if r.config.version != pull.Configuration {
		update.Configuration.Body, update.Configuration.PackedBody = r.config.bodyFor(pull.Packed)
	}
	if r.list.digest != 0 {
		update.List.Age, update.List.StoreRevision = now.Sub(r.listedAt), r.listPosition.revision
	}
	if r.guard != nil {
		update.Quarantine = r.guard.EvidenceSince(now, pull.Quarantine)
	}
	if updates := r.backends.StateUpdates(now); backend.UpdatesDigest(updates) != pull.UpdatesDigest {
		update.StateUpdates = updates
	}
	if pull.Confirmation == 0 {
		update.Overloads = r.backends.Overloads(now)
	}
	update.GoneReleases, update.PastReleasesKnown = r.backends.GoneReleases(now), r.backends.PastReleasesKnown()
	if r.eldersSum != pull.Elders {
		update.Elders = r.elders
	}
	if pull.Caches {
		update.Caches = r.caches.Updates(now, pull.CachePositions)
	}
	return update
}

func publicationUpdates(now time.Time, view catalog.View) []upstream.Publication {
	var updates []upstream.Publication
	for _, model := range slices.Sorted(maps.Keys(view.Models)) {
		for _, publication := range view.Models[model].Publications {
			updates = append(updates, upstream.Publication{
				Model: model, Version: publication.Version, Age: now.Sub(publication.SeenAt), SeenAtStart: publication.SeenAtStart,
			})
		}
	}
	return updates
}

// copyVersions returns the configuration's version and the instance list's digest, for a pull.
func (r *replica) copyVersions() (configuration, list uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.version, r.list.digest
}

// joined sets this router's own row. A leaf has none yet.
func (r *replica) joined(self upstream.Peer) {
	r.rejoined(self)
	if !upstream.IsLeaf(self.Revision) {
		r.listed()
	}
}

// listed records that the row of this router is written: other routers count it.
func (r *replica) listed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isListed {
		r.isListed, r.joinedAt = true, clock.Now()
		r.sharers.SetJoined(r.joinedAt)
	}
}

// setElders sets the elders, and reports whether they have changed.
func (r *replica) setElders(elders []upstream.Peer) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := upstream.EldersDigest(elders)
	changed = sum != r.eldersSum
	r.elders, r.eldersSum = elders, sum
	return changed
}

// eldersDigest returns the digest of the known elders.
func (r *replica) eldersDigest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eldersSum
}

// rejoined sets this router's own row after a restore of the store.
func (r *replica) rejoined(self upstream.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = self
}

// storeRestored handles a restore of the store: rows of routers may be missing.
func (r *replica) storeRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noDecreaseUntil = now.Add(rejoinWindow)
	r.bumpConfirmation(r.origin)
}

// advertiseShutdown reports to peers, at once to waiting ones, that this router is shutting down.
func (r *replica) advertiseShutdown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shuttingDown = true
	r.bumpConfirmation(r.origin)
}

// ownOrigin reports whether the newest confirmation was read by this router.
func (r *replica) ownOrigin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.origin == r.node
}

// ownOriginFor returns for how long this router has read all confirmations itself, 0 if it
// did not read the newest one.
func (r *replica) ownOriginFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.origin != r.node {
		return 0
	}
	return clock.Since(r.originSince)
}

// observeRouterCount records the number of routers in all zones, as read at a time. Counts from
// peers may be older than the known one, and are then ignored.
func (r *replica) observeRouterCount(readAt time.Time, routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !readAt.After(r.countedAt) {
		return
	}
	if readAt.Before(r.noDecreaseUntil) {
		routers = max(routers, r.routers)
	}
	if routers != r.routers {
		log.WithFields(log.Fields{"routers": routers, "before": r.routers, "age_ms": clock.Since(readAt).Milliseconds()}).Info("routers_counted")
	}
	r.routers, r.countedAt = routers, readAt
	r.newRouters.removeCounted(readAt)
	r.sharers.RecordCount(clock.Now(), readAt, routers)
}

// routerCountAge returns the age of the number of routers.
func (r *replica) routerCountAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.countedAt)
}

// Routers returns the number of routers in all zones, 0 if unknown.
func (r *replica) Routers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routers == 0 {
		return 0
	}
	return r.routers + r.newRouters.count()
}

// Sharers returns the number of routers among which the retry slack is divided, 0 while
// this router has no share of it.
func (r *replica) Sharers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sharers.Count(clock.Now())
}

// watchUpdate returns the position as sent to peers, nil if unknown.
func watchUpdate(position watchPosition) *upstream.WatchPosition {
	if position.revision == 0 {
		return nil
	}
	return &upstream.WatchPosition{Revision: position.revision, StoreTime: position.storeTime}
}

// watchedUntil returns the position up to which all publications are known.
func (r *replica) watchedUntil() watchPosition {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watched
}

// advanceWatch moves the position up to which all publications are known, never back. If there
// are new versions, waiting peers are notified.
func (r *replica) advanceWatch(position watchPosition, anyNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position.revision >= r.watched.revision {
		r.watched = watchPosition{revision: position.revision, storeTime: max(position.storeTime, r.watched.storeTime)}
	}
	if anyNew {
		r.bumpConfirmation(r.origin)
	}
}

// recordRead records a read of the rows that this router requested at askedAt.
func (r *replica) recordRead(askedAt time.Time, reading *Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readRevision = max(r.readRevision, reading.StoreRevision)
	r.lastReadClock = storeClock{storeTime: reading.StoreTime, askedAt: askedAt}
}

// lastRead returns the clocks as of this router's last read of the rows.
func (r *replica) lastRead() storeClock {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReadClock
}

// newestRead returns the store's revision at this router's last read of the rows, 0 if unknown.
func (r *replica) newestRead() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readRevision
}

// storeTimeAt returns the store's own time at a local time, 0 if unknown.
func (r *replica) storeTimeAt(at time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastReadClock.storeTime == 0 {
		return 0
	}
	return r.lastReadClock.storeTime + at.Sub(r.lastReadClock.askedAt)
}

// earliestAnswer returns the earliest time at which the store can have sent an answer that was
// requested at askedAt and has the store's own time storeTime.
func (r *replica) earliestAnswer(askedAt time.Time, storeTime time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReadClock.earliest(askedAt, storeTime, clock.Now())
}

// skipForgotten moves the watch position, whose next changes the store has forgotten, to the last
// read of the rows.
func (r *replica) skipForgotten() (from, to uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from = r.watched.revision
	if r.readRevision > from {
		r.watched = watchPosition{revision: r.readRevision}
	}
	return from, r.watched.revision
}

// applyRollouts applies the rollouts that came with a configuration confirmed at a time; the
// caller holds the mutex.
func (r *replica) applyRollouts(confirmedAt time.Time, read *knownRollouts) {
	if r.canaries == nil {
		return
	}
	if read != nil || r.rollouts == nil || confirmedAt.After(r.rollouts.readAt) {
		r.rollouts = r.rollouts.merge(read)
	}
	r.canaries.setRollouts(confirmedAt, r.rollouts)
}

// applyStates applies the states of rollouts as read at a time.
func (r *replica) applyStates(readAt time.Time, states []canary.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rollouts == nil {
		return
	}
	updated := *r.rollouts
	updated.states, updated.statesAt = states, readAt
	r.rollouts = r.rollouts.merge(&updated)
	r.canaries.setRollouts(r.rollouts.readAt, r.rollouts)
	r.bumpConfirmation(r.origin)
}

// currentRollouts returns the known rollouts, nil without an order.
func (r *replica) currentRollouts() *knownRollouts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rollouts
}

// bumpConfirmation starts a new confirmation, which wakes waiting peers; the caller holds the
// mutex.
func (r *replica) bumpConfirmation(origin ident.Node) {
	if r.origin != origin {
		r.origin, r.originSince = origin, clock.Now()
	}
	r.confirmation++
	close(r.changed)
	r.changed = make(chan struct{})
}
