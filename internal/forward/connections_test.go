package forward_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
)

// An attempt that finds all connections allowed to its back end in use costs no retry and no attempt, and the
// back end is tried again soon.
func TestConnectionLimitIsNoRefusal(t *testing.T) {
	limited := func(context.Context, *forward.Attempt) (*forward.Reply, error) {
		return nil, &exchange.Error{Cause: exchange.ErrConnectionLimit}
	}
	tests := []struct {
		name    string
		limited int
		served  bool
	}{
		{"one back end", 1, true},
		{"all back ends, for a moment", 7, true},
		{"all back ends", 10_000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var answers []answer
				for range tt.limited {
					answers = append(answers, limited)
				}
				b := newFixture(append(answers, genuine(200, "x"))...)
				sink := b.forward(t, request("unsafe"))
				is.Equal(sink.status == 200, tt.served)
				if !tt.served {
					is.Equal(sink.refusal.Ran, fault.RanNo)
				}
				for _, step := range b.steps {
					is.True(step.Kind != forward.StepRetryGranted && step.Kind != forward.StepRetryDenied)
				}
				is.Equal(b.backends.InFlight(), 0)
			})
		})
	}
}
