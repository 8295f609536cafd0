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

func TestNoAttemptBeginsForAClientThatLeft(t *testing.T) {
	failed := func(_ context.Context, _ *forward.Attempt) (*forward.Reply, error) {
		return nil, &exchange.Error{Cause: errReset}
	}
	tests := []struct {
		name string
		// prepare makes the client leave; cancel ends the context of its request.
		prepare func(b *bench, wanted *forward.Request, cancel context.CancelFunc)
		sent    int
	}{
		{"before it was read", func(_ *bench, wanted *forward.Request, _ context.CancelFunc) {
			wanted.ClientGone = func() bool { return true }
		}, 0},
		{"before its attempt", func(_ *bench, _ *forward.Request, cancel context.CancelFunc) { cancel() }, 0},
		{"while it waited for a place", func(b *bench, _ *forward.Request, cancel context.CancelFunc) {
			b.backends.ApplyList(time.Now(), nil)
			time.AfterFunc(20*time.Millisecond, func() {
				cancel()
				b.relist()
			})
		}, 0},
		{"between two attempts", func(b *bench, wanted *forward.Request, _ context.CancelFunc) {
			wanted.ClientGone = func() bool { return len(b.caller.sent()) > 0 }
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(failed)
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

// stuckSink takes no byte of an answer.
type stuckSink struct{ fakeSink }

// Write implements forward.Sink.
func (s *stuckSink) Write([]byte) error { return errReset }

// A client that takes nothing costs one attempt: another one would be as useless.
func TestAClientThatTakesNothingGetsNoOtherAttempt(t *testing.T) {
	is := is.New(t)
	b := newBench(genuine(200, "id: 0\ndata: x\n\n"))
	sink := &stuckSink{}
	b.forwarder.Forward(t.Context(), request("resumable"), sink)
	is.Equal(len(b.caller.sent()), 1)
	is.True(sink.aborted)
	is.Equal(b.steps[len(b.steps)-1].Kind, forward.StepClientGone)
	is.Equal(b.steps[len(b.steps)-2].Outcome, backend.Abandoned)
}
