package endpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// report returns a report of one running request and 1000 queued tokens.
func report(incarnation string) protocol.LoadReport {
	return protocol.LoadReport{
		Incarnation: ident.Incarnation("incarnation-" + incarnation), Running: 1, MaxRunning: 4,
		QueuedPrefillTokens: 1000, PrefillMicrosPerToken: 100,
		Loaded: []protocol.LoadedModel{{Model: "m", Version: "v1"}},
	}
}

func newTestRegistry(engines ...string) *Registry {
	registry := NewRegistry()
	var targets []Target
	for _, name := range engines {
		targets = append(targets, Target{Engine: ident.Engine(name), Address: name + ":1", Zone: "z"})
	}
	registry.Configure(targets)
	return registry
}

func kinds(changes []Change) []ChangeKind {
	found := make([]ChangeKind, 0, len(changes))
	for _, change := range changes {
		found = append(found, change.Kind)
	}
	return found
}

func TestEngineStateTransitions(t *testing.T) {
	type step struct {
		name     string
		do       func(r *Registry) []Change
		want     []ChangeKind
		alive    bool
		draining bool
	}
	steps := []step{
		{"first report", func(r *Registry) []Change { return r.ObserveReport(start, "e", report("1")) },
			[]ChangeKind{ChangeIncarnation, ChangeLoaded}, true, false},
		{"one lost report", func(r *Registry) []Change { return r.ObserveReportFailure("e") },
			[]ChangeKind{}, true, false},
		{"second lost report", func(r *Registry) []Change { return r.ObserveReportFailure("e") }, []ChangeKind{}, true, false},
		{"third lost report", func(r *Registry) []Change { return r.ObserveReportFailure("e") }, []ChangeKind{ChangeDead}, false, false},
		{"alive again in the same incarnation", func(r *Registry) []Change { return r.ObserveReport(start, "e", report("1")) },
			[]ChangeKind{ChangeRevived}, true, false},
		{"connection refused", func(r *Registry) []Change { return r.ObserveUnreachable("e") },
			[]ChangeKind{ChangeDead}, false, false},
		{"a refusal shows a new incarnation without a report", func(r *Registry) []Change { return r.ObserveIncarnation("e", "incarnation-2") },
			[]ChangeKind{ChangeIncarnation}, false, false},
		{"its first report", func(r *Registry) []Change { return r.ObserveReport(start, "e", report("2")) },
			[]ChangeKind{ChangeLoaded}, true, false},
		{"a late answer of the old incarnation", func(r *Registry) []Change { return r.ObserveIncarnation("e", "incarnation-1") },
			[]ChangeKind{}, true, false},
		{"a late report of the old incarnation", func(r *Registry) []Change { return r.ObserveReport(start, "e", report("1")) },
			[]ChangeKind{}, true, false},
		{"a drain sign of the old incarnation", func(r *Registry) []Change { return r.ObserveDraining(start, "e", "incarnation-1") },
			[]ChangeKind{}, true, false},
		{"a drain sign", func(r *Registry) []Change { return r.ObserveDraining(start, "e", "incarnation-2") },
			[]ChangeKind{ChangeDraining}, true, true},
		{"a repeated drain sign", func(r *Registry) []Change { return r.ObserveDraining(start, "e", "") }, []ChangeKind{}, true, true},
		{"the next incarnation is not draining", func(r *Registry) []Change { return r.ObserveReport(start, "e", report("3")) },
			[]ChangeKind{ChangeIncarnation, ChangeLoaded}, true, false},
	}
	registry := newTestRegistry("e")
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(kinds(step.do(registry)), step.want)
			endpoint := registry.Endpoints(start)[0]
			is.Equal(endpoint.Alive, step.alive)
			is.Equal(endpoint.Draining, step.draining)
		})
	}
}

func TestLoadIsAgedAndIncludesOwnAttempts(t *testing.T) {
	is := is.New(t)
	registry := newTestRegistry("e")
	lagged := report("1")
	lagged.AgeMillis = 50
	registry.Sent(start.Add(-time.Second), "e", AttemptKey{Request: "old", Attempt: 1}, 500)
	registry.ObserveReport(start, "e", lagged)
	registry.Sent(start.Add(-20*time.Millisecond), "e", AttemptKey{Request: "new", Attempt: 1}, 300)

	load := registry.Endpoints(start.Add(10 * time.Millisecond))[0].Load
	is.Equal(load.ReportAge, 60*time.Millisecond)
	is.Equal(load.QueuedPrefillTokens, 1000.0-600+300) // 60 ms at 100 us a token
	is.Equal(load.Running, 2)

	registry.FirstToken(start.Add(5*time.Millisecond), "e", AttemptKey{Request: "new", Attempt: 1})
	// The first token proves that all that was queued before is done too.
	is.Equal(registry.Endpoints(start.Add(10 * time.Millisecond))[0].Load.QueuedPrefillTokens, 0.0)
	registry.Ended(start.Add(10*time.Millisecond), "e", AttemptKey{Request: "new", Attempt: 1})
	registry.Ended(start.Add(10*time.Millisecond), "e", AttemptKey{Request: "new", Attempt: 1})
	is.Equal(registry.InFlight("e"), 0)
}

func TestNewIncarnationResetsAttempts(t *testing.T) {
	is := is.New(t)
	registry := newTestRegistry("e")
	registry.ObserveReport(start, "e", report("1"))
	registry.Sent(start, "e", AttemptKey{Request: "r", Attempt: 1}, 300)
	registry.ObserveIncarnation("e", "incarnation-2")
	is.Equal(registry.InFlight("e"), 0)
	registry.Ended(start, "e", AttemptKey{Request: "r", Attempt: 1})
	is.Equal(registry.InFlight("e"), 0)
}

func TestDueRespectsBudgetAndPrefersEnginesInUse(t *testing.T) {
	is := is.New(t)
	registry := newTestRegistry("a", "b", "c", "d")
	for _, name := range []string{"a", "b", "c", "d"} {
		registry.ObserveReport(start, ident.Engine(name), report("1"))
	}
	is.Equal(len(registry.Due(start, time.Second, 3)), 3)
	is.Equal(registry.Due(start, time.Second, 3)[0].Engine, ident.Engine("d"))
	registry.MarkCandidate(start, "c")
	later := start.Add(time.Second)
	is.Equal(registry.Due(later, time.Second, 3), []PollRequest{{"c", "c:1"}})
	is.Equal(len(registry.Due(start.Add(time.Minute), time.Second, 10)), 4)
}

func TestConfigureKeepsEnginesAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	registry := newTestRegistry("a", "b")
	registry.ObserveReport(start, "a", report("1"))
	changes := registry.Configure([]Target{{Engine: "a", Address: "a:1", Zone: "z", Draining: true}, {Engine: "b", Address: "b:2"}})
	is.Equal(kinds(changes), []ChangeKind{ChangeRemoved})
	is.Equal(registry.Incarnation("a"), report("1").Incarnation)
	is.True(registry.Endpoints(start)[0].Draining)
}

func TestDuePollsLeastRecentlyPolledFirst(t *testing.T) {
	is := is.New(t)
	registry := newTestRegistry("a", "b", "c", "d", "e")
	for _, name := range []ident.Engine{"a", "b", "c", "d", "e"} {
		registry.ObserveReport(start, name, report("1"))
	}
	var polled []ident.Engine
	poll := func(round, budget int) {
		for _, request := range registry.Due(start.Add(time.Duration(round)*time.Minute), time.Second, budget) {
			polled = append(polled, request.Engine)
		}
	}
	poll(0, 0)
	for round := range 7 {
		poll(round, 1)
	}
	for round := 7; round < 10; round++ {
		registry.MarkCandidate(start.Add(time.Duration(round)*time.Minute), "e") // in use: polled first
		poll(round, 2)
	}
	is.Equal(polled, []ident.Engine{"a", "b", "c", "d", "e", "a", "b", "e", "c", "e", "d", "e", "a"})
}
