package node

import (
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// loggedRollout is what was last logged of a service's rollout.
type loggedRollout struct {
	revision  uint64
	phase     canary.Phase
	permitted bool
	// reason is why a final phase was decided, as reported by the lease's holder.
	reason string
}

// loggedOf returns what was logged of a service, and adds it if there is none.
func (c *canaries) loggedOf(service ident.Service) *loggedRollout {
	last := c.logged[service]
	if last == nil {
		last = &loggedRollout{}
		c.logged[service] = last
	}
	return last
}

// logChanges logs changes of all rollouts on this router; the caller holds the mutex.
func (c *canaries) logChanges(now time.Time) {
	if c.rollouts == nil {
		return
	}
	for index := range c.rollouts.orders {
		c.logChange(now, &c.rollouts.orders[index])
	}
}

// logChange logs changes of one rollout: a new order, its phase as this router applies it,
// and whether this router may send requests to the target.
func (c *canaries) logChange(now time.Time, order *canary.Order) {
	last := c.loggedOf(order.Service)
	fields := log.Fields{"service": order.Service, "target": order.Target, "order": order.Revision}
	if order.Revision > last.revision {
		*last = loggedRollout{revision: order.Revision}
		log.WithFields(fields).WithField("duration_ms", order.Duration.Milliseconds()).Info("rollout_ordered")
	}
	if last.phase.Final() {
		return
	}
	report := c.gate.Report(now, order.Service)
	if report == nil || report.Revision != order.Revision {
		return
	}
	if permitted := report.PermitLeft > 0; permitted != last.permitted {
		last.permitted = permitted
		log.WithFields(fields).WithField("permitted", permitted).Info("rollout_permit")
	}
	if report.Phase == last.phase {
		return
	}
	last.phase = report.Phase
	if state := findState(c.rollouts.states, order.Service); last.reason == "" && state != nil {
		last.reason = state.Reason
	}
	c.metrics.rolloutPhases.WithLabelValues(string(order.Service), report.Phase.String()).Inc()
	log.WithFields(fields).WithFields(log.Fields{
		"phase": report.Phase.String(), "reason": last.reason, "requests": report.Requests, "sent": report.Sent,
	}).Info("rollout_phase")
}

// logWritten logs a state that this router has written as holder of the lease.
func (c *canaries) logWritten(fence uint64, state *canary.State) {
	log.WithFields(log.Fields{
		"service": state.Order.Service, "target": state.Order.Target, "order": state.Order.Revision,
		"phase": state.Phase.String(), "reason": state.Reason, "ceiling": state.Ceiling, "fence": fence,
	}).Info("rollout_decided")
}
