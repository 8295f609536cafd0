package canary

import "time"

// settleFor is the time after a takeover within which the reports of most routers have
// come, before which nothing is granted: the evidence that they carry may be against the
// target.
const settleFor = 300 * time.Millisecond

const (
	// steadyExcess is by how much the part of the requests that routers send to the target
	// exceeds the share, so that grants are used up though requests come unevenly.
	steadyExcess = 1.3
	// The usual load is given for pulseRuns mean run lengths once it is, so that requests
	// meet others at the same back end, within shortestPulse and longestPulse.
	pulseRuns     = 3
	shortestPulse = 250 * time.Millisecond
	longestPulse  = 750 * time.Millisecond
	// catchUp is the most that is given in pulses, in units of the share.
	catchUp = 2.0
)

// tell returns the permits that are due.
func (r *rollout) tell(now time.Time) []Action {
	if !r.known || r.state.Phase == 0 || r.state.Fence > r.fence || now.Sub(r.toldAt) < r.tick() {
		return nil
	}
	if r.state.Phase.Final() && now.Sub(r.finalAt) >= finalFor {
		return nil
	}
	r.toldAt = now
	r.grant(now)
	var actions []Action
	for _, router := range r.fleet.routers {
		if !r.informed(router) {
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

// informed reports whether a router is known to know a final phase.
func (r *rollout) informed(router *router) bool {
	return r.state.Phase.Final() && router.current != nil && router.current.newest.Phase == r.state.Phase
}

// grant gives routers more requests that may go to the target, while it is observed.
func (r *rollout) grant(now time.Time) {
	if r.state.Phase != Observing || !r.permitting() || r.engines.target == 0 || !r.settled {
		return
	}
	answered := r.verdict.total() > 0
	room := r.account.room(r.fleet.requests(), answered)
	if burst := r.burst(); answered && burst > 0 {
		room = r.pulse(now, room, burst)
	}
	given := r.fleet.grant(now, room, r.part())
	r.account.granted += given
	r.pulsed = less(r.pulsed, given)
}

// part returns the part of the requests that go to the target while there are grants, which
// is as much as gives each of its back ends in use the usual load.
func (r *rollout) part() float64 {
	steady := r.cfg.Bounds.Share * steadyExcess
	if r.engines.others == 0 {
		return min(steady, 1)
	}
	among := min(r.engines.among(r.cfg.Bounds.Share), r.engines.target)
	return min(max(steady, float64(among)/float64(r.engines.others)), 1)
}

// burst returns the number of grants that are saved up before they are given, or 0.
func (r *rollout) burst() uint64 {
	if r.part() <= steadyExcess*r.cfg.Bounds.Share {
		return 0
	}
	length := min(max(pulseRuns*r.fleet.runLength(), shortestPulse), longestPulse)
	return uint64(r.part() * r.fleet.rate() * length.Seconds())
}

// pulse returns how much of the room is granted now. If the share gives the back ends in use
// much less than the usual load, grants are saved up and then given for some time at a
// rate that is the usual load, so that a target shows that is bad under load only. Pulses
// are kept apart, so that no single moment decides on the target.
func (r *rollout) pulse(now time.Time, room, burst uint64) uint64 {
	apart := float64(burst) / (catchUp * r.cfg.Bounds.Share * r.fleet.rate())
	if room >= burst && now.Sub(r.pulsedAt).Seconds() >= apart {
		r.pulsed, r.pulsedAt = burst, now
	}
	return min(room, r.pulsed)
}

// permitting reports whether anything may be sent to the target.
func (r *rollout) permitting() bool { return r.halted == "" && r.owned() }

// permit returns the permit for a router as of now.
func (r *rollout) permit(router *router) *Permit {
	permit := &Permit{
		Order: r.state.Order, Fence: r.fence, Phase: r.state.Phase, Reason: r.state.Reason,
		Halted: !r.permitting(), Proved: r.state.Proved,
		Fraction: r.part(), MaxBackends: r.engines.among(r.cfg.Bounds.Share), Seed: r.state.Order.Revision,
	}
	if life := router.current; life != nil {
		permit.Incarnation, permit.Clock, permit.MaxSends = life.newest.Incarnation, life.newest.Clock, life.sends()
	}
	return permit
}
