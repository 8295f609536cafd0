package backend

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// Registry tracks the back ends of the newest instance list and chooses among them.
type Registry struct {
	// overloads has how the back ends of each service bear overload.
	overloads map[ident.Service]*overload
	// seed makes this router's hashes differ from those of others.
	seed uint64

	config Config

	mutex           sync.Mutex
	services        map[ident.Service][]*state
	prefillRates    map[ident.Service]*prefillRate
	serviceLateness map[ident.Service]*serviceLateness
	byID            map[ident.Incarnation]*state
	removed         removedBackends
	// advertising are the back ends that have advertised a limit or a drain: few of many.
	advertising map[ident.Incarnation]struct{}
	listedAt    time.Time
	listOutage  listOutage
	// newlyGone are the back ends that this router found gone and has not returned from
	// NewlyGone yet.
	newlyGone  []ident.Incarnation
	roundTrips roundTrips
	// reachability is that of other regions with recent failures.
	reachability map[ident.Region]*reachability
	// releaseHistories has the releases of each service, severalReleases is whether any has several.
	releaseHistories map[ident.Service]*releaseHistory
	severalReleases  atomic.Bool
	// pastUnknown is whether it is not known which releases were listed before this router started.
	pastUnknown atomic.Bool
}

// NewRegistry returns a registry without back ends.
func NewRegistry(config Config) *Registry {
	r := &Registry{
		config:          config.withDefaults(),
		services:        make(map[ident.Service][]*state),
		prefillRates:    make(map[ident.Service]*prefillRate),
		serviceLateness: make(map[ident.Service]*serviceLateness),
		byID:            make(map[ident.Incarnation]*state),
		removed:         make(removedBackends),
		advertising:     make(map[ident.Incarnation]struct{}),
		roundTrips:      make(roundTrips),
		reachability:    make(map[ident.Region]*reachability),
		overloads:       make(map[ident.Service]*overload),
		seed:            rand.Uint64(),

		releaseHistories: make(map[ident.Service]*releaseHistory),
	}
	r.pastUnknown.Store(config.AwaitPastReleases)
	return r
}

// ListedAt returns the time of the newest list that was applied; zero means none.
func (r *Registry) ListedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.listedAt
}

// Records returns the newest list, ordered by instance. Draining includes advertised drains.
func (r *Registry) Records() []Record {
	return r.records(func(*Record) bool { return true })
}

// RecordsOf returns the records of a zone as Records does.
func (r *Registry) RecordsOf(zone ident.Zone) []Record {
	return r.records(func(record *Record) bool { return record.Zone == zone })
}

// HasAddress reports whether a back end has an address.
func (r *Registry) HasAddress(address string) bool {
	_, known := r.ServiceAt(address)
	return known
}

// ServiceAt returns the service of the back end at an address; it is false if there is none.
func (r *Registry) ServiceAt(address string) (service ident.Service, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.byID {
		if known.record.Address == address {
			return known.record.Service, true
		}
	}
	return "", false
}

// Count returns the number of back ends.
func (r *Registry) Count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.byID)
}

func (r *Registry) records(wanted func(*Record) bool) []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var records []Record
	for _, known := range r.byID {
		if !wanted(&known.record) {
			continue
		}
		record := known.record
		record.Draining = known.drain.active()
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Instance, b.Instance) })
	return records
}

// ApplyList applies a whole list as of a time and returns what changed. Lists older than the
// newest one are ignored.
func (r *Registry) ApplyList(listedAt time.Time, records []Record) []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if listedAt.Before(r.listedAt) {
		return nil
	}
	r.listOutage.observeRead(r.listedAt, listedAt)
	r.listedAt = listedAt
	var changes []Change
	listed := make(map[ident.Incarnation]*state, len(records))
	services := make(map[ident.Service][]*state)
	for _, record := range records {
		known, change := r.applyRecord(listedAt, record)
		if change != "" {
			changes = append(changes, Change{Kind: change, Record: record})
		}
		listed[record.Instance] = known
		services[record.Service] = append(services[record.Service], known)
	}
	for instance, known := range r.byID {
		switch {
		case listed[instance] != nil:
		case r.listOutage.mayReturn(listedAt) && r.config.Disabled.Enabled(mechanism.ExpiryGrace):
			known.missing = true
			listed[instance] = known
			services[known.record.Service] = append(services[known.record.Service], known)
		default:
			r.removed.add(listedAt, known)
			changes = append(changes, Change{Kind: Gone, Record: known.record})
		}
	}
	r.removed.expire(listedAt)
	for _, states := range services {
		slices.SortFunc(states, byInstance)
	}
	earlier := r.services
	r.byID, r.services = listed, services
	r.observeReleases(listedAt, slices.Concat(slices.Collect(maps.Keys(earlier)), slices.Collect(maps.Keys(services))))
	return changes
}

// ApplyChanges applies the changes of the newest list as of a time: records that were added or
// replaced, and instances that were removed. It returns what changed. Changes older than the
// newest list are ignored.
func (r *Registry) ApplyChanges(listedAt time.Time, changed []Record, removed []ident.Incarnation) []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if listedAt.Before(r.listedAt) {
		return nil
	}
	r.listOutage.observeRead(r.listedAt, listedAt)
	r.listedAt = listedAt
	var changes []Change
	added := make(map[ident.Service][]*state)
	affected := r.releasesAffectedBy(changed)
	for _, record := range changed {
		if earlier := r.byID[record.Instance]; earlier != nil && earlier.record.Service != record.Service {
			r.dropFromService(earlier.record.Service, earlier)
		}
		known, change := r.applyRecord(listedAt, record)
		if change != "" {
			changes = append(changes, Change{Kind: change, Record: record})
		}
		if r.byID[record.Instance] == nil || !r.inService(known) {
			added[known.record.Service] = append(added[known.record.Service], known)
		}
		r.byID[record.Instance] = known
	}
	for service, states := range added {
		r.services[service] = append(r.services[service], states...)
		slices.SortFunc(r.services[service], byInstance)
	}
	for _, instance := range removed {
		if known := r.byID[instance]; known != nil {
			known.missing = true
		}
	}
	if !r.listOutage.mayReturn(listedAt) || !r.config.Disabled.Enabled(mechanism.ExpiryGrace) {
		changes = append(changes, r.dropMissing()...)
	}
	r.observeReleases(listedAt, append(affected, servicesOfGone(changes)...))
	r.removed.expire(listedAt)
	return changes
}

// inService reports whether a back end is among those of its service.
func (r *Registry) inService(known *state) bool {
	_, found := slices.BinarySearchFunc(r.services[known.record.Service], known, byInstance)
	return found
}

func byInstance(a, b *state) int { return cmp.Compare(a.record.Instance, b.record.Instance) }

func (r *Registry) dropFromService(service ident.Service, known *state) {
	r.services[service] = slices.DeleteFunc(r.services[service], func(other *state) bool { return other == known })
}

// StoreRestored records that the store of the instance list was restored from an older copy.
func (r *Registry) StoreRestored(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.listOutage.observeRestore(now)
}

// ConfirmList records that the newest list was still current at a time. It returns what
// changed: back ends that did not return after an outage.
func (r *Registry) ConfirmList(listedAt time.Time) []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !listedAt.After(r.listedAt) {
		return nil
	}
	r.listOutage.observeRead(r.listedAt, listedAt)
	r.listedAt = listedAt
	if r.listOutage.mayReturn(listedAt) {
		return nil
	}
	changes := r.dropMissing()
	r.observeReleases(listedAt, servicesOfGone(changes))
	return changes
}

// dropMissing removes the back ends that the list lacks.
func (r *Registry) dropMissing() []Change {
	var changes []Change
	for instance, known := range r.byID {
		if !known.missing {
			continue
		}
		delete(r.byID, instance)
		r.removed.add(r.listedAt, known)
		r.dropFromService(known.record.Service, known)
		changes = append(changes, Change{Kind: Gone, Record: known.record})
	}
	return changes
}

// applyRecord applies one record of a list as of a time and returns what changed, if anything.
func (r *Registry) applyRecord(listedAt time.Time, record Record) (*state, ChangeKind) {
	known := r.byID[record.Instance]
	if known == nil {
		known = r.newState(record)
		if record.Draining {
			known.drain.begin(listedAt, SourceList)
		}
		return known, Appeared
	}
	known.missing = false
	if record.Revision < known.record.Revision {
		return known, ""
	}
	var change ChangeKind
	known.releaseChanged = known.releaseChanged || record.Release != known.record.Release
	record = mergeRecord(&known.record, record)
	for model, version := range record.Models {
		if known.record.Models[model] != version {
			change = Reloaded
			known.pausedUntil = time.Time{}
		}
	}
	if record.Draining && known.drain.begin(listedAt, SourceList) {
		change = DrainBegan
	}
	known.record = record
	return known, change
}

// newState returns the state of a back end that the last list lacked. One that was removed
// before keeps its advertised state.
func (r *Registry) newState(record Record) *state {
	advertised := &advertisedState{}
	if earlier, gone := r.removed[record.Instance]; gone {
		delete(r.removed, record.Instance)
		record = mergeRecord(&earlier.record, record)
		advertised = earlier.advertised
	}
	return &state{record: record, advertisedState: advertised, attempts: make(map[*Attempt]struct{})}
}

// newestVersions returns the listed versions, raised to those observed earlier: the list lags,
// and an incarnation never goes back to older weights.
func newestVersions(earlier, listed map[ident.Model]int) map[ident.Model]int {
	newest := maps.Clone(listed)
	for model, version := range listed {
		newest[model] = max(version, earlier[model])
	}
	return newest
}

// ObserveVersion records the version of a model's weights that an answer or a report newer than
// the list showed.
func (r *Registry) ObserveVersion(instance ident.Incarnation, model ident.Model, version int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil || known.record.Models[model] >= version {
		return
	}
	models := make(map[ident.Model]int, len(known.record.Models))
	maps.Copy(models, known.record.Models)
	models[model] = version
	known.record.Models = models
	known.pausedUntil = time.Time{}
}

// AssumeVersion assumes that a back end has a version of a model's weights until the list must
// show it. It affects where attempts go, but not Records.
func (r *Registry) AssumeVersion(now time.Time, instance ident.Incarnation, model ident.Model, version int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		known.assumed, known.assumedModel = version, model
		known.assumedUntil = now.Add(assumedVersionTTL)
	}
}

// MarkLoading records that a back end is about to load a version of a model's weights. It gets
// no work of that model for the duration, 0 meaning unknown, and is then assumed to have the
// version until the list must show it. Versions only rise: a call with an older one than before
// comes from a late notification and is ignored.
func (r *Registry) MarkLoading(now time.Time, instance ident.Incarnation, model ident.Model, version int, duration time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil || known.loadingNewer(now, model, version) {
		return
	}
	known.loading, known.loadingModel = version, model
	known.loadingUntil = now.Add(cmp.Or(duration, defaultLoadingTime))
}

// CancelLoading reverts MarkLoading of that version.
func (r *Registry) CancelLoading(instance ident.Incarnation, model ident.Model, version int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known != nil && known.loadingModel == model && known.loading == version {
		known.loadingUntil = time.Time{}
	}
}

// PeerSilentFor is how long an engine that a peer reported silent counts as such here, unless
// it is reported again or answers this router.
const PeerSilentFor = 1200 * time.Millisecond

// PeerSilent records that a peer gets no answer from back ends. They cost more for a short
// time, so that a faulty peer cannot exclude any.
func (r *Registry) PeerSilent(now time.Time, instances []ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, instance := range instances {
		known := r.byID[instance]
		if known == nil {
			continue
		}
		if !now.Before(known.peerSilentUntil) {
			known.peerSilentFrom = now
		}
		known.peerSilentUntil = now.Add(PeerSilentFor)
	}
}

// PeerAnswering records that back ends answer a peer again.
func (r *Registry) PeerAnswering(instances []ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, instance := range instances {
		if known := r.byID[instance]; known != nil {
			known.peerSilentUntil = time.Time{}
		}
	}
}

// PeerQueue records the number of requests that a peer found waiting at a back end.
func (r *Registry) PeerQueue(now time.Time, instance ident.Incarnation, waiting int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		known.peerQueue = peerQueue{waiting: min(max(waiting, 0), maxPeerQueue), at: now}
	}
}

// DrainingOrUnlisted reports whether a back end is draining or is not listed.
func (r *Registry) DrainingOrUnlisted(instance ident.Incarnation) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	return known == nil || known.missing || known.drain.active()
}

// InFlightBefore reports whether an attempt that began before a time is in flight at a back
// end.
func (r *Registry) InFlightBefore(instance ident.Incarnation, before time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil {
		return false
	}
	for attempt := range known.attempts {
		if attempt.startedAt.Before(before) {
			return true
		}
	}
	return false
}

// InFlight returns the number of attempts in flight at all back ends.
func (r *Registry) InFlight() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, known := range r.byID {
		count += len(known.attempts)
	}
	return count
}
