package canary

import "math"

const (
	// slackFraction is the part of Bounds.Slack that is granted beside the share. The rest
	// is left for what two counts of the same requests differ by at the deadline.
	slackFraction = 0.7
	// initialSlackFraction is the part of Bounds.Slack that is granted before the first answers of the
	// target have come: enough to see that it fails at once.
	initialSlackFraction = 0.3
	// ceilingLeadSeconds is the time, in seconds, for which a ceiling is kept ahead, so that
	// the store is written to once in two seconds and not with every permit.
	ceilingLeadSeconds = 2
	// minCeilingStep is the least number of requests by which a ceiling is raised.
	minCeilingStep = 16
)

// account bounds the requests that may go to the target of an order. What was granted is
// never above the share of the requests that are known to have come, plus a part of the
// slack, at no moment; nor above the ceiling that lies in the store.
type account struct {
	bounds Bounds
	hooks  *hooks
	// inherited is the number that earlier holders may have granted: their ceiling.
	inherited uint64
	// granted is the number that this holder has granted.
	granted uint64
	// ceiling is the one in the store, written by this holder.
	ceiling uint64
}

// takeOver begins the account of a holder, which can only know the ceiling of those before.
func (a *account) takeOver(ceiling uint64) {
	a.inherited, a.granted = ceiling, 0
	if a.hooks.ignoreCeiling {
		a.inherited = 0
	}
}

// totalGranted returns the number that may have been granted so far.
func (a *account) totalGranted() uint64 { return a.inherited + a.granted }

// allowance returns the number that may be granted in all once some requests have come.
func (a *account) allowance(requests uint64, fraction float64) uint64 {
	return uint64(math.Floor(a.bounds.Share*float64(requests) + fraction*a.bounds.Slack))
}

// available returns the number that may be granted now. Before the first answers have come
// only the trickle may.
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

// nextCeiling returns the ceiling that should lie in the store, which is the present one while
// that suffices, also for a burst. Rate is the number of requests a second, burst the number of grants that
// are given within a short time. The ceiling is not above what may be granted soon, as a
// successor has to take it for granted.
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

// saturatingSub returns the difference of two numbers, or 0 if the second one is larger.
func saturatingSub(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}
