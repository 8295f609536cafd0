package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
)

// Entries that lapsed while the list could not be read have two seconds after its
// return to come back; then, and at any other time, a missing one is gone.
func TestEntriesThatLapsedInAnOutageMayReturn(t *testing.T) {
	both := []backend.Record{engine("a", 1), engine("b", 1)}
	one := both[:1]
	type read struct {
		at   time.Duration
		list []backend.Record // nil: the list still holds
	}
	tests := []struct {
		name  string
		reads []read
		want  int
		gone  int
	}{
		{"no outage", []read{{time.Second, one}}, 1, 1},
		{"just after an outage", []read{{6 * time.Second, one}}, 2, 0},
		{"still missing", []read{{6 * time.Second, one}, {7 * time.Second, nil}}, 2, 0},
		{"back again", []read{{6 * time.Second, one}, {7 * time.Second, both}, {9 * time.Second, nil}}, 2, 0},
		{"gone by the same list", []read{{6 * time.Second, one}, {8 * time.Second, nil}}, 1, 1},
		{"gone by a newer list", []read{{6 * time.Second, one}, {8 * time.Second, one}}, 1, 1},
		{"removed long after", []read{{6 * time.Second, both}, {8 * time.Second, one}}, 1, 1},
		{"an older read says nothing", []read{{6 * time.Second, one}, {5 * time.Second, nil}}, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(both...)
			gone := 0
			for _, seen := range tt.reads {
				var changes []backend.Change
				if seen.list == nil {
					changes = known.Confirm(start.Add(seen.at))
				} else {
					changes = known.Update(start.Add(seen.at), seen.list)
				}
				for _, change := range changes {
					is.Equal(change.Kind, backend.Gone)
					gone++
				}
			}
			is.Equal(len(known.Records()), tt.want)
			is.Equal(gone, tt.gone)
			usable := 0
			for _, name := range []backend.Record{both[0], both[1]} {
				wanted := query()
				for _, other := range both {
					if other.Instance != name.Instance {
						wanted.Excluded = append(wanted.Excluded, other.Instance)
					}
				}
				if _, _, found := known.Pick(start.Add(time.Minute), wanted); found {
					usable++
				}
			}
			is.Equal(usable, tt.want)
		})
	}
}
