package forward

import (
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// BackendNotifier sends state updates of back ends to other routers. Its methods are safe for concurrent use.
type BackendNotifier interface {
	// Notify reports a back end whose advertised state has changed for all routers.
	Notify(instance ident.Incarnation)
	// NotifyFull reports a brittle back end that refused a request for want of room.
	NotifyFull(instance ident.Incarnation)
	// NotifyBrittle reports a service whose back ends have stated for the first time that they are
	// brittle.
	NotifyBrittle(service ident.Service, maxRefusals int)
}

// observeNoRoom records that the back end refused the request for want of room, and notifies other
// routers if it is brittle.
func (a *attempt) observeNoRoom() {
	if a.forwarder.Backends.ObserveNoRoom(clock.Now(), a.choice.Instance) && a.forwarder.Notifier != nil {
		a.forwarder.Notifier.NotifyFull(a.choice.Instance)
	}
}

// applyAdvertised applies what an answer advertises about its back end.
func (a *attempt) applyAdvertised(reply *Reply) {
	change := a.forwarder.Backends.ObserveAdvertised(clock.Now(), a.choice.Instance, a.sentAt, reply.Advertised, backend.SourceAnswer)
	if change.LimitChanged {
		a.recordStep(StepBackendLimit, func(step *Step) { step.Choice, step.Limit = a.choice, change.Limit })
	}
	if change.DrainBegan {
		a.recordStep(StepBackendDraining, func(step *Step) { step.Choice = a.choice })
	}
	if change.BecameBrittle {
		maxRefusals := reply.Advertised.Brittleness.MaxRefusals
		a.recordStep(StepBackendsBrittle, func(step *Step) { step.Choice, step.MaxRefusals = a.choice, maxRefusals })
		if a.forwarder.Notifier != nil {
			a.forwarder.Notifier.NotifyBrittle(a.choice.Service, maxRefusals)
		}
	}
	if change.Backoff > 0 {
		a.recordStep(StepBackendBackoff, func(step *Step) { step.Choice, step.Backoff = a.choice, change.Backoff })
	}
	if change.ConcernsPeers() && a.forwarder.Notifier != nil {
		a.forwarder.Notifier.Notify(a.choice.Instance)
	}
}
