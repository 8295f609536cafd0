package forward_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// fakeNews takes down which back ends others would be told of.
type fakeNews struct {
	mu      sync.Mutex
	changed []ident.Incarnation
}

// Notify implements forward.BackendNotifier.
func (f *fakeNews) Notify(instance ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed = append(f.changed, instance)
}

// saying has an answer say something of its back end.
func saying(said backend.Advertised, given answer) answer {
	return func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
		reply, err := given(ctx, attempt)
		if reply != nil {
			reply.Advertised = said
		}
		return reply, err
	}
}

// What answers say of their back ends is heard at each kind of answer.
func TestEachAnswerIsHeard(t *testing.T) {
	said := backend.Advertised{Limit: backend.LimitedTo{Rate: 3}, Draining: true, Backoff: time.Minute}
	tests := []struct {
		name  string
		route string
		given answer
	}{
		{"a success", "safe", genuine(200, "ok")},
		{"a failure", "safe", genuine(500, "no")},
		{"a refusal", "unsafe", refusing(forward.NotExecuted)},
		{"another version", "unsafe", refusing(forward.OtherVersion)},
		{"one that may not be passed on", "safe", refusing(forward.InvalidAnswer)},
		{"the head of a stream", "stream", genuine(200, "id: 1\ndata: a\n\n")},
		{"a stream that breaks off", "stream", breaking("id: 1\ndata: a\n\n")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(saying(said, tt.given), genuine(200, "ok"))
				news := &fakeNews{}
				b.forwarder.Notifier = news
				b.forward(t, request(tt.route))
				first := b.caller.sent()[0].Target.Instance
				is.Equal(news.changed[0], first)
				is.True(slices.Contains(b.backends.LimitedInstances(time.Now()), first))
				is.True(b.backends.DrainingOrUnlisted(first))
				_, resting := b.backends.UnavailableCounts(time.Now())
				is.True(resting >= 1)
			})
		})
	}
}

// An attempt that was placed before its back end said that it leaves, and whose connection was
// open only later, goes elsewhere without a repeat of the budget.
func TestAnAttemptIsWithdrawnRightBeforeItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var b *bench
		late := func(_ context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
			is.True(!attempt.Withdrawn())
			now := time.Now()
			b.backends.ObserveAdvertised(now, attempt.Target.Instance, now, backend.Advertised{Draining: true}, backend.SourceAnswer)
			is.True(attempt.Withdrawn())
			return nil, &exchange.Error{Cause: exchange.ErrWithdrawn}
		}
		b = newBench(late, genuine(200, "ok"))
		sink := b.forward(t, request("unsafe"))
		is.Equal(sink.status, 200)
		sent := b.caller.sent()
		is.Equal(len(sent), 2)
		is.True(sent[0].Target.Instance != sent[1].Target.Instance)
		for _, step := range b.steps {
			is.True(step.Kind != forward.StepRetryGranted)
		}
	})
}
