package canary

import "time"

// settleTime is the time after a takeover in which most routers report. Nothing is granted
// before that, as their evidence may be against the target.
const settleTime = 300 * time.Millisecond

const (
	// steadyFactor is the ratio of the target's fraction of requests to the share, so that
	// grants are used up although requests arrive unevenly.
	steadyFactor = 1.3
	// Grants for the usual load are given for pulseRunLengths mean run lengths, within
	// minPulse and maxPulse, so that requests overlap at a back end.
	pulseRunLengths = 3
	minPulse        = 250 * time.Millisecond
	maxPulse        = 750 * time.Millisecond
	// maxPulseFactor is the greatest mean rate of pulses, in units of the share.
	maxPulseFactor = 2.0
)

// sendPermits returns the permits that are due.
func (r *rollout) sendPermits(now time.Time) []Action {
	if !r.loaded || r.state.Phase == 0 || r.state.Fence > r.fence || now.Sub(r.permitsSentAt) < r.tick() {
		return nil
	}
	if r.state.Phase.Final() && now.Sub(r.finalAt) >= finalPermitTime {
		return nil
	}
	r.permitsSentAt = now
	r.grant(now)
	var actions []Action
	for _, router := range r.fleet.routers {
		if !r.reportedFinal(router) {
			actions = append(actions, SendPermit{To: router.address, Permit: r.permit(router)})
		}
	}
	return actions
}

// tick returns the time between two permits to the same router.
func (r *rollout) tick() time.Duration {
	if len(r.fleet.routers) > largeFleet {
		return 2 * r.cfg.Tick
	}
	return r.cfg.Tick
}

// reportedFinal reports whether a router has reported the final phase.
func (r *rollout) reportedFinal(router *router) bool {
	return r.state.Phase.Final() && router.current != nil && router.current.newest.Phase == r.state.Phase
}

// grant distributes grants to routers while the target is observed.
func (r *rollout) grant(now time.Time) {
	if r.state.Phase != Observing || !r.mayPermit() || r.backends.target == 0 || !r.caughtUp {
		return
	}
	answered := r.evaluator.targetAnswers() > 0
	available := r.account.available(r.fleet.requests(), answered)
	if size := r.burstSize(); answered && size > 0 {
		available = r.pulse(now, available, size)
	}
	given := r.fleet.grant(now, available, r.targetFraction())
	r.account.granted += given
	r.pulseLeft = saturatingSub(r.pulseLeft, given)
}

// targetFraction returns the fraction of requests to send to the target while there are
// grants: enough for the usual load at each of its back ends in use.
func (r *rollout) targetFraction() float64 {
	steady := r.cfg.Bounds.Share * steadyFactor
	if r.backends.others == 0 {
		return min(steady, 1)
	}
	tested := min(r.backends.testedBackends(r.cfg.Bounds.Share), r.backends.target)
	return min(max(steady, float64(tested)/float64(r.backends.others)), 1)
}

// burstSize returns the number of grants saved up for a pulse, or 0 if none are needed.
func (r *rollout) burstSize() uint64 {
	if r.targetFraction() <= steadyFactor*r.cfg.Bounds.Share {
		return 0
	}
	length := min(max(pulseRunLengths*r.fleet.runLength(), minPulse), maxPulse)
	return uint64(r.targetFraction() * r.fleet.rate() * length.Seconds())
}

// pulse returns how many of the available grants are given now. If the share gives the
// target's back ends much less than the usual load, grants are saved up and then given at
// the usual load, so that faults under load show. Pulses are spaced, so that no single
// moment decides.
func (r *rollout) pulse(now time.Time, available, burst uint64) uint64 {
	interval := float64(burst) / (maxPulseFactor * r.cfg.Bounds.Share * r.fleet.rate())
	if available >= burst && now.Sub(r.pulseStartedAt).Seconds() >= interval {
		r.pulseLeft, r.pulseStartedAt = burst, now
	}
	return min(available, r.pulseLeft)
}

// mayPermit reports whether anything may be sent to the target.
func (r *rollout) mayPermit() bool { return r.haltReason == "" && r.owned() }

// permit returns the current permit for a router.
func (r *rollout) permit(router *router) *Permit {
	permit := &Permit{
		Order: r.state.Order, Fence: r.fence, Phase: r.state.Phase, Reason: r.state.Reason,
		Halted: !r.mayPermit(), Proved: r.state.Proved,
		Fraction: r.targetFraction(), MaxBackends: r.backends.testedBackends(r.cfg.Bounds.Share), Seed: r.state.Order.Revision,
	}
	if gate := router.current; gate != nil {
		permit.Incarnation, permit.Clock, permit.MaxSends = gate.newest.Incarnation, gate.newest.Clock, gate.maxSends()
	}
	return permit
}
