package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// removedTTL is how long a back end is remembered whose row is gone. The store carries
// writes out some seconds late, and removes a row that nobody writes after about 4s more.
const removedTTL = time.Minute

// removedBackend is what was known of a back end whose row is gone. The row of one that lives comes
// back if its writes were late, and a late write brings that of one that has ended back for
// a while: neither is a new life.
type removedBackend struct {
	record Record
	// advertised are what it said of itself.
	advertised *advertisedState
	removedAt  time.Time
}

// removedBackends are the back ends that are gone, by life.
type removedBackends map[ident.Incarnation]removedBackend

// maxRemoved bounds the back ends that are remembered, whatever other routers tell of.
const maxRemoved = 4096

// add remembers a back end that is gone.
func (r removedBackends) add(removedAt time.Time, known *state) {
	r[known.record.Instance] = removedBackend{record: known.record, advertised: known.advertisedState, removedAt: removedAt}
}

// addUnlisted returns the words of a back end that others know and whose row was not read here yet,
// nil if there is no room.
func (r removedBackends) addUnlisted(now time.Time, instance ident.Incarnation) *advertisedState {
	if len(r) >= maxRemoved {
		return nil
	}
	added := removedBackend{record: Record{Instance: instance}, advertised: &advertisedState{}, removedAt: now}
	r[instance] = added
	return added.advertised
}

// expire drops those that are gone for long.
func (r removedBackends) expire(now time.Time) {
	for instance, known := range r {
		if now.Sub(known.removedAt) > removedTTL {
			delete(r, instance)
		}
	}
}

// mergeRecord returns a record as it must be, given an earlier one of the same life: a back end
// never goes back to older weights, while a row may be written late.
func mergeRecord(earlier *Record, record Record) Record {
	record.Models = newestVersions(earlier.Models, record.Models)
	return record
}

// MarkDraining marks those records as draining whose back ends were known to leave. It is
// for lists that are passed on: whoever starts later can't know.
func (r *Registry) MarkDraining(records []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for index := range records {
		record := &records[index]
		known := r.advertisedStateOf(record.Instance)
		record.Draining = record.Draining || (known != nil && known.drain.active())
	}
}
