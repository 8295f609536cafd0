// The store may carry out a write of an engine seconds late, after newer ones: the row then
// tells an older state, or is there again though it was removed.
//
// Evidence: in two plays with six in ten writes late, rows of engines were removed and came
// back 14 and 10 times at each router within 25 s, 0.4 to 2.6 s later; some of them only for
// the three heartbeats after which the store removes a row that nobody writes. Those that
// come back were taken for new engines: one that had drained would get work, and one that
// had loaded new weights was expected to have those of its row.
package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// lists are lists of engines, read one second apart.
func lists(known *backend.Registry, told ...[]backend.Record) time.Time {
	now := start
	for _, records := range told {
		now = now.Add(time.Second)
		known.ApplyList(now, records)
	}
	return now
}

func written(revision uint64, draining bool, version int) backend.Record {
	record := engine("a", version)
	record.Revision, record.Draining = revision, draining
	return record
}

func TestABackEndThatDrainsTakesNoWorkAgainInItsLife(t *testing.T) {
	none := []backend.Record{}
	for _, tt := range []struct {
		name string
		told [][]backend.Record
		work bool
	}{
		{"an older write after it", [][]backend.Record{{written(2, true, 1)}, {written(3, false, 1)}}, false},
		{"and two older ones", [][]backend.Record{{written(2, true, 1)}, {written(3, false, 1)}, {written(4, false, 1)}}, false},
		{"an older one after its row was removed", [][]backend.Record{{written(2, true, 1)}, none, {written(4, false, 1)}}, false},
		{"removed twice", [][]backend.Record{{written(2, true, 1)}, none, {written(4, false, 1)}, none, {written(6, false, 1)}}, false},
		{"one that did not drain comes back", [][]backend.Record{none, {written(4, false, 1)}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1))
			_, _, found := known.Pick(lists(known, tt.told...), query())
			is.Equal(found, tt.work)
		})
	}
}

func TestTheNextLifeOfADrainedBackEndTakesWork(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	now := lists(known, []backend.Record{written(2, true, 1)}, []backend.Record{engine("b", 1)})
	choice, _ := pick(t, known, now, query())
	is.Equal(choice.Instance, ident.Incarnation("b"))
}

func TestABackEndThatComesBackHasTheWeightsThatWereSeen(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	known.ObserveVersion("a", model, 3)
	now := lists(known, []backend.Record{}, []backend.Record{written(4, false, 2)})
	choice, _ := pick(t, known, now, query())
	is.Equal(choice.Version, 3)
}

// What is remembered of those that are gone is bounded.
func TestABackEndIsNotRememberedForGood(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 3))
	lists(known, []backend.Record{})
	known.ApplyList(start.Add(time.Hour), []backend.Record{})
	known.ApplyList(start.Add(time.Hour+time.Second), []backend.Record{written(9, false, 2)})
	choice, _ := pick(t, known, start.Add(time.Hour+time.Second), query())
	is.Equal(choice.Version, 2)
}
