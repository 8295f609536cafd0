package forward

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
)

// errClientGone says that nobody waits for an answer any more.
var errClientGone = errors.New("the client has closed its connection")

// clientGone reports whether the client is gone, so that no attempt is to begin.
// Requests that waited unread, such as during a freeze of the process, may be read
// after their client has left.
func (r *run) clientGone(ctx context.Context) bool {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return true
	}
	return r.request.Left != nil && r.request.Left()
}

// abandonAttempt gives up an attempt that has not begun. Its place at a release on trial is taken
// back: else each client that leaves would use up a grant that nothing was sent for.
func (r *run) abandonAttempt(choice *backend.Choice, flight *backend.Flight) {
	r.declinePlacement(clock.Now(), choice, flight)
	r.releaseGrant()
	r.abortClient(errClientGone)
}

// abortClient ends a request whose client takes no answer.
func (r *run) abortClient(cause error) {
	r.recordStep(StepClientGone, func(step *Step) { step.Cause = cause })
	r.sink.Abort()
}
