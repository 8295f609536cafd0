package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// released returns an engine of a release.
func released(name ident.Incarnation, release ident.Release) backend.Record {
	record := engine(name, 1)
	record.Release = release
	return record
}

// twoReleases are four engines of a release beside four of its successor.
func twoReleases() []backend.Record {
	var records []backend.Record
	for index := range 4 {
		records = append(records,
			released(ident.Incarnation(fmt.Sprint("old-", index)), "v1"), released(ident.Incarnation(fmt.Sprint("new-", index)), "v2"))
	}
	return records
}

// Whatever the prompt's home is, and however busy or bad the allowed back ends are, no
// attempt goes to a release that is not allowed.
func TestOnlyAllowedReleasesAreChosen(t *testing.T) {
	tests := []struct {
		name     string
		releases backend.Releases
		want     map[ident.Release]bool
	}{
		{"all", backend.Releases{}, map[ident.Release]bool{"v1": true, "v2": true}},
		{"not the target", backend.Releases{Excluded: []ident.Release{"v2"}}, map[ident.Release]bool{"v1": true}},
		{"only the target", backend.Releases{Only: "v2"}, map[ident.Release]bool{"v2": true}},
		{"neither", backend.Releases{Excluded: []ident.Release{"v1", "v2"}}, map[ident.Release]bool{}},
		{"a release that has no back end", backend.Releases{Only: "v3"}, map[ident.Release]bool{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(twoReleases()...)
			got := map[ident.Release]bool{}
			for key := range uint64(200) {
				wanted := query()
				wanted.HomeKey, wanted.SpreadKey, wanted.Releases = key+1, key+1, tt.releases
				choice, flight, found := known.Pick(start, wanted)
				if !found {
					continue
				}
				got[choice.Release] = true
				is.True(!tt.releases.Restricted() || tt.releases.Allows(choice.Release))
				is.Equal(choice.Releases, tt.releases)
				if key%3 == 0 {
					flight.End(start, backend.Broken) // the rest carry ever more
				}
			}
			is.Equal(got, tt.want)
		})
	}
}

// The home of a prompt is one of the allowed back ends, so that its parts are kept there.
func TestAPromptHasItsHomeAmongTheAllowed(t *testing.T) {
	is := is.New(t)
	known := registry(twoReleases()...)
	for key := range uint64(50) {
		wanted := query()
		wanted.HomeKey, wanted.Releases = key+1, backend.Releases{Only: "v2"}
		choice, flight := pick(t, known, start, wanted)
		is.True(choice.Home)
		is.Equal(choice.HomeZone, ident.Zone("z"))
		flight.End(start, backend.Answered)
	}
}

func TestFewBackEndsOfARelease(t *testing.T) {
	is := is.New(t)
	releases := backend.Releases{Only: "v2", MaxBackends: 2, Seed: 7}
	chosen := func(known *backend.Registry) map[ident.Incarnation]bool {
		got := map[ident.Incarnation]bool{}
		for key := range uint64(100) {
			wanted := query()
			wanted.HomeKey, wanted.Releases = key+1, releases
			choice, flight := pick(t, known, start, wanted)
			flight.End(start, backend.Answered)
			got[choice.Instance] = true
		}
		return got
	}
	first := chosen(registry(twoReleases()...))
	is.Equal(len(first), 2)
	is.Equal(chosen(registry(twoReleases()...)), first) // routers agree
	// One that leaves is replaced by another.
	records := twoReleases()
	for index := range records {
		if first[records[index].Instance] {
			records[index].Draining = true
			break
		}
	}
	second := chosen(registry(records...))
	is.Equal(len(second), 2)
	is.True(fmt.Sprint(second) != fmt.Sprint(first))
}

// What a release on trial does late says nothing of the others' load, and nothing of how
// fast they read.
func TestATrialThatIsLateCongestsNoOther(t *testing.T) {
	tests := []struct {
		name   string
		trial  backend.Releases
		counts bool
	}{
		{"on trial", backend.Releases{Only: "v2", MaxBackends: 4}, false},
		{"promoted", backend.Releases{Only: "v2"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(twoReleases()...)
			fresh, _ := pick(t, known, start, query())
			now := start
			for range 30 {
				wanted := query()
				wanted.Releases, wanted.OwnTokens = tt.trial, 2000
				choice, flight := pick(t, known, now, wanted)
				now = now.Add(choice.Predicted + 2*time.Second)
				flight.ObserveBytes(now)
				flight.End(now, backend.Answered)
			}
			other := query()
			other.Releases = backend.Releases{Excluded: []ident.Release{"v2"}}
			choice, _ := pick(t, known, now, other)
			is.Equal(choice.Congestion > 0, tt.counts)
			is.Equal(choice.PredictedUncached > fresh.PredictedUncached, tt.counts)
		})
	}
}

// A service that is not being moved pays nothing for the choice among releases.
func BenchmarkPickOfAnyRelease(b *testing.B) {
	known := registry(twoReleases()...)
	wanted := query()
	b.ReportAllocs()
	for b.Loop() {
		_, flight, _ := known.Pick(start, wanted)
		flight.End(start, backend.Answered)
	}
}

func TestAChoiceOfAnyReleaseAllocatesOnlyItsFlight(t *testing.T) {
	known := registry(twoReleases()...)
	wanted := query()
	allocs := testing.AllocsPerRun(200, func() {
		_, flight, _ := known.Pick(start, wanted)
		flight.End(start, backend.Answered)
	})
	is.New(t).True(allocs <= 1)
}
