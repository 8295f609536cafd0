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

// replica is this router's copy of the shared state: the configuration and the
// list of back ends, from whichever of the store and the peers told it last. It
// tells peers what it holds. It is safe for concurrent use.
type replica struct {
	node     ident.Node
	holder   *catalog.Holder
	backends *backend.Registry
	decode   func(body []byte) (*catalog.Snapshot, error)
	// caches is what stores of prompt caches hold; it is passed on, not read here.
	caches *promptcache.Index
	// canaries takes in orders, states and releases; it is nil where no service is moved
	// to another release under guard.
	canaries *canaries
	// epochs counts the returns of the store from an older copy.
	epochs optionalEpochs
	// guard knows the requests that are held; it may be nil.
	guard *guard.Guard
	// updates takes in what back ends said of themselves; it may be nil.
	updates *backendUpdates

	mu   sync.Mutex
	self upstream.Peer
	// leaving is true once this router is about to end.
	leaving      bool
	confirmation uint64
	changed      chan struct{}
	// origin is the router that read the store for the newest confirmation.
	origin ident.Node
	// originSince is since when that router has done so without another one.
	originSince time.Time
	// config is the configuration in force.
	config heldConfiguration
	// list was read at listedAt.
	list     recordList
	listedAt time.Time
	// routers is the number of routers in all zones as of countedAt, 0 if not known;
	// sharers tells among how many the slack of repeats is divided.
	routers   int
	countedAt time.Time
	// leastUntil ends the time in which routers may be missing from a count, since the store
	// came back from an older copy.
	leastUntil time.Time
	// watched is up to where every version of weights that was named is known here, readTo
	// the store's revision at this router's last read of the rows.
	watched watched
	readTo  uint64
	// read relates the store's time to this router's clock, as of the same read.
	read    storeMoment
	sharers *admission.Sharers
	// rollouts is what is known of rollouts, nil where there is no order. Orders and
	// states may have been read by different routers.
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
	if !r.known() {
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

// known reports whether both the configuration and the list of back ends are held
// here; the caller holds the mutex.
func (r *replica) known() bool { return r.config.version != 0 && r.list.digest != 0 }

// knows reports whether both the configuration and the list of back ends are held.
func (r *replica) knows() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known()
}

// Update implements upstream.State.
func (r *replica) Update(now time.Time, pull *upstream.Pull) *upstream.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The view must not be older than the confirmation and the revision that it is told with.
	view := r.holder.View()
	update := &upstream.Update{
		Revision: r.self.Revision, Confirmation: r.confirmation, Origin: r.origin, Routers: r.routers,
		Configuration: upstream.Configuration{Revision: r.config.checkedRevision, Version: r.config.version},
		List:          upstream.List{Digest: r.list.digest},
		ShuttingDown:  r.leaving,
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
		update.Configuration.Publications = toldNamings(now, view)
		update.Configuration.Rollouts = r.rollouts.forPeer(now)
		update.Configuration.WatchPosition = toldWatched(r.watched)
	}
	if r.config.version != pull.Configuration {
		update.Configuration.Body = r.config.body
	}
	if r.list.digest != 0 {
		update.List.Age = now.Sub(r.listedAt)
	}
	if r.list.digest != pull.List {
		update.List.Included = true
		update.List.Base, update.List.Records, update.List.Removed = r.list.since(pull.List)
	}
	if r.guard != nil {
		update.Quarantine = r.guard.EvidenceSince(now, pull.Quarantine)
	}
	if news := r.backends.StateUpdates(now); backend.UpdatesDigest(news) != pull.UpdatesDigest {
		update.StateUpdates = news
	}
	if pull.Caches {
		update.Caches = r.caches.Updates(now, pull.CachePositions)
	}
	return update
}

func toldNamings(now time.Time, view catalog.View) []upstream.Publication {
	var told []upstream.Publication
	for _, model := range slices.Sorted(maps.Keys(view.Models)) {
		for _, naming := range view.Models[model].Publications {
			told = append(told, upstream.Publication{
				Model: model, Version: naming.Version, Age: now.Sub(naming.SeenAt), SeenAtStart: naming.SeenAtStart,
			})
		}
	}
	return told
}

// holds returns the names of the copies held here, for a pull.
func (r *replica) holds() (configuration, list uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.version, r.list.digest
}

// joined takes in this router's own row.
func (r *replica) joined(self upstream.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = self
	r.sharers.SetJoined(clock.Now())
}

// rejoined takes in this router's own row as it is in a store that came back from an older copy.
func (r *replica) rejoined(self upstream.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = self
}

// cameBack takes in that the store came back from an older copy: rows of routers may be missing.
func (r *replica) cameBack(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leastUntil = now.Add(rejoinedWithin)
	r.bumpConfirmation(r.origin)
}

// leave tells the peers, those that wait at once, that this router is about to end.
func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	r.bumpConfirmation(r.origin)
}

// ownOrigin reports whether the newest confirmation was read by this router.
func (r *replica) ownOrigin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.origin == r.node
}

// ownOriginFor returns for how long this router has read every confirmation itself, 0 if it
// did not read the newest one.
func (r *replica) ownOriginFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.origin != r.node {
		return 0
	}
	return clock.Since(r.originSince)
}

// counted takes in the number of routers in all zones, as read at a time. What a peer tells
// may be older than what is known here.
func (r *replica) counted(readAt time.Time, routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !readAt.After(r.countedAt) {
		return
	}
	if readAt.Before(r.leastUntil) {
		routers = max(routers, r.routers)
	}
	r.routers, r.countedAt = routers, readAt
	r.sharers.RecordCount(clock.Now(), readAt, routers)
}

// countAge returns the age of the number of routers.
func (r *replica) countAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.countedAt)
}

// Routers returns the number of routers in all zones, 0 if not known.
func (r *replica) Routers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routers
}

// Sharers returns the number of routers among which the slack of repeats is divided, 0
// while this router has no part of it.
func (r *replica) Sharers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sharers.Count(clock.Now())
}

// toldWatched returns what is told to a peer.
func toldWatched(known watched) *upstream.WatchPosition {
	if known.revision == 0 {
		return nil
	}
	return &upstream.WatchPosition{Revision: known.revision, StoreTime: known.storeTime}
}

// watchedTo returns up to where every named version is known.
func (r *replica) watchedTo() watched {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watched
}

// watchedUpTo takes in up to where every named version is known. News are told to the peers
// that wait.
func (r *replica) watchedUpTo(known watched, news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known.revision >= r.watched.revision {
		r.watched = watched{revision: known.revision, storeTime: max(known.storeTime, r.watched.storeTime)}
	}
	if news {
		r.bumpConfirmation(r.origin)
	}
}

// rowsRead takes in that this router has read the rows, as it asked for at a time.
func (r *replica) rowsRead(askedAt time.Time, reading *Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readTo = max(r.readTo, reading.StoreRevision)
	r.read = storeMoment{storeTime: reading.StoreTime, askedAt: askedAt}
}

// lastRead returns the moment of this router's last read of the rows.
func (r *replica) lastRead() storeMoment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// toldAt returns the earliest moment at which the store can have given an answer that this
// router asked for at a time.
func (r *replica) toldAt(askedAt time.Time, storeTime time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read.earliest(askedAt, storeTime, clock.Now())
}

// passForgotten takes in that the store has forgotten changes after the watched revision: it
// goes on at what the rows told last.
func (r *replica) passForgotten() (from, to uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from = r.watched.revision
	if r.readTo > from {
		r.watched = watched{revision: r.readTo}
	}
	return from, r.watched.revision
}

// applyRollouts takes in what a configuration that was confirmed at a time told of rollouts;
// the caller holds the mutex.
func (r *replica) applyRollouts(confirmedAt time.Time, told *knownRollouts) {
	if r.canaries == nil {
		return
	}
	if told != nil || r.rollouts == nil || confirmedAt.After(r.rollouts.readAt) {
		r.rollouts = r.rollouts.merge(told)
	}
	r.canaries.setRollouts(confirmedAt, r.rollouts)
}

// takeStates takes in the states of rollouts as they were read at a time.
func (r *replica) takeStates(readAt time.Time, states []canary.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rollouts == nil {
		return
	}
	told := *r.rollouts
	told.states, told.statesAt = states, readAt
	r.rollouts = r.rollouts.merge(&told)
	r.canaries.setRollouts(r.rollouts.readAt, r.rollouts)
	r.bumpConfirmation(r.origin)
}

// currentRollouts returns the rollouts that are known.
func (r *replica) currentRollouts() *knownRollouts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rollouts
}

// takeList takes in the list of back ends as a router read it at a time.
func (r *replica) takeList(origin ident.Node, listedAt time.Time, list *upstream.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !listedAt.After(r.listedAt) {
		return
	}
	switch {
	case list.Digest == r.list.digest:
		logBackends(r.backends.ConfirmList(listedAt))
	case !list.Included || !r.list.take(list):
		return
	default:
		logBackends(r.backends.ApplyList(listedAt, r.list.records))
		r.canaries.applyList(listedAt, r.list.records)
	}
	r.listedAt = listedAt
	r.bumpConfirmation(origin)
}

// bumpConfirmation tells the peers that wait; the caller holds the mutex.
func (r *replica) bumpConfirmation(origin ident.Node) {
	if r.origin != origin {
		r.origin, r.originSince = origin, clock.Now()
	}
	r.confirmation++
	close(r.changed)
	r.changed = make(chan struct{})
}

// listAge returns the age of the list of back ends, or of the process.
func (r *replica) listAge(now, startedAt time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listedAt.IsZero() {
		return now.Sub(startedAt)
	}
	return now.Sub(r.listedAt)
}

func logBackends(changes []backend.Change) {
	for _, change := range changes {
		log.WithFields(log.Fields{
			"instance": change.Record.Instance, "service": change.Record.Service, "address": change.Record.Address,
			"change": change.Kind, "revision": change.Record.Revision, "models": change.Record.Models,
		}).Info("backend_changed")
	}
}
