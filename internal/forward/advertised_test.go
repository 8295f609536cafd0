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

// fakeNotifier records the back ends that others would be notified about.
type fakeNotifier struct {
	mu       sync.Mutex
	notified []ident.Incarnation
	full     []ident.Incarnation
	brittle  []ident.Service
}

// Notify implements forward.BackendNotifier.
func (f *fakeNotifier) Notify(instance ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notified = append(f.notified, instance)
}

// NotifyBrittle implements forward.BackendNotifier.
func (f *fakeNotifier) NotifyBrittle(service ident.Service, _ int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittle = append(f.brittle, service)
}

// NotifyFull implements forward.BackendNotifier.
func (f *fakeNotifier) NotifyFull(instance ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = append(f.full, instance)
}

// advertising adds an advertisement to an answer.
func advertising(advertised backend.Advertised, given answer) answer {
	return func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
		reply, err := given(ctx, attempt)
		if reply != nil {
			reply.Advertised = advertised
		}
		return reply, err
	}
}

// The advertisement of every kind of answer must be applied.
func TestAdvertisementOfEachAnswerIsApplied(t *testing.T) {
	advertised := backend.Advertised{Limit: backend.LimitedTo{Rate: 3}, Draining: true, Backoff: time.Minute}
	tests := []struct {
		name  string
		route string
		given answer
	}{
		{"a success", "safe", genuine(200, "ok")},
		{"a failure", "safe", genuine(500, "no")},
		{"a refusal", "unsafe", refusing(forward.NotExecuted)},
		{"another version", "unsafe", refusing(forward.OtherVersion)},
		{"an invalid answer", "safe", refusing(forward.InvalidAnswer)},
		{"the head of a stream", "stream", genuine(200, "id: 1\ndata: a\n\n")},
		{"a stream that breaks off", "stream", breaking("id: 1\ndata: a\n\n")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(advertising(advertised, tt.given), genuine(200, "ok"))
				notifier := &fakeNotifier{}
				b.forwarder.Notifier = notifier
				b.forward(t, request(tt.route))
				first := b.caller.sent()[0].Target.Instance
				is.Equal(notifier.notified[0], first)
				is.True(slices.Contains(b.backends.LimitedInstances(time.Now()), first))
				is.True(b.backends.DrainingOrUnlisted(first))
				_, backingOff := b.backends.UnavailableCounts(time.Now())
				is.True(backingOff >= 1)
			})
		})
	}
}

// An attempt whose back end starts draining between placement and sending must go elsewhere
// without spending a retry of the budget.
func TestAttemptIsWithdrawnBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var b *fixture
		late := func(_ context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
			is.True(!attempt.Withdrawn())
			now := time.Now()
			b.backends.ObserveAdvertised(now, attempt.Target.Instance, now, backend.Advertised{Draining: true}, backend.SourceAnswer)
			is.True(attempt.Withdrawn())
			return nil, &exchange.Error{Cause: exchange.ErrWithdrawn}
		}
		b = newFixture(late, genuine(200, "ok"))
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
