package canary

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const testIncarnation = 99

var (
	testEpoch   = time.Unix(1_700_000_000, 0)
	testOrder   = Order{Service: modelService, Target: modelNew, Duration: 12 * time.Second, Revision: 7}
	testRequest = ChooseRequest{Service: modelService, Route: "draft", First: true}
)

// at returns a local time by the clock of the tests' gates.
func at(clock time.Duration) time.Time { return testEpoch.Add(clock) }

// gateWithOrder returns a gate at clock 0 with the order and both releases listed.
func gateWithOrder() *Gate {
	gate := NewGate(GateConfig{Incarnation: testIncarnation, Bounds: modelBounds})
	gate.SetReleases(at(0), modelService, []ident.Release{modelOld})
	gate.SetReleases(at(0), modelService, []ident.Release{modelOld, modelNew})
	gate.ApplySnapshot(at(0), at(time.Millisecond), Snapshot{Orders: []Order{testOrder}})
	return gate
}

// testPermit returns a permit for ten requests.
func testPermit() *Permit {
	return &Permit{Order: testOrder, Fence: 2, Phase: Observing, Incarnation: testIncarnation, Clock: time.Second, MaxSends: 10, Fraction: 1, MaxBackends: 3}
}

// countSends returns how many of some first requests go to the target.
func countSends(gate *Gate, now time.Time, requests int) int {
	count := 0
	for range requests {
		if releases := gate.Choose(now, testRequest); releases.Only == modelNew {
			gate.Sent(now, modelService, record(modelNew, 0))
			count++
		}
	}
	return count
}

func TestPermitsAllowSends(t *testing.T) {
	tests := []struct {
		name    string
		permits []*Permit
		at      time.Duration
		want    int
	}{
		{"none", nil, time.Second, 0},
		{"one", []*Permit{testPermit()}, time.Second, 10},
		{"duplicate", []*Permit{testPermit(), testPermit()}, time.Second, 10},
		{"shortly before its expiry", []*Permit{testPermit()}, 1999 * time.Millisecond, 10},
		{"after its expiry", []*Permit{testPermit()}, 2 * time.Second, 0},
		{"followed by a larger one", []*Permit{testPermit(), permitWith(func(p *Permit) { p.Clock, p.MaxSends = 2*time.Second, 25 })}, 2 * time.Second, 25},
		{"followed by an older one", []*Permit{permitWith(func(p *Permit) { p.Clock, p.MaxSends = 2*time.Second, 5 }), testPermit()}, 2 * time.Second, 5},
		{"halted", []*Permit{testPermit(), permitWith(func(p *Permit) { p.Clock, p.Halted = 2*time.Second, true })}, time.Second, 0},
		{"rolled back", []*Permit{testPermit(), permitWith(func(p *Permit) { p.Phase = RolledBack })}, time.Second, 0},
		{"promoting", []*Permit{permitWith(func(p *Permit) { p.Phase = Promoting })}, time.Second, 40},
		{"promoting, after its expiry", []*Permit{permitWith(func(p *Permit) { p.Phase = Promoting })}, 3 * time.Second, 0},
		{"of an older order", []*Permit{permitWith(func(p *Permit) { p.Order.Revision = 6 })}, time.Second, 0},
		{"half of the requests", []*Permit{permitWith(func(p *Permit) { p.Fraction, p.MaxSends = 0.5, 100 })}, time.Second, 20},
		{"unsound", []*Permit{permitWith(func(p *Permit) { p.Fraction = -1 })}, time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			gate := gateWithOrder()
			for _, permit := range tt.permits {
				gate.ApplyPermit(at(tt.at), permit)
			}
			is.Equal(countSends(gate, at(tt.at), 40), tt.want)
		})
	}
}

// permitWith returns a changed testPermit.
func permitWith(change func(*Permit)) *Permit {
	permit := testPermit()
	change(permit)
	return permit
}

// Each guard of a gate must block what passes without it.
func TestGuardsOfGate(t *testing.T) {
	tests := []struct {
		name    string
		off     hooks
		permits []*Permit
		at      time.Duration
	}{
		{"clock: a permit that was delayed in the socket of a frozen router", hooks{ignoreClock: true}, []*Permit{testPermit()}, 5 * time.Second},
		{"fence: a permit of the previous holder after the next one halted", hooks{ignoreFence: true}, []*Permit{
			permitWith(func(p *Permit) { p.Fence, p.Halted = 3, true }), testPermit(),
		}, time.Second},
		{"incarnation: a permit for the previous incarnation", hooks{ignoreIncarnation: true}, []*Permit{permitWith(func(p *Permit) { p.Incarnation = testIncarnation - 1 })}, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for _, off := range []bool{false, true} {
				gate := gateWithOrder()
				if off {
					gate.hooks = tt.off
				}
				for _, permit := range tt.permits {
					gate.ApplyPermit(at(tt.at), permit)
				}
				is.Equal(countSends(gate, at(tt.at), 40) > 0, off) // sent only without the guard
			}
		})
	}
}

func TestReleasesWithoutPermit(t *testing.T) {
	other, third := ident.Release("v0"), ident.Release("v3")
	state := func(phase Phase, proved ...ident.Release) State {
		return State{Order: testOrder, Phase: phase, Proved: proved}
	}
	tests := []struct {
		name   string
		first  []ident.Release
		listed []ident.Release
		known  Snapshot
		stale  bool
		want   []ident.Release
		active bool
	}{
		{"no order", []ident.Release{modelOld}, []ident.Release{modelOld}, Snapshot{}, false, []ident.Release{modelOld}, false},
		{"two releases, no order", nil, []ident.Release{modelOld, modelNew}, Snapshot{}, false, []ident.Release{modelOld, modelNew}, false},
		{"new release, orders older", []ident.Release{modelOld}, []ident.Release{modelOld, modelNew}, Snapshot{}, true, []ident.Release{modelOld}, true},
		{"first list newer than the orders", nil, []ident.Release{modelOld, modelNew}, Snapshot{}, true, []ident.Release{modelOld, modelNew}, false},
		{"first list newer than an order", nil, []ident.Release{modelOld, modelNew}, Snapshot{Orders: []Order{testOrder}}, true, []ident.Release{modelOld}, true},
		{"first list newer than a verdict", nil, []ident.Release{modelOld, modelNew}, Snapshot{States: []State{state(RolledBack, modelOld)}}, true, []ident.Release{modelOld}, true},
		{"order", nil, []ident.Release{modelOld, modelNew}, Snapshot{Orders: []Order{testOrder}}, false, []ident.Release{modelOld}, true},
		{"order, three releases", nil, []ident.Release{other, modelOld, modelNew}, Snapshot{Orders: []Order{testOrder}}, false, []ident.Release{other, modelOld}, true},
		{"promoting", nil, []ident.Release{modelOld, modelNew}, Snapshot{States: []State{state(Promoting, modelOld)}}, false, []ident.Release{modelOld}, true},
		{"succeeded", nil, []ident.Release{modelOld, modelNew}, Snapshot{States: []State{state(Succeeded, modelOld)}}, false, []ident.Release{modelNew}, true},
		{"succeeded, the others gone", nil, []ident.Release{modelNew}, Snapshot{States: []State{state(Succeeded, modelOld)}}, false, []ident.Release{modelNew}, false},
		{"succeeded, a later release without order", nil, []ident.Release{modelNew, third}, Snapshot{States: []State{state(Succeeded, modelOld)}}, false, []ident.Release{modelNew, third}, false},
		{"rolled back", nil, []ident.Release{modelOld, modelNew}, Snapshot{States: []State{state(RolledBack, modelOld)}}, false, []ident.Release{modelOld}, true},
		{"rolled back, target gone", nil, []ident.Release{modelOld}, Snapshot{States: []State{state(RolledBack, modelOld)}}, false, []ident.Release{modelOld}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			gate := NewGate(GateConfig{Incarnation: testIncarnation, Bounds: modelBounds})
			if tt.first != nil {
				gate.SetReleases(at(0), modelService, tt.first)
				gate.ApplySnapshot(at(0), at(time.Millisecond), Snapshot{})
			}
			gate.SetReleases(at(time.Second), modelService, tt.listed)
			confirmed := at(2 * time.Second)
			if tt.stale {
				confirmed = at(time.Second)
			}
			gate.ApplySnapshot(at(2*time.Second), confirmed, tt.known)
			releases := gate.Choose(at(3*time.Second), testRequest)
			var allowed []ident.Release
			for _, release := range tt.listed {
				if releases.Allows(release) {
					allowed = append(allowed, release)
				}
			}
			is.Equal(allowed, tt.want)
			is.Equal(gate.Active(), tt.active)
		})
	}
}

func TestFinalPhaseStays(t *testing.T) {
	for _, final := range []Phase{Succeeded, RolledBack} {
		is := is.New(t)
		gate := gateWithOrder()
		gate.ApplyPermit(at(time.Second), permitWith(func(p *Permit) { p.Phase, p.Proved = final, []ident.Release{modelOld} }))
		gate.ApplyPermit(at(time.Second), permitWith(func(p *Permit) { p.Fence, p.Phase, p.Clock = 9, Promoting, time.Second }))
		is.Equal(gate.Report(at(time.Second), modelService).Phase, final)
	}
}

func TestNextOrderReplacesGuard(t *testing.T) {
	is := is.New(t)
	third := ident.Release("v3")
	gate := gateWithOrder()
	gate.ApplySnapshot(at(time.Second), at(time.Second), Snapshot{States: []State{{Order: testOrder, Phase: RolledBack}}})
	next := Order{Service: modelService, Target: third, Duration: time.Minute, Revision: 8}
	gate.ApplySnapshot(at(2*time.Second), at(2*time.Second), Snapshot{Orders: []Order{next}})
	releases := gate.Choose(at(2*time.Second), testRequest)
	is.True(releases.Allows(modelOld))
	is.True(!releases.Allows(modelNew)) // it was rolled back
	is.True(!releases.Allows(third))    // it is not proved
}

// A router that missed a verdict must learn from the next order's state whether that target
// succeeded; a target that was rolled back is never among the proved ones.
func TestMissedVerdictFromNextOrder(t *testing.T) {
	third := ident.Release("v3")
	tests := []struct {
		name   string
		proved []ident.Release
		missed bool
		want   bool
	}{
		{"it succeeded", []ident.Release{modelNew}, true, true},
		{"it was rolled back", []ident.Release{modelOld}, true, false},
		{"its rollback was received", []ident.Release{modelOld, modelNew}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			gate := gateWithOrder()
			if !tt.missed {
				gate.ApplySnapshot(at(time.Second), at(time.Second), Snapshot{States: []State{{Order: testOrder, Phase: RolledBack}}})
			}
			next := Order{Service: modelService, Target: third, Duration: time.Minute, Revision: 8}
			gate.ApplySnapshot(at(2*time.Second), at(2*time.Second), Snapshot{Orders: []Order{next}, States: []State{
				{Order: next, Phase: Observing, Proved: tt.proved},
			}})
			releases := gate.Choose(at(2*time.Second), testRequest)
			is.Equal(releases.Allows(modelNew), tt.want)
			is.True(!releases.Allows(third))
		})
	}
}

func TestWithdrawnOrderRestrictsNothing(t *testing.T) {
	is := is.New(t)
	gate := gateWithOrder()
	is.True(gate.Active())
	gate.ApplySnapshot(at(time.Second), at(time.Second), Snapshot{})
	is.True(!gate.Active())
}

func TestReportCounts(t *testing.T) {
	is := is.New(t)
	gate := NewGate(GateConfig{Incarnation: testIncarnation, Bounds: modelBounds})
	early := gate.Sent(at(0), modelService, record(modelOld, 0))
	gate.SetReleases(at(0), modelService, []ident.Release{modelOld, modelNew})
	gate.ApplySnapshot(at(0), at(time.Millisecond), Snapshot{Orders: []Order{testOrder}})
	gate.ApplyPermit(at(time.Second), testPermit())
	gate.Choose(at(time.Second), testRequest)
	toNew := gate.Sent(at(time.Second), modelService, record(modelNew, 1))
	gate.Choose(at(time.Second), testRequest)
	toOld := gate.Sent(at(time.Second), modelService, record(modelOld, 1))
	is.Equal(gate.Report(at(time.Second), modelService).OtherRuns, uint64(2)) // including the one from before the order

	gate.Ended(at(time.Second), early, Sample{Route: "draft", Outcome: Failed})
	gate.Ended(at(time.Second), toNew, Sample{Route: "draft", Outcome: Failed})
	gate.Ended(at(time.Second), toOld, Sample{Route: "draft", Outcome: Answered, Elapsed: 3 * time.Second, Predicted: time.Second})
	report := gate.Report(at(1500*time.Millisecond), modelService)
	is.Equal(report.Requests, uint64(2))
	is.Equal(report.Sent, uint64(1))
	is.Equal(report.OtherRuns, uint64(0))
	is.Equal(report.PermitLeft, 500*time.Millisecond)
	is.True(slices.EqualFunc(report.Tallies, []Tally{
		{Route: "draft", Group: groupOf("v2-1"), Answers: 1, Failures: 1},
		{Route: "draft", Answers: 1, Times: Histogram{0, 0, 0, 0, 1}},
	}, func(a, b Tally) bool {
		return a.Group == b.Group && a.Answers == b.Answers && a.Failures == b.Failures && slices.Equal(a.Times, b.Times)
	}))
}

func TestDeclinedGrantIsReused(t *testing.T) {
	is := is.New(t)
	gate := gateWithOrder()
	gate.ApplyPermit(at(time.Second), permitWith(func(p *Permit) { p.MaxSends = 1 }))
	is.Equal(gate.Choose(at(time.Second), testRequest).Only, modelNew)
	is.Equal(gate.Choose(at(time.Second), testRequest).Only, ident.Release("")) // the only grant is in use
	gate.Declined(modelService)
	is.Equal(gate.Choose(at(time.Second), testRequest).Only, modelNew)
}

func TestTalliesAreBounded(t *testing.T) {
	is := is.New(t)
	gate := gateWithOrder()
	for route := range 10 {
		for instance := range 50 {
			run := gate.Sent(at(time.Second), modelService, record(modelNew, instance))
			gate.Ended(at(time.Second), run, Sample{Route: string(rune('a' + route)), Outcome: Answered})
		}
	}
	report := gate.Report(at(time.Second), modelService)
	is.True(len(report.Tallies) <= maxTallies)
	is.True(report.valid())
}

func TestRetriesAvoidTarget(t *testing.T) {
	is := is.New(t)
	gate := gateWithOrder()
	gate.ApplyPermit(at(time.Second), testPermit())
	for range 20 { // the fraction is 1, so that each request has enough credit
		releases := gate.Choose(at(time.Second), ChooseRequest{Service: modelService, Route: "draft", Excluded: 1})
		is.True(!releases.Allows(modelNew))
	}
	is.Equal(gate.Choose(at(time.Second), ChooseRequest{Service: modelService, Route: "draft", First: true}).Only, modelNew)
}

func TestDisabledGateCountsNothing(t *testing.T) {
	is := is.New(t)
	gate := NewGate(GateConfig{Incarnation: testIncarnation})
	gate.ApplySnapshot(at(0), at(0), Snapshot{Orders: []Order{testOrder}})
	gate.SetReleases(at(0), modelService, []ident.Release{modelOld, modelNew})
	is.True(!gate.Active())
	is.Equal(gate.Sent(at(0), modelService, record(modelNew, 0)), Run{})
	is.Equal(gate.Report(at(0), modelService), nil)
}

func TestSelectIgnoresInputOrder(t *testing.T) {
	is := is.New(t)
	releases := backend.Releases{Only: modelNew, MaxBackends: 3, Seed: 7}
	names := []ident.Incarnation{"a", "b", "c", "d", "e", "f"}
	reversed := slices.Clone(names)
	slices.Reverse(reversed)
	first, second := releases.Select(slices.Clone(names)), releases.Select(reversed)
	is.Equal(len(first), 3)
	is.Equal(first, second)
}
