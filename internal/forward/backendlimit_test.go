package forward_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quota"
)

// fakeLimits returns a result for each request of a grant.
type fakeLimits struct {
	mu sync.Mutex
	// result returns the result of a request by its number, starting at 1.
	result    func(number int, to ident.Incarnation) quota.Result
	requested []ident.Incarnation
	released  []ident.Incarnation
}

// Acquire implements forward.BackendLimits.
func (f *fakeLimits) Acquire(_ context.Context, choice *backend.Choice, _ bool) quota.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requested = append(f.requested, choice.Instance)
	return f.result(len(f.requested), choice.Instance)
}

// Release implements forward.BackendLimits.
func (f *fakeLimits) Release(to ident.Incarnation, _ quota.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, to)
}

// always returns the same result for every request.
func always(result quota.Result) func(int, ident.Incarnation) quota.Result {
	return func(int, ident.Incarnation) quota.Result { return result }
}

// advertiseLimits has back ends name a limit.
func (b *fixture) advertiseLimits(limits *fakeLimits, instances ...ident.Incarnation) {
	b.forwarder.Limits = limits
	for _, instance := range instances {
		b.backends.ObserveAdvertised(time.Now(), instance, time.Now(), backend.Advertised{Limit: backend.LimitedTo{Rate: 1}}, backend.SourceAnswer)
	}
}

// Each attempt at a limited back end must acquire a grant, and release it if it was not sent.
func TestEachAttemptAcquiresABackendGrant(t *testing.T) {
	granted := always(grant(1))
	tests := []struct {
		name       string
		answers    []answer
		route      string
		clientGone bool
		// sent counts attempts, acquired and released count grants.
		sent, acquired, released int
	}{
		{name: "an attempt", answers: []answer{genuine(200, "ok")}, route: "safe", sent: 1, acquired: 1},
		{name: "one that was not sent", answers: []answer{failing(false), genuine(200, "ok")}, route: "safe", sent: 2, acquired: 2, released: 1},
		{name: "one that broke off, and its retry", answers: []answer{failing(true), genuine(200, "ok")}, route: "safe", sent: 2, acquired: 2},
		{name: "one that was refused", answers: []answer{refusing(forward.NotExecuted), genuine(200, "ok")}, route: "unsafe", sent: 2, acquired: 2},
		{name: "a stream that is continued", answers: []answer{breaking("id: 1\ndata: a\n\n"), genuine(200, "id: 2\ndata: b\n\n")}, route: "resumable", sent: 2, acquired: 2},
		{name: "a client that left", answers: []answer{genuine(200, "ok")}, route: "safe", clientGone: true, sent: 0, acquired: 1, released: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(tt.answers...)
				limits := &fakeLimits{result: granted}
				b.advertiseLimits(limits, "a", "b", "c")
				req := request(tt.route)
				req.ClientGone = func() bool { return tt.clientGone }
				b.forward(t, req)
				is.Equal(len(b.caller.sent()), tt.sent)
				is.Equal(len(limits.requested), tt.acquired)
				is.Equal(len(limits.released), tt.released)
			})
		})
	}
}

func TestRequestGoesElsewhereWhenALimitIsUsedUp(t *testing.T) {
	tests := []struct {
		name   string
		result quota.Result
	}{{"denied", quota.Denied{RetryAfter: time.Second}}, {"not confirmed", quota.Unconfirmed{}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(genuine(200, "ok"))
				limits := &fakeLimits{result: always(tt.result)}
				b.advertiseLimits(limits, "a", "b")
				begun := time.Now()
				for range 5 {
					is.Equal(b.forward(t, request("safe")).status, http.StatusOK)
				}
				for _, sent := range b.caller.sent() {
					is.Equal(sent.Target.Instance, ident.Incarnation("c"))
				}
				is.True(len(limits.requested) <= 2) // a denial is remembered
				is.Equal(time.Since(begun), time.Duration(0))
				is.True(slices.ContainsFunc(b.steps, func(step forward.Step) bool { return step.Kind == forward.StepLimitDenied }) == (len(limits.requested) > 0))
			})
		})
	}
}

// While all limits are used up, a request is refused at once if that lasts, and waits if it is
// short.
func TestRequestWhileAllLimitsAreUsedUp(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		kind   fault.Kind
		waited time.Duration
	}{
		{"for long", 700 * time.Millisecond, fault.Overloaded, 0},
		{"for a moment", 50 * time.Millisecond, "", 50 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(genuine(200, "ok"))
				limits := &fakeLimits{result: func(number int, _ ident.Incarnation) quota.Result {
					if number > 3 {
						return grant(9)
					}
					return quota.Denied{RetryAfter: tt.after}
				}}
				b.advertiseLimits(limits, "a", "b", "c")
				begun := time.Now()
				sink := b.forward(t, request("safe"))
				is.Equal(time.Since(begun), tt.waited)
				if tt.kind == "" {
					is.Equal(sink.status, http.StatusOK)
					return
				}
				is.Equal(sink.refusal.Kind, tt.kind)
				is.Equal(sink.refusal.RetryAfter, tt.after)
				is.Equal(sink.refusal.Ran, fault.RanNo)
			})
		})
	}
}

// A request whose process was frozen while it waited for a grant must not be sent: its key may
// have been revoked.
func TestRequestThatWaitedTooLongForAGrantIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(genuine(200, "ok"))
		limits := &fakeLimits{result: func(int, ident.Incarnation) quota.Result {
			time.Sleep(5 * time.Second) // longer than Freshness.Keyed
			return grant(1)
		}}
		b.advertiseLimits(limits, "a", "b", "c")
		req := request("resumable")
		sink := b.forward(t, req)
		is.Equal(len(b.caller.sent()), 0)
		is.Equal(len(limits.released), 1)
		is.Equal(sink.refusal.Kind, fault.NotReady)
	})
}
