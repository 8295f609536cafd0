package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// alwaysRejecting rejects every target with an answer.
type alwaysRejecting struct{ sequentialEvaluator }

func (c *alwaysRejecting) rejection(bool) string {
	if c.targetAnswers() == 0 {
		return ""
	}
	return "bad"
}

// Routers must be stopped as soon as a target is rejected, even if the store does not
// answer.
func TestBadTargetHaltsBeforeWrite(t *testing.T) {
	is := is.New(t)
	d := newHarness(hooks{newEvaluator: func() evaluator { return &alwaysRejecting{} }})
	d.observe(testOrder)
	d.director.SetLease(at(d.now), 1)
	for range 10 {
		d.step()
	}
	is.True(!d.permits[len(d.permits)-1].Permit.Halted)
	d.dropWrites = true
	report := &Report{Service: modelService, Revision: testOrder.Revision, Incarnation: 1, Phase: Observing, Requests: 50, Sent: 5}
	for second := range 2 {
		report.Clock, report.Tallies = d.now+time.Second, []Tally{
			{Route: "draft", Answers: uint64(40 * second)}, {Route: "draft", Group: 7, Answers: uint64(5 * second)},
		}
		sent := *report
		d.director.ApplyReport(at(d.now), testRouter, &sent)
		for range 40 {
			d.step()
		}
	}
	is.Equal(d.states[modelService].Phase, Observing)
	is.True(d.permits[len(d.permits)-1].Permit.Halted)
}

// alwaysInconclusive never promotes a target.
type alwaysInconclusive struct{ sequentialEvaluator }

func (d *alwaysInconclusive) inconclusive(bool, bool) string { return "in doubt" }

// A target with some evidence against it must not get more than its share.
func TestInconclusiveTargetIsNotPromoted(t *testing.T) {
	is := is.New(t)
	h := undisturbedHistory()
	h.hooks.newEvaluator = func() evaluator { return &alwaysInconclusive{} }
	got := newModel(h).play()
	is.Equal(got.verdicts, []Phase{RolledBack})
	is.Equal(got.reason, "in doubt")
	is.Equal(got.promoted, time.Duration(0))
	is.Equal(got.violations, nil)
}

// A new holder must grant nothing until most routers can have reported their earlier
// counts.
func TestTakeoverEvaluatesBeforeGrants(t *testing.T) {
	is := is.New(t)
	d := newHarness(hooks{})
	d.observe(testOrder)
	d.states[modelService] = State{Order: testOrder, Phase: Observing, Ceiling: 10, Fence: 4}
	d.versions[modelService] = 3
	d.director.SetLease(at(d.now), 5)
	const sent = 6
	owned := time.Duration(0)
	for d.now < 2*time.Second {
		if d.states[modelService].Fence == 5 && owned == 0 {
			owned = d.now
		}
		d.director.ApplyReport(at(d.now), testRouter, &Report{
			Service: modelService, Revision: testOrder.Revision, Incarnation: 1, Clock: time.Minute + d.now, Phase: Observing,
			Requests: 1_000 + uint64(d.now/time.Millisecond), Sent: sent,
			Tallies: []Tally{{Route: "draft", Answers: 900}, {Route: "draft", Group: 7, Answers: sent}},
		})
		d.step()
		for _, action := range d.permits {
			is.True(action.Permit.MaxSends <= sent || (owned > 0 && d.now-owned >= settleTime))
		}
	}
	is.True(d.permits[len(d.permits)-1].Permit.MaxSends > sent)
}

// Few back ends of a target must get the usual load: one that fails only under that load
// must not be promoted.
func TestPulsesRevealLoadFailures(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(24) {
		h := undisturbedHistory()
		h.seed, h.rate = seed, 400
		h.routes = []modelRoute{{name: "draft", share: 1, usual: 400 * time.Millisecond}}
		h.addBad(fault{failures: 0.3, load: h.usualLoad()})
		got := newModel(h).play()
		is.Equal(got.verdicts, []Phase{RolledBack})
		is.Equal(got.promoted, time.Duration(0))
		is.Equal(got.violations, nil)
	}
}
