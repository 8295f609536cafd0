package canary

import "time"

// decide returns the phase that the rollout should be in, and why.
func (r *rollout) decide(now time.Time) (Phase, string) {
	switch {
	case r.halted != "":
		return RolledBack, r.halted
	case !r.missingSince.IsZero() && now.Sub(r.missingSince) >= withdrawnAfter:
		return RolledBack, reasonWithdrawn
	case r.state.Phase == Promoting:
		return r.decidePromoting(now)
	}
	return r.decideObserving(now)
}

// decideObserving decides whether the target is promoted.
func (r *rollout) decideObserving(now time.Time) (Phase, string) {
	plan := r.plan()
	if now.Before(plan.promoteAt) {
		return Observing, ""
	}
	if !now.Before(r.deadline(&r.state).Add(-lastWrite - switchFor)) {
		return RolledBack, reasonNotObserved
	}
	if !r.fleet.reaches(now) || !r.settled {
		// A new holder knows nothing until most routers have reported to it.
		return Observing, ""
	}
	last := !now.Before(plan.lastPromoteAt)
	switch why := r.against(last); {
	case why == "":
		return Promoting, ""
	case last:
		return RolledBack, why
	}
	return Observing, ""
}

// against returns what speaks against promoting the target now, or nothing.
func (r *rollout) against(last bool) string {
	switch {
	case r.engines.target == 0:
		return reasonNoBackEnds
	case !r.engines.carries():
		return reasonTooFew
	}
	if scarce := r.verdict.scarce(); scarce != "" {
		return scarce
	}
	return r.verdict.doubt(r.engines.target > 1, last)
}

// decidePromoting decides whether the target has succeeded.
func (r *rollout) decidePromoting(now time.Time) (Phase, string) {
	plan := r.plan()
	switch {
	case r.engines.target == 0:
		return RolledBack, reasonNoBackEnds
	case !now.Before(plan.verdictAt):
		return r.decideLast(now)
	case now.Sub(r.promotedAt) < promotingFor || !r.fleet.reaches(now):
		return Promoting, ""
	case r.fleet.moved(now):
		return Succeeded, reasonMoved
	}
	return Promoting, ""
}

// decideLast decides in the last moment before the deadline. Runs on other releases are not
// waited for any more, but all routers that are heard: what they sent there once the target
// has succeeded would be lost.
func (r *rollout) decideLast(now time.Time) (Phase, string) {
	switch {
	case r.fleet.reaches(now) && r.fleet.turned(now):
		return Succeeded, reasonDeadline
	case now.Before(r.deadline(&r.state).Add(-lastWrite)):
		return Promoting, ""
	case !r.fleet.reaches(now):
		return RolledBack, reasonUnheard
	}
	return RolledBack, reasonNotMoved
}

// plan returns when the rollout goes on.
func (r *rollout) plan() plan {
	var length time.Duration
	if r.state.Phase == Observing {
		length = r.fleet.runLength()
	}
	return newPlan(r.deadline(&r.state), r.state.Order.Duration, length)
}
