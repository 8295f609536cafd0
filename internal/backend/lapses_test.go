package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// usable returns 1 if an engine may get work, else 0. The others are those of the
// tests of this file.
func usable(known *backend.Registry, name ident.Incarnation) int {
	wanted := query()
	for _, other := range []ident.Incarnation{"a", "b"} {
		if other != name {
			wanted.Excluded = append(wanted.Excluded, other)
		}
	}
	if _, _, found := known.Pick(start.Add(time.Minute), wanted); found {
		return 1
	}
	return 0
}

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
			var gone []backend.Change
			for _, seen := range tt.reads {
				if seen.list == nil {
					gone = append(gone, known.ConfirmList(start.Add(seen.at))...)
				} else {
					gone = append(gone, known.ApplyList(start.Add(seen.at), seen.list)...)
				}
			}
			is.Equal(len(gone), tt.gone)
			for _, change := range gone {
				is.Equal(change.Kind, backend.Gone)
			}
			is.Equal(len(known.Records()), tt.want)
			is.Equal(usable(known, "a")+usable(known, "b"), tt.want)
		})
	}
}
