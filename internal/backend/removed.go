package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// removedTTL is how long a back end is remembered that is no longer listed. The store may apply
// writes some seconds late, and removes an entry some seconds after its last write.
const removedTTL = time.Minute

// removedBackend is the known state of a back end that is no longer listed. A late write may
// list it again, whether it is live or has ended: neither is a new incarnation.
type removedBackend struct {
	record     Record
	advertised *advertisedState
	removedAt  time.Time
}

// removedBackends are the back ends that are no longer listed.
type removedBackends map[ident.Incarnation]removedBackend

// maxRemoved bounds the back ends that are remembered, whatever peers report.
const maxRemoved = 4096

// add remembers a back end that is no longer listed.
func (r removedBackends) add(removedAt time.Time, known *state) {
	r[known.record.Instance] = removedBackend{record: known.record, advertised: known.advertisedState, removedAt: removedAt}
}

// addUnlisted returns the advertised state of a back end that peers reported and that was not
// listed here yet, nil if there is no room.
func (r removedBackends) addUnlisted(now time.Time, instance ident.Incarnation) *advertisedState {
	if len(r) >= maxRemoved {
		return nil
	}
	added := removedBackend{record: Record{Instance: instance}, advertised: &advertisedState{}, removedAt: now}
	r[instance] = added
	return added.advertised
}

// expire drops those that were removed more than removedTTL ago.
func (r removedBackends) expire(now time.Time) {
	for instance, known := range r {
		if now.Sub(known.removedAt) > removedTTL {
			delete(r, instance)
		}
	}
}

// mergeRecord returns a record corrected by an earlier one of the same incarnation: a back end
// never goes back to older weights, while an entry may be written late.
func mergeRecord(earlier *Record, record Record) Record {
	record.Models = newestVersions(earlier.Models, record.Models)
	return record
}

// MarkDraining marks the records of back ends known to be draining. It is for lists sent to
// other routers: those that start later cannot have received the advertised drains.
func (r *Registry) MarkDraining(records []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for index := range records {
		record := &records[index]
		known := r.advertisedStateOf(record.Instance)
		record.Draining = record.Draining || (known != nil && known.drain.active())
	}
}
