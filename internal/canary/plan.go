package canary

import "time"

const (
	// reserveFraction is the fraction of an order's duration reserved for Promoting, within
	// minReserve and maxReserve. A later promotion detects more late faults.
	reserveFraction = 0.27
	minReserve      = 3200 * time.Millisecond
	maxReserve      = 8 * time.Second
	// maxReserveFraction limits the reserve for long runs.
	maxReserveFraction = 0.5
	// reservedRunLengths is the number of mean run lengths reserved for runs on other
	// releases to end: enough for 98 % of exponentially distributed lengths.
	reservedRunLengths = 4
	// reserveMargin is added for permits to reach all routers and their reports to return.
	reserveMargin = 1500 * time.Millisecond
	// extraObservationFraction is the fraction of the reserve that may be used for further
	// observation while the evidence is inconclusive.
	extraObservationFraction = 0.4
	// verdictMargin is the time before the deadline for a verdict to be written, with one
	// retry.
	verdictMargin = 800 * time.Millisecond
	// lastWriteMargin is the time left before the deadline for the last possible write.
	lastWriteMargin = 200 * time.Millisecond
	// minDuration is the least time in which a target is tried: two seconds of observation,
	// the least time for Promoting, and the write.
	minDuration = 6 * time.Second
	// minPromotingTime is the least time in which the target's back ends carry the full
	// load while it can still be rolled back.
	minPromotingTime = 1500 * time.Millisecond
	// minSwitchTime is the least time between promotion and verdict: permits reach all
	// routers, and short runs on other releases end.
	minSwitchTime = 800 * time.Millisecond
	// silentAfter is the time without reports after which a router counts as dead or cut
	// off, and is not waited for.
	silentAfter = 2 * time.Second
	// maxReportAge is the greatest age of a report that shows that a router is running: two
	// permits.
	maxReportAge = 600 * time.Millisecond
	// minPermitLeft is the validity that a router's permit must have left when success is
	// written, so that it sends nothing to other releases before it learns of that.
	minPermitLeft = 400 * time.Millisecond
)

// plan contains the times of a rollout's next phases.
type plan struct {
	// promoteAt is when the target is promoted if the evidence is clear, lastPromoteAt when
	// it is promoted or rolled back, verdictAt when the verdict is written.
	promoteAt, lastPromoteAt, verdictAt time.Time
}

// newPlan plans an order with a mean run length.
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
