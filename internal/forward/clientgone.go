package forward

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
)

var errClientGone = errors.New("the client has closed its connection")

// clientGone reports whether the client has left, so that no attempt may start.
// After a freeze of the process, requests may be read whose clients are gone.
func (r *run) clientGone(ctx context.Context) bool {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return true
	}
	return r.request.ClientGone != nil && r.request.ClientGone()
}

// abandonAttempt drops an attempt that was placed but not sent. It declines the placement, so that
// no grant of a release on trial is used up.
func (r *run) abandonAttempt(choice *backend.Choice, backendAttempt *backend.Attempt) {
	r.declinePlacement(clock.Now(), choice, backendAttempt)
	r.releaseGrant()
	r.abortClient(errClientGone)
}

// abortClient ends a request whose client accepts no answer.
func (r *run) abortClient(cause error) {
	r.recordStep(StepClientGone, func(step *Step) { step.Cause = cause })
	r.sink.Abort()
}
