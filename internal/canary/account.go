package canary

import "math"

const (
	// slackFraction is the fraction of Bounds.Slack granted beside the share; the rest
	// covers differences between two counts of the same requests.
	slackFraction = 0.7
	// initialSlackFraction is the fraction of Bounds.Slack granted before the target's
	// first answers.
	initialSlackFraction = 0.3
	// ceilingLeadSeconds is the time for which a ceiling is raised ahead, so that not every
	// permit needs a store write.
	ceilingLeadSeconds = 2
	// minCeilingStep is the least number of requests by which a ceiling is raised.
	minCeilingStep = 16
)

// account bounds the requests that may go to an order's target: grants never exceed the
// share of the known requests plus a fraction of the slack, nor the stored ceiling.
type account struct {
	bounds Bounds
	hooks  *hooks
	// inherited is the number that earlier holders may have granted: their ceiling.
	inherited uint64
	// granted is the number granted by this holder.
	granted uint64
	// ceiling is the one in the store, written by this holder.
	ceiling uint64
}

// takeOver starts a new holder's account, which has only its predecessors' ceiling.
func (a *account) takeOver(ceiling uint64) {
	a.inherited, a.granted = ceiling, 0
	if a.hooks.ignoreCeiling {
		a.inherited = 0
	}
}

// totalGranted returns the number that may have been granted so far.
func (a *account) totalGranted() uint64 { return a.inherited + a.granted }

// allowance returns how many grants a number of requests allows in total.
func (a *account) allowance(requests uint64, fraction float64) uint64 {
	return uint64(math.Floor(a.bounds.Share*float64(requests) + fraction*a.bounds.Slack))
}

// available returns how many grants may be given now. Before the first answers only the
// initial fraction of the slack is allowed.
func (a *account) available(requests uint64, answered bool) uint64 {
	allowed := a.allowance(requests, slackFraction)
	if !answered {
		allowed = min(allowed, a.inherited+a.allowance(0, initialSlackFraction))
	}
	if !a.hooks.ignoreCeiling {
		allowed = min(allowed, a.ceiling)
	}
	return saturatingSub(allowed, a.totalGranted())
}

// nextCeiling returns the ceiling to store: the present one while it suffices for the rate
// (requests a second) and a burst of grants. It stays close to what may be granted soon, as
// a successor must assume that all of it was.
func (a *account) nextCeiling(requests uint64, rate float64, burst uint64) uint64 {
	growth := a.bounds.Share * rate * ceilingLeadSeconds
	ahead := max(uint64(growth), burst) + minCeilingStep
	target := min(a.totalGranted()+ahead, a.allowance(requests, slackFraction)+uint64(growth))
	need := a.totalGranted() + burst
	short := a.ceiling < need && target >= need
	if !short && target < a.ceiling+max(uint64(growth)/2, minCeilingStep/2) {
		return a.ceiling
	}
	return target
}

// saturatingSub returns a-b, or 0 if b is larger.
func saturatingSub(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}
