package backend

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// Registry believes the newest list of back ends and chooses among them.
type Registry struct {
	config Config

	mutex    sync.Mutex
	services map[ident.Service][]*state
	readings map[ident.Service]*reading
	// latenesses are those of the answers of whole services.
	latenesses map[ident.Service]*serviceLateness
	byID       map[ident.Incarnation]*state
	formers    formers
	listedAt   time.Time
	lapses     lapses
	// newlyGone are the back ends that this router found gone and has not told yet.
	newlyGone []ident.Incarnation
	trips     trips
	// reaches are those of other regions with back ends that failed lately.
	reaches map[ident.Region]*reach
}

// NewRegistry returns a registry that knows no back end.
func NewRegistry(config Config) *Registry {
	return &Registry{
		config:     config.withDefaults(),
		services:   make(map[ident.Service][]*state),
		readings:   make(map[ident.Service]*reading),
		latenesses: make(map[ident.Service]*serviceLateness),
		byID:       make(map[ident.Incarnation]*state),
		formers:    make(formers),
		trips:      make(trips),
		reaches:    make(map[ident.Region]*reach),
	}
}

// ListedAt returns the time of the newest list taken in; zero means none.
func (r *Registry) ListedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.listedAt
}

// Records returns the newest list, ordered by instance.
func (r *Registry) Records() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	records := make([]Record, 0, len(r.byID))
	for _, known := range r.byID {
		record := known.record
		record.Draining = known.leaving.begun()
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		switch {
		case a.Instance < b.Instance:
			return -1
		case a.Instance > b.Instance:
			return 1
		}
		return 0
	})
	return records
}

// Change is one difference between two lists.
type Change struct {
	Kind   ChangeKind
	Record Record
}

// ChangeKind says what became of a back end.
type ChangeKind string

// The kinds of change.
const (
	Appeared ChangeKind = "appeared"
	Drained  ChangeKind = "draining"
	Gone     ChangeKind = "gone"
	Reloaded ChangeKind = "reloaded"
)

// ApplyList takes in a whole list as it was at a time; an older list than the
// newest one is ignored. It returns what changed.
func (r *Registry) ApplyList(listedAt time.Time, records []Record) []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if listedAt.Before(r.listedAt) {
		return nil
	}
	r.lapses.read(r.listedAt, listedAt)
	r.listedAt = listedAt
	var changes []Change
	listed := make(map[ident.Incarnation]*state, len(records))
	services := make(map[ident.Service][]*state)
	for _, record := range records {
		known, change := r.listed(listedAt, record)
		if change != "" {
			changes = append(changes, Change{Kind: change, Record: record})
		}
		listed[record.Instance] = known
		services[record.Service] = append(services[record.Service], known)
	}
	for instance, known := range r.byID {
		switch {
		case listed[instance] != nil:
		case r.lapses.mayReturn(listedAt) && r.config.Disabled.On(mechanism.LapseGrace):
			known.missing = true
			listed[instance] = known
			services[known.record.Service] = append(services[known.record.Service], known)
		default:
			r.formers.add(listedAt, known)
			changes = append(changes, Change{Kind: Gone, Record: known.record})
		}
	}
	r.formers.forget(listedAt)
	r.byID, r.services = listed, services
	return changes
}

// StoreRestored takes in that the store of the list came back from an older copy.
func (r *Registry) StoreRestored(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lapses.cameBack(now)
}

// ConfirmList takes in that the newest list still held at a time. It returns what
// changed: back ends that did not come back after an outage.
func (r *Registry) ConfirmList(listedAt time.Time) []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !listedAt.After(r.listedAt) {
		return nil
	}
	r.lapses.read(r.listedAt, listedAt)
	r.listedAt = listedAt
	if r.lapses.mayReturn(listedAt) {
		return nil
	}
	return r.dropMissing()
}

// dropMissing drops the back ends that the list lacks.
func (r *Registry) dropMissing() []Change {
	var changes []Change
	for instance, known := range r.byID {
		if !known.missing {
			continue
		}
		delete(r.byID, instance)
		r.formers.add(r.listedAt, known)
		service := known.record.Service
		r.services[service] = slices.DeleteFunc(r.services[service], func(other *state) bool { return other == known })
		changes = append(changes, Change{Kind: Gone, Record: known.record})
	}
	return changes
}

// listed takes in one record of a list as it was at a time, and tells what changed, if anything.
func (r *Registry) listed(listedAt time.Time, record Record) (*state, ChangeKind) {
	known := r.byID[record.Instance]
	if known == nil {
		known = r.appeared(record)
		if record.Draining {
			known.leaving.begins(listedAt, SourceList)
		}
		return known, Appeared
	}
	known.missing = false
	if record.Revision < known.record.Revision {
		return known, ""
	}
	var change ChangeKind
	record = settled(&known.record, record)
	for model, version := range record.Models {
		if known.record.Models[model] != version {
			change = Reloaded
			known.pausedUntil = time.Time{}
		}
	}
	if record.Draining && known.leaving.begins(listedAt, SourceList) {
		change = Drained
	}
	known.record = record
	return known, change
}

// appeared returns the state of a back end that the last list did not hold. One that was known
// before goes on with what it said then.
func (r *Registry) appeared(record Record) *state {
	said := &words{}
	if earlier, gone := r.formers[record.Instance]; gone {
		delete(r.formers, record.Instance)
		record = settled(&earlier.record, record)
		said = earlier.words
	}
	return &state{record: record, words: said, flights: make(map[*Attempt]struct{})}
}

// newestOf returns the versions that a list tells, but for those of which newer
// ones were seen before: a back end never goes back within one life, and the list
// lags.
func newestOf(seen, told map[ident.Model]int) map[ident.Model]int {
	newest := maps.Clone(told)
	for model, version := range told {
		newest[model] = max(version, seen[model])
	}
	return newest
}

// ObserveVersion takes in that a back end was seen at a version of a model's
// weights, by an answer or a report newer than the list.
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

// AssumeVersion takes a back end to have a version of a model's weights until
// the list must have told it. It decides where attempts go and is no fact:
// Records does not tell it.
func (r *Registry) AssumeVersion(now time.Time, instance ident.Incarnation, model ident.Model, version int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		known.assumed, known.assumedModel = version, model
		known.assumedUntil = now.Add(assumedFor)
	}
}

// MarkLoading takes in that a back end is about to take a version of a model's
// weights. It gets no work of that model for the time that this takes, 0 meaning that
// it was not told, and is then taken to have the version, until the list must have
// told it. Versions only rise: a notice of an older one than was told before is late.
func (r *Registry) MarkLoading(now time.Time, instance ident.Incarnation, model ident.Model, version int, takes time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil || known.takesNewer(now, model, version) {
		return
	}
	known.loading, known.loadingModel = version, model
	known.loadingUntil = now.Add(cmp.Or(takes, loadingFor))
}

// CancelLoading takes back that a back end is about to take a version.
func (r *Registry) CancelLoading(instance ident.Incarnation, model ident.Model, version int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known != nil && known.loadingModel == model && known.loading == version {
		known.loadingUntil = time.Time{}
	}
}

// PeerSilentFor is how long an engine that another router found silent counts as such
// here, unless it is told again or answers this router.
const PeerSilentFor = 1200 * time.Millisecond

// PeerSilent takes in that another router gets no answer from back ends. They are
// dearer for a short time, so that a teller that is wrong shuts none out.
func (r *Registry) PeerSilent(now time.Time, instances []ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, instance := range instances {
		known := r.byID[instance]
		if known == nil {
			continue
		}
		if !now.Before(known.silentUntil) {
			known.silentFrom = now
		}
		known.silentUntil = now.Add(PeerSilentFor)
	}
}

// PeerAnswering takes in that back ends answer another router again.
func (r *Registry) PeerAnswering(instances []ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, instance := range instances {
		if known := r.byID[instance]; known != nil {
			known.silentUntil = time.Time{}
		}
	}
}

// PeerQueue takes in that a number of requests wait at a back end, as another router
// found.
func (r *Registry) PeerQueue(now time.Time, instance ident.Incarnation, waiting int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		known.told = queue{waiting: min(max(waiting, 0), maxQueue), at: now}
	}
}

// DrainingOrUnlisted reports whether a back end drains or is not listed.
func (r *Registry) DrainingOrUnlisted(instance ident.Incarnation) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	return known == nil || known.missing || known.leaving.begun()
}

// InFlightBefore reports whether an attempt is under way at a back end that began before a time.
func (r *Registry) InFlightBefore(instance ident.Incarnation, before time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil {
		return false
	}
	for flight := range known.flights {
		if flight.begunAt.Before(before) {
			return true
		}
	}
	return false
}

// InFlight returns the number of attempts under way at all back ends.
func (r *Registry) InFlight() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, known := range r.byID {
		count += len(known.flights)
	}
	return count
}
