package forward

import (
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// BackendNews takes news of back ends to other routers. Its methods are safe for concurrent use.
type BackendNews interface {
	// Changed takes in that this router has learnt something of a back end that concerns all.
	Changed(instance ident.Incarnation)
}

// takeSaid takes in what an answer says of its back end.
func (a *attempt) takeSaid(reply *Reply) {
	heard := a.forwarder.Backends.TakeSaid(clock.Now(), a.choice.Instance, a.sentAt, reply.Said, backend.ByAnswer)
	if heard.LimitChanged {
		a.note(StepBackendLimit, func(step *Step) { step.Choice, step.Limit = a.choice, heard.Limit })
	}
	if heard.Leaving {
		a.note(StepBackendLeaving, func(step *Step) { step.Choice = a.choice })
	}
	if heard.Rest > 0 {
		a.note(StepBackendRest, func(step *Step) { step.Choice, step.Rest = a.choice, heard.Rest })
	}
	if heard.News() && a.forwarder.News != nil {
		a.forwarder.News.Changed(a.choice.Instance)
	}
}
