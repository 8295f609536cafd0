package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/forward"
)

func TestNoAttemptStartsAfterClientLeft(t *testing.T) {
	failed := func(_ context.Context, _ *forward.Attempt) (*forward.Reply, error) {
		return nil, &exchange.Error{Cause: errReset}
	}
	tests := []struct {
		name string
		// prepare makes the client leave; cancel ends the context of its request.
		prepare func(b *fixture, wanted *forward.Request, cancel context.CancelFunc)
		sent    int
	}{
		{"before it was read", func(_ *fixture, wanted *forward.Request, _ context.CancelFunc) {
			wanted.ClientGone = func() bool { return true }
		}, 0},
		{"before its attempt", func(_ *fixture, _ *forward.Request, cancel context.CancelFunc) { cancel() }, 0},
		{"while it waited for a place", func(b *fixture, _ *forward.Request, cancel context.CancelFunc) {
			b.backends.ApplyList(time.Now(), nil)
			time.AfterFunc(20*time.Millisecond, func() {
				cancel()
				b.relist()
			})
		}, 0},
		{"between two attempts", func(b *fixture, wanted *forward.Request, _ context.CancelFunc) {
			wanted.ClientGone = func() bool { return len(b.caller.sent()) > 0 }
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(failed)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				wanted := request("safe")
				tt.prepare(b, wanted, cancel)
				sink := &fakeSink{}
				b.forwarder.Forward(ctx, wanted, sink)
				synctest.Wait()
				is.Equal(len(b.caller.sent()), tt.sent)
				is.True(sink.aborted)
				is.Equal(sink.finals, 0)
				is.Equal(b.steps[len(b.steps)-1].Kind, forward.StepClientGone)
				is.Equal(b.backends.InFlight(), 0)
			})
		})
	}
}

// failingSink fails to write any answer.
type failingSink struct{ fakeSink }

// Write implements forward.Sink.
func (s *failingSink) Write([]byte) error { return errReset }

// A failed write to the client must not cause another attempt.
func TestFailedWriteToClientIsNotRetried(t *testing.T) {
	is := is.New(t)
	b := newFixture(genuine(200, "id: 0\ndata: x\n\n"))
	sink := &failingSink{}
	b.forwarder.Forward(t.Context(), request("resumable"), sink)
	is.Equal(len(b.caller.sent()), 1)
	is.True(sink.aborted)
	is.Equal(b.steps[len(b.steps)-1].Kind, forward.StepClientGone)
	is.Equal(b.steps[len(b.steps)-2].Outcome, backend.Abandoned)
}
