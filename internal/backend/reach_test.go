package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// fail lets an attempt at each of some back ends of a zone end so.
func fail(t *testing.T, known *backend.Registry, now time.Time, zone ident.Zone, count int, outcome backend.Outcome) {
	t.Helper()
	failed := 0
	for _, record := range known.Records() {
		if record.Zone != zone || failed == count {
			continue
		}
		only := query()
		for _, other := range known.Records() {
			if other.Instance != record.Instance {
				only.Excluded = append(only.Excluded, other.Instance)
			}
		}
		_, flight, found := known.Pick(now, only)
		if !found {
			continue
		}
		failed++
		flight.End(now, outcome)
	}
}

// zonesAt returns how many of many prompts a router sends to each zone.
func zonesAt(known *backend.Registry, now time.Time) map[ident.Zone]int {
	sent := make(map[ident.Zone]int)
	for key := uint64(1); key <= 100; key++ {
		wanted := query()
		wanted.HomeKey = key * 0x9e3779b97f4a7c15
		wanted.SharedTokens = 60_000
		choice, flight, found := known.Pick(now, wanted)
		if found {
			sent[choice.Zone]++
			flight.End(now, backend.Abandoned)
		}
	}
	return sent
}

// A region of whose engines several fail, and none answers, gets no work for a while.
func TestARegionThatDoesNotAnswerIsPassedOver(t *testing.T) {
	tests := []struct {
		name string
		see  func(known *backend.Registry)
		// after is the time from the last failure to the choice.
		after time.Duration
		avoid bool
	}{
		{"two are unreachable", func(known *backend.Registry) {
			fail(t, known, start, "b1", 2, backend.Unreachable)
		}, 0, false},
		{"three are unreachable", func(known *backend.Registry) {
			fail(t, known, start, "b1", 3, backend.Unreachable)
		}, 0, true},
		{"three are silent", func(known *backend.Registry) {
			fail(t, known, start, "b1", 3, backend.Silent)
		}, 0, true},
		{"three refuse", func(known *backend.Registry) {
			fail(t, known, start, "b1", 3, backend.Refused)
		}, 0, false},
		{"three are unreachable in the own region", func(known *backend.Registry) {
			fail(t, known, start, "a1", 3, backend.Unreachable)
		}, 0, false},
		{"one answers in between", func(known *backend.Registry) {
			fail(t, known, start, "b1", 2, backend.Unreachable)
			fail(t, known, start, "b2", 1, backend.Answered)
			fail(t, known, start, "b2", 2, backend.Unreachable)
		}, 0, false},
		{"three were unreachable some time ago", func(known *backend.Registry) {
			fail(t, known, start, "b1", 3, backend.Unreachable)
		}, 1100 * time.Millisecond, false},
		{"three were, and one is again", func(known *backend.Registry) {
			fail(t, known, start, "b1", 3, backend.Unreachable)
			fail(t, known, start.Add(1100*time.Millisecond), "b2", 1, backend.Unreachable)
		}, 1900 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := regional("a1", fleet(map[ident.Zone]int{"a1": 8, "b1": 4, "b2": 4, "c1": 8})...)
			tt.see(known)
			sent := zonesAt(known, start.Add(tt.after))
			is.Equal(sent["b1"]+sent["b2"] == 0, tt.avoid)
			is.True(sent["a1"] > 10)
			is.True(sent["c1"] > 10)
		})
	}
}

// Routers of a region that lost another one agree on the homes of its prompts meanwhile.
func TestRoutersThatLostARegionAgreeOnHomes(t *testing.T) {
	is := is.New(t)
	records := fleet(map[ident.Zone]int{"a1": 8, "b1": 8, "c1": 8})
	one, other := regional("a1", records...), regional("a2", records...)
	for _, known := range []*backend.Registry{one, other} {
		fail(t, known, start, "b1", 3, backend.Unreachable)
	}
	found := homes(one, manyPrompts)
	is.Equal(len(found), manyPrompts)
	is.Equal(homes(other, manyPrompts), found)
}

// Where all else is lost too, a request is still sent to a region that does not answer.
func TestARegionThatDoesNotAnswerIsBetterThanNone(t *testing.T) {
	is := is.New(t)
	var records []backend.Record
	for number := range 6 {
		records = append(records, engineIn("b1", ident.Incarnation(fmt.Sprint("b-", number))))
	}
	known := regional("a1", records...)
	fail(t, known, start, "b1", 3, backend.Unreachable)
	_, _, found := known.Pick(start, query())
	is.True(found)
}
