package canary

import "time"

const (
	// reserveFraction is the part of an order's duration that is kept for Promoting, within
	// minReserve and maxReserve: the later the target is promoted, the more late
	// faults are seen before.
	reserveFraction = 0.27
	minReserve      = 3200 * time.Millisecond
	maxReserve      = 8 * time.Second
	// maxReserveFraction is the most of the duration that is kept if runs are long.
	maxReserveFraction = 0.5
	// reservedRunLengths is the number of mean run lengths that Promoting leaves for runs on
	// other releases to end: 98 in 100 of exponentially spread lengths are shorter.
	reservedRunLengths = 4
	// reserveMargin is added to that, for the order to promote to reach all routers and for
	// their reports to come back.
	reserveMargin = 1500 * time.Millisecond
	// extraObservationFraction is the part of what is kept for Promoting that may be given to further
	// observation while the evidence is in doubt.
	extraObservationFraction = 0.4
	// verdictMargin is the time before the deadline at which a verdict is written at the
	// latest: a write that waits for its turn behind others, once repeated.
	verdictMargin = 800 * time.Millisecond
	// lastWriteMargin is the time before the deadline at which a verdict is written in any case.
	lastWriteMargin = 200 * time.Millisecond
	// minDuration is the least time in which a target is tried at all: two seconds of
	// observation, the least for Promoting, and the write.
	minDuration = 6 * time.Second
	// minPromotingTime is the least time of Promoting, in which all back ends of the target
	// carry the full load while it can still be rolled back.
	minPromotingTime = 1500 * time.Millisecond
	// minSwitchTime is the least time that is left between promoting the target and the
	// verdict: the order to promote reaches all routers in two permits, and short runs
	// on other releases end.
	minSwitchTime = 800 * time.Millisecond
	// silentAfter is the time after which a router that is not heard is taken for dead or
	// cut off, and is not waited for.
	silentAfter = 2 * time.Second
	// maxReportAge is the age up to which a report tells that a router still runs: two
	// permits long.
	maxReportAge = 600 * time.Millisecond
	// minPermitLeft is the time for which a router's permit to promote has to remain valid
	// when the target's success is written, so that it sends nothing to other releases
	// before it learns of that. Writes take 4 to 100 ms when the store is well.
	minPermitLeft = 400 * time.Millisecond
)

// plan says when a rollout goes on.
type plan struct {
	// promoteAt is when the target is promoted if the evidence is clear, lastPromoteAt
	// when it is promoted or rolled back, verdictAt when the verdict is written.
	promoteAt, lastPromoteAt, verdictAt time.Time
}

// newPlan plans an order of some duration, whose runs usually take runLength.
func newPlan(deadline time.Time, duration, runLength time.Duration) plan {
	reserve := scale(duration, reserveFraction)
	reserve = min(max(reserve, minReserve), maxReserve)
	reserve = max(reserve, min(runLength*reservedRunLengths+reserveMargin, scale(duration, maxReserveFraction)))
	extra := scale(reserve, extraObservationFraction)
	return plan{
		promoteAt: deadline.Add(-reserve), lastPromoteAt: deadline.Add(extra - reserve),
		verdictAt: deadline.Add(-verdictMargin),
	}
}

// scale multiplies a duration.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
