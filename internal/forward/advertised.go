package forward

import (
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// BackendNews sends state updates of back ends to other routers. Its methods are safe for concurrent use.
type BackendNews interface {
	// Changed reports a back end whose advertised state has changed for all routers.
	Changed(instance ident.Incarnation)
}

// applyAdvertised applies what an answer advertises about its back end.
func (a *attempt) applyAdvertised(reply *Reply) {
	change := a.forwarder.Backends.TakeSaid(clock.Now(), a.choice.Instance, a.sentAt, reply.Said, backend.ByAnswer)
	if change.LimitChanged {
		a.recordStep(StepBackendLimit, func(step *Step) { step.Choice, step.Limit = a.choice, change.Limit })
	}
	if change.Leaving {
		a.recordStep(StepBackendLeaving, func(step *Step) { step.Choice = a.choice })
	}
	if change.Rest > 0 {
		a.recordStep(StepBackendRest, func(step *Step) { step.Choice, step.Rest = a.choice, change.Rest })
	}
	if change.News() && a.forwarder.News != nil {
		a.forwarder.News.Changed(a.choice.Instance)
	}
}
