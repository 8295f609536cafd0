package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/routing"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const zone ident.Zone = "graz"

func newTestCore(t *testing.T, limit int) *Core {
	t.Helper()
	is := is.New(t)
	scheduler, err := routing.NewPredictive(routing.Config{UrgentReserve: 0.5})
	is.NoErr(err)
	store, err := beliefs.New(beliefs.Config{}, start)
	is.NoErr(err)
	core := New(Config{
		Scheduler: scheduler, Beliefs: store, Queue: admission.NewQueue(admission.Config{}),
		NewLimiter: func() admission.Limiter { return admission.NewFixedLimiter(limit) },
		Hop:        func(ident.Zone) time.Duration { return 0 },
	})
	core.Configure(start, []endpoint.Target{{Engine: "a", Address: "a:1", Zone: zone}, {Engine: "b", Address: "b:1", Zone: zone}})
	return core
}

func newReport(incarnation ident.Incarnation) protocol.LoadReport {
	return protocol.LoadReport{
		Incarnation: incarnation, MaxRunning: 8, PrefillMicrosPerToken: 100,
		Loaded: []protocol.LoadedModel{{Model: "m", Version: "v1"}},
	}
}

func newJob(id string, hold time.Duration) *Job {
	chain := prefix.ChainOf(1, string(make([]byte, 64*16)), 16)
	return &Job{
		Key: AttemptKeyOf(ident.Request(id), 1), Weight: 1, MaxHold: hold,
		Request: framework.Request{
			ID: ident.Request(id), Tenant: "t", Service: "s", Model: "m", Versions: []ident.ModelVersion{"v1"},
			Zones: map[ident.Zone]bool{zone: true}, Chains: map[ident.ModelVersion]prefix.Chain{"v1": chain},
			BlockTokens: 16, PromptTokens: 256,
		},
	}
}

func TestRequestWaitsForFirstLoadReport(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 8)
	effects := core.Offer(start, newJob("r1", time.Second))
	is.Equal(len(effects.Refused)+len(effects.Placed), 0) // held: neither engine has reported yet

	effects = core.ObserveReport(start.Add(20*time.Millisecond), "a", newReport("a1"))
	is.Equal(len(effects.Placed), 1)
	is.Equal(effects.Placed[0].Candidate.Endpoint.Incarnation, ident.Incarnation("a1"))
}

// Requests may arrive before the first fleet file; they must not be refused.
func TestRequestWaitsForFirstFleetFile(t *testing.T) {
	is := is.New(t)
	core := New(newTestCore(t, 8).config)
	effects := core.Offer(start, newJob("r1", time.Second))
	is.Equal(len(effects.Refused), 0)
	core.Configure(start, []endpoint.Target{{Engine: "a", Address: "a:1", Zone: zone}})
	is.Equal(len(core.ObserveReport(start, "a", newReport("a1")).Placed), 1)
}

func TestRequestIsRejectedWhenAllEnginesAreDead(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 8)
	for range 3 {
		core.ObserveReportFailure(start, "a")
		core.ObserveReportFailure(start, "b")
	}
	effects := core.Offer(start, newJob("r1", time.Second))
	is.Equal(len(effects.Refused), 1)
	is.Equal(effects.Refused[0].Fault.Kind, fault.NoPermittedEngine)
	is.Equal(effects.Refused[0].Fault.Ran, fault.RanNo)
	is.True(effects.Refused[0].Fault.RetryAfter > 0)
}

func TestWaitingRequestIsRejectedAfterMaxHold(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 1)
	core.ObserveReport(start, "a", newReport("a1"))
	core.ObserveReport(start, "b", newReport("b1"))
	core.Offer(start, newJob("r1", time.Second))
	core.Offer(start, newJob("r2", time.Second))
	is.Equal(core.InFlight(), 2)
	core.Offer(start, newJob("r3", time.Second))
	is.Equal(core.Waiting(), 1)
	next, waits := core.NextTick()
	is.True(waits)
	is.Equal(next, start.Add(time.Second))
	effects := core.Tick(next)
	is.Equal(len(effects.Refused), 1)
	is.Equal(effects.Refused[0].Fault.Kind, fault.DeadlineExceeded)
}

func TestAttemptEndFreesCapacityAndUpdatesRegistry(t *testing.T) {
	cases := []struct {
		name   string
		result Result
		want   []endpoint.ChangeKind
	}{
		{"answered", Result{Incarnation: "a1", TimeToFirstToken: time.Millisecond}, nil},
		{"unreachable", Result{Unreachable: true}, []endpoint.ChangeKind{endpoint.ChangeDead}},
		{"draining", Result{Incarnation: "a1", Refusal: protocol.RefusalDraining}, []endpoint.ChangeKind{endpoint.ChangeDraining}},
		{"new incarnation", Result{Incarnation: "a2", Refusal: protocol.RefusalMismatch}, []endpoint.ChangeKind{endpoint.ChangeIncarnation}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			core := newTestCore(t, 1)
			core.ObserveReport(start, "a", newReport("a1"))
			core.Offer(start, newJob("r1", time.Second))
			var got []endpoint.ChangeKind
			for _, change := range core.RecordEnd(start, AttemptKeyOf("r1", 1), test.result).Changes {
				got = append(got, change.Kind)
			}
			is.Equal(got, test.want)
			is.Equal(core.InFlight(), 0)
			is.Equal(len(core.RecordEnd(start, AttemptKeyOf("r1", 1), test.result).Changes), 0) // a second end has no effect
		})
	}
}

func TestNewIncarnationDropsBeliefs(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 8)
	core.ObserveReport(start, "a", newReport("a1"))
	job := newJob("r1", time.Second)
	core.Offer(start, job)
	core.RecordStart(start, job.Key, "a1", protocol.Usage{PromptTokens: 256, CachedTokens: 0})
	chain := job.Request.Chains["v1"]
	is.True(core.config.Beliefs.At(start).Credit("a", "a1", chain) > 10)
	core.ObserveReport(start, "a", newReport("a2"))
	is.Equal(core.config.Beliefs.At(start).Credit("a", "a1", chain), 0.0)
	is.Equal(core.config.Beliefs.At(start).Credit("a", "a2", chain), 0.0)
}

// A late observation of an earlier incarnation or address must not make the
// router treat the current incarnation as a past one.
func TestLateObservationDoesNotHideCurrentIncarnation(t *testing.T) {
	cases := []struct {
		name string
		do   func(core *Core)
		// reports is the number of further reports until the current incarnation is used.
		reports int
	}{
		{"attempt ends at a replaced address", func(core *Core) {
			core.Offer(start, newJob("r0", time.Second))
			core.Configure(start, []endpoint.Target{{Engine: "a", Address: "a:2", Zone: zone}})
			core.ObserveReport(start, "a", newReport("a2"))
			core.RecordEnd(start, AttemptKeyOf("r0", 1), Result{Incarnation: "a1", TimeToFirstToken: time.Millisecond})
		}, 0},
		{"late report of the previous incarnation", func(core *Core) {
			core.ObserveReport(start, "a", newReport("a2"))
			core.ObserveReport(start, "a", newReport("a1"))
		}, 0},
		{"late report of an unknown previous incarnation", func(core *Core) {
			core.ObserveReport(start, "a", newReport("a2"))
			core.ObserveReport(start, "a", newReport("a1b"))
		}, 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			core := newTestCore(t, 8)
			core.Configure(start, []endpoint.Target{{Engine: "a", Address: "a:1", Zone: zone}})
			core.ObserveReport(start, "a", newReport("a1"))
			test.do(core)
			for range test.reports {
				core.ObserveReport(start.Add(time.Second), "a", newReport("a2"))
			}
			effects := core.Offer(start.Add(time.Second), newJob("r1", time.Second))
			is.Equal(len(effects.Placed), 1)
			is.Equal(effects.Placed[0].Candidate.Endpoint.Incarnation, ident.Incarnation("a2"))
		})
	}
}

// Less urgent requests leave a reserve of every batch to urgent ones. One of
// them per second may use it, so that they don't starve.
func TestReserveForUrgentRequests(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 8)
	core.ObserveReport(start, "a", newReport("a1"))
	core.ObserveReport(start, "b", newReport("b1"))
	later := start.Add(time.Millisecond)
	offer := func(id string, priority int) int {
		job := newJob(id, time.Minute)
		job.Request.Priority = priority
		return len(core.Offer(later, job).Placed)
	}
	placed := 0
	for index := range 12 {
		placed += offer(fmt.Sprint("summary-", index), 2)
	}
	is.Equal(placed, 4+4+1) // half of both batches, and one that bypassed the reserve
	is.Equal(core.Waiting(), 3)
	for index := range 40 { // also while a summary is first in the queue but may not use the reserve
		id := fmt.Sprint("order-", index)
		is.Equal(offer(id, 0), 1)
		core.RecordEnd(later, AttemptKeyOf(ident.Request(id), 1), Result{})
	}
	is.Equal(len(core.Tick(later.Add(999*time.Millisecond)).Placed), 0)
	is.Equal(len(core.Tick(later.Add(time.Second)).Placed), 1)
	is.Equal(core.Waiting(), 2)
}
