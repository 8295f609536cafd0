package canary

import "time"

// settleTime is the time after a takeover within which the reports of most routers have
// come, before which nothing is granted: the evidence that they carry may be against the
// target.
const settleTime = 300 * time.Millisecond

const (
	// steadyFactor is by how much the part of the requests that routers send to the target
	// exceeds the share, so that grants are used up though requests come unevenly.
	steadyFactor = 1.3
	// The usual load is given for pulseRunLengths mean run lengths once it is, so that requests
	// meet others at the same back end, within minPulse and maxPulse.
	pulseRunLengths = 3
	minPulse        = 250 * time.Millisecond
	maxPulse        = 750 * time.Millisecond
	// maxPulseFactor is the most that is given in pulses, in units of the share.
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
		if !r.knowsFinal(router) {
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

// knowsFinal reports whether a router is known to know a final phase.
func (r *rollout) knowsFinal(router *router) bool {
	return r.state.Phase.Final() && router.current != nil && router.current.newest.Phase == r.state.Phase
}

// grant gives routers more requests that may go to the target, while it is observed.
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

// targetFraction returns the part of the requests that go to the target while there are grants, which
// is as much as gives each of its back ends in use the usual load.
func (r *rollout) targetFraction() float64 {
	steady := r.cfg.Bounds.Share * steadyFactor
	if r.backends.others == 0 {
		return min(steady, 1)
	}
	among := min(r.backends.testedBackends(r.cfg.Bounds.Share), r.backends.target)
	return min(max(steady, float64(among)/float64(r.backends.others)), 1)
}

// burstSize returns the number of grants that are saved up before they are given, or 0.
func (r *rollout) burstSize() uint64 {
	if r.targetFraction() <= steadyFactor*r.cfg.Bounds.Share {
		return 0
	}
	length := min(max(pulseRunLengths*r.fleet.runLength(), minPulse), maxPulse)
	return uint64(r.targetFraction() * r.fleet.rate() * length.Seconds())
}

// pulse returns how much of the room is granted now. If the share gives the back ends in use
// much less than the usual load, grants are saved up and then given for some time at a
// rate that is the usual load, so that a target shows that is bad under load only. Pulses
// are kept apart, so that no single moment decides on the target.
func (r *rollout) pulse(now time.Time, available, burst uint64) uint64 {
	interval := float64(burst) / (maxPulseFactor * r.cfg.Bounds.Share * r.fleet.rate())
	if available >= burst && now.Sub(r.pulseStartedAt).Seconds() >= interval {
		r.pulseLeft, r.pulseStartedAt = burst, now
	}
	return min(available, r.pulseLeft)
}

// mayPermit reports whether anything may be sent to the target.
func (r *rollout) mayPermit() bool { return r.haltReason == "" && r.owned() }

// permit returns the permit for a router as of now.
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
