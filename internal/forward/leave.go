package forward

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
)

// errClientLeft says that nobody waits for an answer any more.
var errClientLeft = errors.New("the client has closed its connection")

// clientLeft reports whether the client is gone, so that no attempt is to begin.
// Requests that waited unread, such as during a freeze of the process, may be read
// after their client has left.
func (r *run) clientLeft(ctx context.Context) bool {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return true
	}
	return r.request.ClientGone != nil && r.request.ClientGone()
}

// abandon gives up an attempt that has not begun. Its place at a release on trial is taken
// back: else each client that leaves would use up a grant that nothing was sent for.
func (r *run) abandon(choice *backend.Choice, flight *backend.Attempt) {
	r.decline(clock.Now(), choice, flight)
	r.giveBack()
	r.leave(errClientLeft)
}

// leave ends a request whose client takes no answer.
func (r *run) leave(cause error) {
	r.note(StepClientGone, func(step *Step) { step.Cause = cause })
	r.sink.Abort()
}
