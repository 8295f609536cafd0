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

// fakeLimits gives a verdict on each claim.
type fakeLimits struct {
	mu sync.Mutex
	// verdict decides on the claim with a number, from 1 on.
	verdict  func(claim int, to ident.Incarnation) quota.Result
	claimed  []ident.Incarnation
	returned []ident.Incarnation
}

// Acquire implements forward.BackendLimits.
func (f *fakeLimits) Acquire(_ context.Context, choice *backend.Choice, _ bool) quota.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claimed = append(f.claimed, choice.Instance)
	return f.verdict(len(f.claimed), choice.Instance)
}

// Release implements forward.BackendLimits.
func (f *fakeLimits) Release(to ident.Incarnation, _ quota.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returned = append(f.returned, to)
}

// always gives one verdict.
func always(verdict quota.Result) func(int, ident.Incarnation) quota.Result {
	return func(int, ident.Incarnation) quota.Result { return verdict }
}

// limitBackEnds has back ends name a limit.
func (b *bench) limitBackEnds(limits *fakeLimits, instances ...ident.Incarnation) {
	b.forwarder.Limits = limits
	for _, instance := range instances {
		b.backends.ObserveAdvertised(time.Now(), instance, time.Now(), backend.Advertised{Limit: backend.LimitedTo{Rate: 1}}, backend.SourceAnswer)
	}
}

// Each sending to a back end with a limit takes a grant; one that never arrived gives it back.
func TestSendingsTakeGrantsOfLimits(t *testing.T) {
	granted := always(grant(1))
	tests := []struct {
		name    string
		answers []answer
		route   string
		left    bool
		// sent, claims and returned count attempts, claims and grants given back.
		sent, claims, returned int
	}{
		{name: "an attempt", answers: []answer{genuine(200, "ok")}, route: "safe", sent: 1, claims: 1},
		{name: "one that never left", answers: []answer{failing(false), genuine(200, "ok")}, route: "safe", sent: 2, claims: 2, returned: 1},
		{name: "one that broke off, and its repeat", answers: []answer{failing(true), genuine(200, "ok")}, route: "safe", sent: 2, claims: 2},
		{name: "one that was refused there", answers: []answer{refusing(forward.NotExecuted), genuine(200, "ok")}, route: "unsafe", sent: 2, claims: 2},
		{name: "a stream that is continued", answers: []answer{breaking("id: 1\ndata: a\n\n"), genuine(200, "id: 2\ndata: b\n\n")}, route: "resumable", sent: 2, claims: 2},
		{name: "a client that left", answers: []answer{genuine(200, "ok")}, route: "safe", left: true, sent: 0, claims: 1, returned: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(tt.answers...)
				limits := &fakeLimits{verdict: granted}
				b.limitBackEnds(limits, "a", "b", "c")
				req := request(tt.route)
				req.ClientGone = func() bool { return tt.left }
				b.forward(t, req)
				is.Equal(len(b.caller.sent()), tt.sent)
				is.Equal(len(limits.claimed), tt.claims)
				is.Equal(len(limits.returned), tt.returned)
			})
		})
	}
}

func TestARequestGoesElsewhereWhenALimitIsUsedUp(t *testing.T) {
	tests := []struct {
		name    string
		verdict quota.Result
	}{{"denied", quota.Denied{RetryAfter: time.Second}}, {"not confirmed", quota.Unconfirmed{}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(genuine(200, "ok"))
				limits := &fakeLimits{verdict: always(tt.verdict)}
				b.limitBackEnds(limits, "a", "b")
				begun := time.Now()
				for range 5 {
					is.Equal(b.forward(t, request("safe")).status, http.StatusOK)
				}
				for _, sent := range b.caller.sent() {
					is.Equal(sent.Target.Instance, ident.Incarnation("c"))
				}
				is.True(len(limits.claimed) <= 2) // a denial is kept to
				is.Equal(time.Since(begun), time.Duration(0))
				is.True(slices.ContainsFunc(b.steps, func(step forward.Step) bool { return step.Kind == forward.StepLimitDenied }) == (len(limits.claimed) > 0))
			})
		})
	}
}

// A request that no limit leaves room for is refused at once if that lasts, and waits a little
// if it does not.
func TestARequestThatNoLimitLeavesRoomFor(t *testing.T) {
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
				b := newBench(genuine(200, "ok"))
				limits := &fakeLimits{verdict: func(claim int, _ ident.Incarnation) quota.Result {
					if claim > 3 {
						return grant(9)
					}
					return quota.Denied{RetryAfter: tt.after}
				}}
				b.limitBackEnds(limits, "a", "b", "c")
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

// A request whose process stood still while it waited for a grant is not sent on what was true
// before: its key may have been taken away.
func TestARequestThatWaitedTooLongForAGrantIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(genuine(200, "ok"))
		limits := &fakeLimits{verdict: func(int, ident.Incarnation) quota.Result {
			time.Sleep(5 * time.Second) // a key may be acted upon for 4 s
			return grant(1)
		}}
		b.limitBackEnds(limits, "a", "b", "c")
		req := request("resumable")
		sink := b.forward(t, req)
		is.Equal(len(b.caller.sent()), 0)
		is.Equal(len(limits.returned), 1)
		is.Equal(sink.refusal.Kind, fault.NotReady)
	})
}
