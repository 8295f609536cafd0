package node

import (
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// rolloutTrail is what was logged last of a service's rollout.
type rolloutTrail struct {
	revision  uint64
	phase     canary.Phase
	permitted bool
	// reason says what decided a final phase, as the holder told it.
	reason string
}

// note returns the trail of a service.
func (c *canaries) note(service ident.Service) *rolloutTrail {
	trail := c.trails[service]
	if trail == nil {
		trail = &rolloutTrail{}
		c.trails[service] = trail
	}
	return trail
}

// logTrails logs what has changed on this router; the caller holds the mutex.
func (c *canaries) logTrails(now time.Time) {
	if c.rollouts == nil {
		return
	}
	for index := range c.rollouts.orders {
		c.logTrail(now, &c.rollouts.orders[index])
	}
}

// logTrail logs what has changed of one order: that it is there, its phase as this router
// acts upon it, and whether this router may send anything to its target.
func (c *canaries) logTrail(now time.Time, order *canary.Order) {
	trail := c.note(order.Service)
	fields := log.Fields{"service": order.Service, "target": order.Target, "order": order.Revision}
	if order.Revision > trail.revision {
		*trail = rolloutTrail{revision: order.Revision}
		log.WithFields(fields).WithField("duration_ms", order.Duration.Milliseconds()).Info("rollout_ordered")
	}
	if trail.phase.Final() {
		return
	}
	report := c.gate.Report(now, order.Service)
	if report == nil || report.Revision != order.Revision {
		return
	}
	if permitted := report.PermitLeft > 0; permitted != trail.permitted {
		trail.permitted = permitted
		log.WithFields(fields).WithField("permitted", permitted).Info("rollout_permit")
	}
	if report.Phase == trail.phase {
		return
	}
	trail.phase = report.Phase
	if state := stateOf(c.rollouts.states, order.Service); trail.reason == "" && state != nil {
		trail.reason = state.Reason
	}
	c.metrics.rolloutPhases.WithLabelValues(string(order.Service), report.Phase.String()).Inc()
	log.WithFields(fields).WithFields(log.Fields{
		"phase": report.Phase.String(), "reason": trail.reason, "requests": report.Requests, "sent": report.Sent,
	}).Info("rollout_phase")
}

// wrote logs a state that this router has written as the holder of the lease.
func (c *canaries) wrote(fence uint64, state *canary.State) {
	log.WithFields(log.Fields{
		"service": state.Order.Service, "target": state.Order.Target, "order": state.Order.Revision,
		"phase": state.Phase.String(), "reason": state.Reason, "ceiling": state.Ceiling, "fence": fence,
	}).Info("rollout_decided")
}
