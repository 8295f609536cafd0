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
	believed, err := beliefs.New(beliefs.Config{}, start)
	is.NoErr(err)
	core := New(Config{
		Scheduler: scheduler, Beliefs: believed, Queue: admission.NewQueue(admission.Config{}),
		NewLimiter: func() admission.Limiter { return admission.NewFixedLimiter(limit) },
		Hop:        func(ident.Zone) time.Duration { return 0 },
	})
	core.Configure(start, []endpoint.Target{{Engine: "a", Address: "a:1", Zone: zone}, {Engine: "b", Address: "b:1", Zone: zone}})
	return core
}

func reportOf(incarnation ident.Incarnation) protocol.LoadReport {
	return protocol.LoadReport{
		Incarnation: incarnation, MaxRunning: 8, PrefillMicrosPerToken: 100,
		Loaded: []protocol.LoadedModel{{Model: "m", Version: "v1"}},
	}
}

func jobOf(id string, hold time.Duration) *Job {
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

func TestARouterThatKnowsNoEngineYetHoldsAndThenPlaces(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 8)
	effects := core.Offer(start, jobOf("r1", time.Second))
	is.Equal(len(effects.Refused)+len(effects.Placed), 0) // held: neither engine has been asked yet

	effects = core.Reported(start.Add(20*time.Millisecond), "a", reportOf("a1"))
	is.Equal(len(effects.Placed), 1)
	is.Equal(effects.Placed[0].Candidate.Endpoint.Incarnation, ident.Incarnation("a1"))
}

// TestARequestBeforeTheFirstFileIsHeld: callers may be let in a moment before
// the list of engines reaches the core.
func TestARequestBeforeTheFirstFileIsHeld(t *testing.T) {
	is := is.New(t)
	core := New(newTestCore(t, 8).config)
	effects := core.Offer(start, jobOf("r1", time.Second))
	is.Equal(len(effects.Refused), 0)
	core.Configure(start, []endpoint.Target{{Engine: "a", Address: "a:1", Zone: zone}})
	is.Equal(len(core.Reported(start, "a", reportOf("a1")).Placed), 1)
}

func TestARequestIsRefusedAtOnceWhenEveryEngineIsDead(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 8)
	for range 3 {
		core.ReportFailed(start, "a")
		core.ReportFailed(start, "b")
	}
	effects := core.Offer(start, jobOf("r1", time.Second))
	is.Equal(len(effects.Refused), 1)
	is.Equal(effects.Refused[0].Fault.Kind, fault.NoPermittedEngine)
	is.Equal(effects.Refused[0].Fault.Ran, fault.RanNo)
	is.True(effects.Refused[0].Fault.RetryAfter > 0)
}

func TestAHeldRequestIsGivenUpWhenItsHoldEnds(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 1)
	core.Reported(start, "a", reportOf("a1"))
	core.Reported(start, "b", reportOf("b1"))
	core.Offer(start, jobOf("r1", time.Second))
	core.Offer(start, jobOf("r2", time.Second))
	is.Equal(core.InFlight(), 2)
	core.Offer(start, jobOf("r3", time.Second))
	is.Equal(core.Waiting(), 1)
	next, waits := core.NextTick()
	is.True(waits)
	is.Equal(next, start.Add(time.Second))
	effects := core.Tick(next)
	is.Equal(len(effects.Refused), 1)
	is.Equal(effects.Refused[0].Fault.Kind, fault.DeadlineExceeded)
}

func TestTheEndOfAnAttemptMakesRoomAndTeaches(t *testing.T) {
	cases := []struct {
		name   string
		result Result
		want   []endpoint.ChangeKind
	}{
		{"answered", Result{Incarnation: "a1", TimeToFirstToken: time.Millisecond}, nil},
		{"unreachable", Result{Unreachable: true}, []endpoint.ChangeKind{endpoint.ChangeDead}},
		{"leaving", Result{Incarnation: "a1", Refusal: protocol.RefusalDraining}, []endpoint.ChangeKind{endpoint.ChangeDraining}},
		{"new life", Result{Incarnation: "a2", Refusal: protocol.RefusalMismatch}, []endpoint.ChangeKind{endpoint.ChangeIncarnation}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			core := newTestCore(t, 1)
			core.Reported(start, "a", reportOf("a1"))
			core.Offer(start, jobOf("r1", time.Second))
			var got []endpoint.ChangeKind
			for _, change := range core.Ended(start, AttemptKeyOf("r1", 1), test.result).Changes {
				got = append(got, change.Kind)
			}
			is.Equal(got, test.want)
			is.Equal(core.InFlight(), 0)
			is.Equal(len(core.Ended(start, AttemptKeyOf("r1", 1), test.result).Changes), 0) // repeats do nothing
		})
	}
}

func TestABeliefIsDroppedWithTheLifeOfItsEngine(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 8)
	core.Reported(start, "a", reportOf("a1"))
	job := jobOf("r1", time.Second)
	core.Offer(start, job)
	core.Started(start, job.Key, "a1", protocol.Usage{PromptTokens: 256, CachedTokens: 0})
	chain := job.Request.Chains["v1"]
	is.True(core.config.Beliefs.At(start).Credit("a", "a1", chain) > 10)
	core.Reported(start, "a", reportOf("a2"))
	is.Equal(core.config.Beliefs.At(start).Credit("a", "a1", chain), 0.0)
	is.Equal(core.config.Beliefs.At(start).Credit("a", "a2", chain), 0.0)
}

// TestWhatIsHeardOfAnotherProcessDoesNotHideAnEngine: what is heard late, of an
// earlier life or from an earlier address, must not make the router take the
// present life for a past one.
func TestWhatIsHeardOfAnotherProcessDoesNotHideAnEngine(t *testing.T) {
	cases := []struct {
		name string
		do   func(core *Core)
		// reports is how many more reports are needed until all is right.
		reports int
	}{
		{"an attempt ends at the address that the file has replaced", func(core *Core) {
			core.Offer(start, jobOf("r0", time.Second))
			core.Configure(start, []endpoint.Target{{Engine: "a", Address: "a:2", Zone: zone}})
			core.Reported(start, "a", reportOf("a2"))
			core.Ended(start, AttemptKeyOf("r0", 1), Result{Incarnation: "a1", TimeToFirstToken: time.Millisecond})
		}, 0},
		{"a report of the life before comes late", func(core *Core) {
			core.Reported(start, "a", reportOf("a2"))
			core.Reported(start, "a", reportOf("a1"))
		}, 0},
		{"a report of the life before, never heard of, comes late", func(core *Core) {
			core.Reported(start, "a", reportOf("a2"))
			core.Reported(start, "a", reportOf("a1b"))
		}, 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			core := newTestCore(t, 8)
			core.Configure(start, []endpoint.Target{{Engine: "a", Address: "a:1", Zone: zone}})
			core.Reported(start, "a", reportOf("a1"))
			test.do(core)
			for range test.reports {
				core.Reported(start.Add(time.Second), "a", reportOf("a2"))
			}
			effects := core.Offer(start.Add(time.Second), jobOf("r1", time.Second))
			is.Equal(len(effects.Placed), 1)
			is.Equal(effects.Placed[0].Candidate.Endpoint.Incarnation, ident.Incarnation("a2"))
		})
	}
}

// Less urgent requests leave a reserve of every batch, which urgent ones use
// while they wait; one of them a second may use it too, so none starves.
func TestLessUrgentRequestsLeaveAReserve(t *testing.T) {
	is := is.New(t)
	core := newTestCore(t, 8)
	core.Reported(start, "a", reportOf("a1"))
	core.Reported(start, "b", reportOf("b1"))
	later := start.Add(time.Millisecond)
	offer := func(id string, priority int) int {
		job := jobOf(id, time.Minute)
		job.Request.Priority = priority
		return len(core.Offer(later, job).Placed)
	}
	placed := 0
	for index := range 12 {
		placed += offer(fmt.Sprint("summary-", index), 2)
	}
	is.Equal(placed, 4+4+1) // half of both batches, and one that passed the reserve
	is.Equal(core.Waiting(), 3)
	for index := range 40 { // also when a summary's turn has come, which it cannot take
		id := fmt.Sprint("order-", index)
		is.Equal(offer(id, 0), 1)
		core.Ended(later, AttemptKeyOf(ident.Request(id), 1), Result{})
	}
	is.Equal(len(core.Tick(later.Add(999*time.Millisecond)).Placed), 0)
	is.Equal(len(core.Tick(later.Add(time.Second)).Placed), 1)
	is.Equal(core.Waiting(), 2)
}
