package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// formerKept is how long a back end is remembered whose row is gone. The store carries
// writes out some seconds late, and removes a row that nobody writes after about 4s more.
const formerKept = time.Minute

// former is what was known of a back end whose row is gone. The row of one that lives comes
// back if its writes were late, and a late write brings that of one that has ended back for
// a while: neither is a new life.
type former struct {
	record Record
	// words are what it said of itself.
	words  *words
	goneAt time.Time
}

// formers are the back ends that are gone, by life.
type formers map[ident.Incarnation]former

// maxFormers bounds the back ends that are remembered, whatever other routers tell of.
const maxFormers = 4096

// add remembers a back end that is gone.
func (f formers) add(goneAt time.Time, known *state) {
	f[known.record.Instance] = former{record: known.record, words: known.words, goneAt: goneAt}
}

// expect returns the words of a back end that others know and whose row was not read here yet,
// nil if there is no room.
func (f formers) expect(now time.Time, instance ident.Incarnation) *words {
	if len(f) >= maxFormers {
		return nil
	}
	expected := former{record: Record{Instance: instance}, words: &words{}, goneAt: now}
	f[instance] = expected
	return expected.words
}

// forget drops those that are gone for long.
func (f formers) forget(now time.Time) {
	for instance, known := range f {
		if now.Sub(known.goneAt) > formerKept {
			delete(f, instance)
		}
	}
}

// settled returns a record as it must be, given an earlier one of the same life: a back end
// never goes back to older weights, while a row may be written late.
func settled(earlier *Record, record Record) Record {
	record.Models = newestOf(earlier.Models, record.Models)
	return record
}

// MarkDraining marks those records as draining whose back ends were known to leave. It is
// for lists that are passed on: whoever starts later can't know.
func (r *Registry) MarkDraining(records []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for index := range records {
		record := &records[index]
		known := r.wordsOf(record.Instance)
		record.Draining = record.Draining || (known != nil && known.leaving.begun())
	}
}
