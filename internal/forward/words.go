package forward

import (
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// BackendNotifier takes news of back ends to other routers. Its methods are safe for concurrent use.
type BackendNotifier interface {
	// Notify takes in that this router has learnt something of a back end that concerns all.
	Notify(instance ident.Incarnation)
}

// takeSaid takes in what an answer says of its back end.
func (a *attempt) takeSaid(reply *Reply) {
	heard := a.forwarder.Backends.ObserveAdvertised(clock.Now(), a.choice.Instance, a.sentAt, reply.Advertised, backend.SourceAnswer)
	if heard.LimitChanged {
		a.note(StepBackendLimit, func(step *Step) { step.Choice, step.Limit = a.choice, heard.Limit })
	}
	if heard.DrainBegan {
		a.note(StepBackendDraining, func(step *Step) { step.Choice = a.choice })
	}
	if heard.Backoff > 0 {
		a.note(StepBackendBackoff, func(step *Step) { step.Choice, step.Backoff = a.choice, heard.Backoff })
	}
	if heard.ConcernsPeers() && a.forwarder.Notifier != nil {
		a.forwarder.Notifier.Notify(a.choice.Instance)
	}
}
