package canary

import "math"

const (
	// slackPart is the part of Bounds.Slack that is granted beside the share. The rest
	// is left for what two counts of the same requests differ by at the deadline.
	slackPart = 0.7
	// trickle is the part of Bounds.Slack that is granted before the first answers of the
	// target have come: enough to see that it fails at once.
	trickle = 0.3
	// ceilingAhead is the time, in seconds, for which a ceiling is kept ahead, so that
	// the store is written to once in two seconds and not with every permit.
	ceilingAhead = 2
	// leastCeiling is the least number of requests by which a ceiling is raised.
	leastCeiling = 16
)

// account bounds the requests that may go to the target of an order. What was granted is
// never above the share of the requests that are known to have come, plus a part of the
// slack, at no moment; nor above the ceiling that lies in the store.
type account struct {
	bounds Bounds
	hooks  *hooks
	// carried is the number that earlier holders may have granted: their ceiling.
	carried uint64
	// granted is the number that this holder has granted.
	granted uint64
	// ceiling is the one in the store, written by this holder.
	ceiling uint64
}

// takeOver begins the account of a holder, which can only know the ceiling of those before.
func (a *account) takeOver(ceiling uint64) {
	a.carried, a.granted = ceiling, 0
	if a.hooks.ignoreCeiling {
		a.carried = 0
	}
}

// spent returns the number that may have been granted so far.
func (a *account) spent() uint64 { return a.carried + a.granted }

// allowance returns the number that may be granted in all once some requests have come.
func (a *account) allowance(requests uint64, part float64) uint64 {
	return uint64(math.Floor(a.bounds.Share*float64(requests) + part*a.bounds.Slack))
}

// room returns the number that may be granted now. Before the first answers have come
// only the trickle may.
func (a *account) room(requests uint64, answered bool) uint64 {
	allowed := a.allowance(requests, slackPart)
	if !answered {
		allowed = min(allowed, a.carried+a.allowance(0, trickle))
	}
	if !a.hooks.ignoreCeiling {
		allowed = min(allowed, a.ceiling)
	}
	return less(allowed, a.spent())
}

// raise returns the ceiling that should lie in the store, which is the present one while
// that suffices, also for a burst. Rate is the number of requests a second, burst the number of grants that
// are given within a short time. The ceiling is not above what may be granted soon, as a
// successor has to take it for granted.
func (a *account) raise(requests uint64, rate float64, burst uint64) uint64 {
	growth := a.bounds.Share * rate * ceilingAhead
	ahead := max(uint64(growth), burst) + leastCeiling
	wanted := min(a.spent()+ahead, a.allowance(requests, slackPart)+uint64(growth))
	need := a.spent() + burst
	short := a.ceiling < need && wanted >= need
	if !short && wanted < a.ceiling+max(uint64(growth)/2, leastCeiling/2) {
		return a.ceiling
	}
	return wanted
}

// less returns the difference of two numbers, or 0 if the second one is larger.
func less(number, by uint64) uint64 {
	if by >= number {
		return 0
	}
	return number - by
}
