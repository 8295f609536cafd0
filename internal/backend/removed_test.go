// A delayed write of the store may list an older state of an engine, or list it again after its
// removal. If such an entry counted as a new engine, a drained one would get work, and one with
// new weights would be expected to have those of the entry.
package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// applyLists applies lists of engines, read one second apart, and returns the time of the last
// one.
func applyLists(known *backend.Registry, lists ...[]backend.Record) time.Time {
	now := start
	for _, records := range lists {
		now = now.Add(time.Second)
		known.ApplyList(now, records)
	}
	return now
}

func recordAt(revision uint64, draining bool, version int) backend.Record {
	record := engine("a", version)
	record.Revision, record.Draining = revision, draining
	return record
}

func TestDrainedIncarnationGetsNoWorkAgain(t *testing.T) {
	none := []backend.Record{}
	for _, tt := range []struct {
		name  string
		lists [][]backend.Record
		work  bool
	}{
		{"an older write after the drain", [][]backend.Record{{recordAt(2, true, 1)}, {recordAt(3, false, 1)}}, false},
		{"two older writes after the drain", [][]backend.Record{{recordAt(2, true, 1)}, {recordAt(3, false, 1)}, {recordAt(4, false, 1)}}, false},
		{"an older write after its removal", [][]backend.Record{{recordAt(2, true, 1)}, none, {recordAt(4, false, 1)}}, false},
		{"removed twice", [][]backend.Record{{recordAt(2, true, 1)}, none, {recordAt(4, false, 1)}, none, {recordAt(6, false, 1)}}, false},
		{"one that did not drain is listed again", [][]backend.Record{none, {recordAt(4, false, 1)}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1))
			_, _, found := known.Pick(applyLists(known, tt.lists...), query())
			is.Equal(found, tt.work)
		})
	}
}

func TestNextIncarnationOfDrainedBackendGetsWork(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	now := applyLists(known, []backend.Record{recordAt(2, true, 1)}, []backend.Record{engine("b", 1)})
	choice, _ := pick(t, known, now, query())
	is.Equal(choice.Instance, ident.Incarnation("b"))
}

func TestRelistedBackendKeepsObservedVersion(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	known.ObserveVersion("a", model, 3)
	now := applyLists(known, []backend.Record{}, []backend.Record{recordAt(4, false, 2)})
	choice, _ := pick(t, known, now, query())
	is.Equal(choice.Version, 3)
}

// The memory of removed back ends is bounded.
func TestRemovedBackendsExpire(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 3))
	applyLists(known, []backend.Record{})
	known.ApplyList(start.Add(time.Hour), []backend.Record{})
	known.ApplyList(start.Add(time.Hour+time.Second), []backend.Record{recordAt(9, false, 2)})
	choice, _ := pick(t, known, start.Add(time.Hour+time.Second), query())
	is.Equal(choice.Version, 2)
}
