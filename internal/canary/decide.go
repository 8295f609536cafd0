package canary

import "time"

// decide returns the phase that the rollout should be in, and why.
func (r *rollout) decide(now time.Time) (Phase, string) {
	switch {
	case r.haltReason != "":
		return RolledBack, r.haltReason
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
	if !now.Before(r.deadline(&r.state).Add(-lastWriteMargin - minSwitchTime)) {
		return RolledBack, reasonNotObserved
	}
	if !r.fleet.hasQuorum(now) || !r.caughtUp {
		// A new holder has too little evidence until most routers have reported to it.
		return Observing, ""
	}
	last := !now.Before(plan.lastPromoteAt)
	switch why := r.promotionBlocker(last); {
	case why == "":
		return Promoting, ""
	case last:
		return RolledBack, why
	}
	return Observing, ""
}

// promotionBlocker returns why the target cannot be promoted now, or "".
func (r *rollout) promotionBlocker(last bool) string {
	switch {
	case r.backends.target == 0:
		return reasonNoBackEnds
	case !r.backends.hasCapacity():
		return reasonTooFew
	}
	if shortage := r.evaluator.insufficient(); shortage != "" {
		return shortage
	}
	return r.evaluator.inconclusive(r.backends.target > 1, last)
}

// decidePromoting decides whether the target has succeeded.
func (r *rollout) decidePromoting(now time.Time) (Phase, string) {
	plan := r.plan()
	switch {
	case r.backends.target == 0:
		return RolledBack, reasonNoBackEnds
	case !now.Before(plan.verdictAt):
		return r.decideAtDeadline(now)
	case now.Sub(r.promotedAt) < minPromotingTime || !r.fleet.hasQuorum(now):
		return Promoting, ""
	case r.fleet.allMoved(now):
		return Succeeded, reasonMoved
	}
	return Promoting, ""
}

// decideAtDeadline decides just before the deadline. It no longer waits for runs on other
// releases, but for all reachable routers: what they send there after success would be
// lost.
func (r *rollout) decideAtDeadline(now time.Time) (Phase, string) {
	switch {
	case r.fleet.hasQuorum(now) && r.fleet.allPromoted(now):
		return Succeeded, reasonDeadline
	case now.Before(r.deadline(&r.state).Add(-lastWriteMargin)):
		return Promoting, ""
	case !r.fleet.hasQuorum(now):
		return RolledBack, reasonFewRouters
	}
	return RolledBack, reasonNotMoved
}

// plan returns the times of the next phases.
func (r *rollout) plan() plan {
	var length time.Duration
	if r.state.Phase == Observing {
		length = r.fleet.runLength()
	}
	return newPlan(r.deadline(&r.state), r.state.Order.Duration, length)
}
