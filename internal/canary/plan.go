package canary

import "time"

const (
	// promotingPart is the part of an order's duration that is kept for Promoting, within
	// leastPromoting and mostPromoting: the later the target is promoted, the more late
	// faults are seen before.
	promotingPart  = 0.27
	leastPromoting = 3200 * time.Millisecond
	mostPromoting  = 8 * time.Second
	// longestPart is the most of the duration that is kept if runs are long.
	longestPart = 0.5
	// runLengths is the number of mean run lengths that Promoting leaves for runs on
	// other releases to end: 98 in 100 of exponentially spread lengths are shorter.
	runLengths = 4
	// runMargin is added to that, for the order to promote to reach all routers and for
	// their reports to come back.
	runMargin = 1500 * time.Millisecond
	// doubtPart is the part of what is kept for Promoting that may be given to further
	// observation while the evidence is in doubt.
	doubtPart = 0.4
	// writeMargin is the time before the deadline at which a verdict is written at the
	// latest: a write that waits for its turn behind others, once repeated.
	writeMargin = 800 * time.Millisecond
	// lastWrite is the time before the deadline at which a verdict is written in any case.
	lastWrite = 200 * time.Millisecond
	// shortest is the least time in which a target is tried at all: two seconds of
	// observation, the least for Promoting, and the write.
	shortest = 6 * time.Second
	// promotingFor is the least time of Promoting, in which all back ends of the target
	// carry the full load while it can still be rolled back.
	promotingFor = 1500 * time.Millisecond
	// switchFor is the least time that is left between promoting the target and the
	// verdict: the order to promote reaches all routers in two permits, and short runs
	// on other releases end.
	switchFor = 800 * time.Millisecond
	// deadAfter is the time after which a router that is not heard is taken for dead or
	// cut off, and is not waited for.
	deadAfter = 2 * time.Second
	// freshFor is the age up to which a report tells that a router still runs: two
	// permits long.
	freshFor = 600 * time.Millisecond
	// coveredFor is the time for which a router's permit to promote has to remain valid
	// when the target's success is written, so that it sends nothing to other releases
	// before it learns of that. Writes take 4 to 100 ms when the store is well.
	coveredFor = 400 * time.Millisecond
)

// plan says when a rollout goes on.
type plan struct {
	// promoteAt is when the target is promoted if the evidence is clear, lastPromoteAt
	// when it is promoted or rolled back, verdictAt when the verdict is written.
	promoteAt, lastPromoteAt, verdictAt time.Time
}

// newPlan plans an order of some duration, whose runs usually take runLength.
func newPlan(deadline time.Time, duration, runLength time.Duration) plan {
	kept := scale(duration, promotingPart)
	kept = min(max(kept, leastPromoting), mostPromoting)
	kept = max(kept, min(runLength*runLengths+runMargin, scale(duration, longestPart)))
	doubt := scale(kept, doubtPart)
	return plan{
		promoteAt: deadline.Add(-kept), lastPromoteAt: deadline.Add(doubt - kept),
		verdictAt: deadline.Add(-writeMargin),
	}
}

// scale multiplies a duration.
func scale(duration time.Duration, by float64) time.Duration {
	return time.Duration(float64(duration) * by)
}
