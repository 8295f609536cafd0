package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

func released(name ident.Incarnation, release ident.Release) backend.Record {
	record := engine(name, 1)
	record.Release = release
	return record
}

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// confirm confirms the list each half second between two times.
func confirm(known *backend.Registry, from, to float64) {
	for at := from; at < to; at += 0.5 {
		known.ConfirmList(after(at))
	}
}

func TestReleasesCountWhileStreamsMayComeBack(t *testing.T) {
	is := is.New(t)
	known := registry(released("a", "v1"))
	sole, found := known.SoleRelease(start, "s")
	is.True(found)
	is.Equal(sole, ident.Release("v1"))
	is.True(!known.HasSeveralReleases(start, "s"))
	is.Equal(len(known.GoneReleases(start)), 0)

	confirm(known, 0, 5)
	known.ApplyChanges(after(5), []backend.Record{released("b", "v2")}, nil)
	_, found = known.SoleRelease(after(5), "s")
	is.True(!found)
	is.True(known.HasSeveralReleases(after(5), "s"))

	known.ApplyChanges(after(6), nil, []ident.Incarnation{"a"})
	is.True(known.HasSeveralReleases(after(7), "s"))
	is.Equal(known.GoneReleases(after(7)), []backend.GoneRelease{{Service: "s", Release: "v1", Age: time.Second}})

	later := after(6).Add(backend.StreamReturnTime + time.Second)
	is.True(!known.HasSeveralReleases(later, "s"))
	sole, found = known.SoleRelease(later, "s")
	is.True(found)
	is.Equal(sole, ident.Release("v2"))
}

func TestPriorReleaseIsTheOneThatServedAlone(t *testing.T) {
	is := is.New(t)
	known := registry(released("a", "v1"))
	known.ApplyChanges(after(5), []backend.Record{released("b", "v2")}, nil)
	prior, found := known.PriorRelease(after(6), "s")
	is.True(found)
	is.Equal(prior, ident.Release("v1"))
	_, found = known.PriorRelease(after(5).Add(backend.StreamReturnTime+time.Second), "s")
	is.True(!found)

	// Two releases at the first list: streams may have begun at either before this router started.
	known = registry(released("a", "v1"), released("b", "v2"))
	_, found = known.PriorRelease(after(1), "s")
	is.True(!found)
	// So may they at a release that was gone before.
	known = registry(released("a", "v1"))
	known.ObserveGoneReleases(after(1), []backend.GoneRelease{{Service: "s", Release: "v0", Age: 2 * time.Second}})
	_, found = known.PriorRelease(after(1), "s")
	is.True(!found)
}

func TestStartedRouterLearnsOfGoneReleases(t *testing.T) {
	is := is.New(t)
	older := registry(released("a", "v1"), released("b", "v2"))
	older.ApplyChanges(after(1), nil, []ident.Incarnation{"a"})
	started := registry(released("b", "v2"))
	started.ObserveGoneReleases(after(2), older.GoneReleases(after(2)))
	is.True(started.HasSeveralReleases(after(2), "s"))
	started.ObserveGoneReleases(after(2), []backend.GoneRelease{{Service: "s", Release: "v9", Age: -1}})
	is.Equal(len(started.GoneReleases(after(2))), 1)
}

func TestOldListMayLackReleases(t *testing.T) {
	is := is.New(t)
	known := registry(released("a", "v1"))
	is.True(!known.MayHaveSeveralReleases(start.Add(backend.ReleaseSettleTime), "s"))
	is.True(known.MayHaveSeveralReleases(start.Add(backend.ReleaseSettleTime+1), "s"))
}

func TestAttemptThatContinuesGoesToItsRelease(t *testing.T) {
	tests := []struct {
		name    string
		records []backend.Record
		change  func(*backend.Query)
		want    ident.Incarnation
	}{
		{"the only one of its release", []backend.Record{released("a", "v1"), released("b", "v2"), released("c", "v1")}, func(*backend.Query) {}, "b"},
		{"none of its release", []backend.Record{released("a", "v1")}, func(*backend.Query) {}, ""},
		{"one whose release is forbidden", []backend.Record{released("a", "v1"), released("b", "v2")}, func(query *backend.Query) {
			query.Releases.Excluded = []ident.Release{"v2"}
		}, ""},
		{"one that was tried before", []backend.Record{released("a", "v1"), released("b", "v2")}, func(query *backend.Query) {
			query.Excluded = []ident.Incarnation{"b"}
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			wanted := query()
			wanted.Continues, wanted.Release = true, "v2"
			tt.change(wanted)
			choice, _, found := registry(tt.records...).Pick(start, wanted)
			is.Equal(found, tt.want != "")
			is.Equal(choice.Instance, tt.want)
		})
	}
}

// Guards against a stream that goes on at an engine of which the list named two releases in turn.
func TestEngineOfUncertainReleaseContinuesNoStream(t *testing.T) {
	is := is.New(t)
	known := registry(released("a", "v1"))
	changed := released("a", "v2")
	changed.Revision = 2
	known.ApplyChanges(after(1), []backend.Record{changed}, nil)
	wanted := query()
	wanted.Continues, wanted.Release = true, "v2"
	_, _, found := known.Pick(after(2), wanted)
	is.True(!found)
	choice, _ := pick(t, known, after(2), query())
	is.True(choice.ReleaseChanged)
	is.True(known.HasSeveralReleases(after(2), "s"))
}

// Guards against streams at a release that other routers do not know yet.
func TestNewReleaseWaitsUntilAllRoutersKnowIt(t *testing.T) {
	is := is.New(t)
	known := registry(released("a", "v1"))
	confirm(known, 0, 5)
	known.ApplyChanges(after(5), []backend.Record{released("b", "v2")}, nil)
	wanted := query()
	wanted.AvoidNewReleases = true
	for key := range uint64(50) {
		wanted.HomeKey = key
		choice, attempt := pick(t, known, after(6), wanted)
		is.Equal(choice.Release, ident.Release("v1"))
		attempt.End(after(6), backend.Answered)
	}
	settled := after(5).Add(backend.ReleaseSettleTime)
	used := map[ident.Release]bool{}
	for key := range uint64(50) {
		wanted.HomeKey = key
		choice, attempt := pick(t, known, settled, wanted)
		used[choice.Release] = true
		attempt.End(settled, backend.Answered)
	}
	is.True(used["v2"])
	// It serves at once where there is no other one.
	known.ApplyChanges(after(5.5), nil, []ident.Incarnation{"a"})
	choice, _ := pick(t, known, after(6), wanted)
	is.Equal(choice.Release, ident.Release("v2"))
}
