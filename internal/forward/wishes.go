package forward

import "github.com/fieldpond/fieldpond/internal/clock"

// takeWishes takes in whether the back end that answers leaves, and for how long it wants
// nothing from this router.
func (a *attempt) takeWishes(reply *Reply) {
	if reply.Leaving && a.forwarder.Backends.SaysLeaving(a.choice.Instance) {
		a.note(StepBackendLeaving, func(step *Step) { step.Choice = a.choice })
	}
	if reply.Rest > 0 {
		a.forwarder.Backends.AskedRest(clock.Now(), a.choice.Instance, reply.Rest)
		a.note(StepBackendRest, func(step *Step) { step.Choice, step.Rest = a.choice, reply.Rest })
	}
}
