package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/quota"
)

// fakeQuotas returns its results in order; the last one is repeated.
type fakeQuotas struct {
	results  []quota.Result
	requests []quota.Reservation
	released []quota.Grant
}

// Acquire implements forward.Quotas.
func (q *fakeQuotas) Acquire(_ context.Context, reservation quota.Reservation) quota.Result {
	q.requests = append(q.requests, reservation)
	return q.results[min(len(q.requests), len(q.results))-1]
}

// Release implements forward.Quotas.
func (q *fakeQuotas) Release(grant quota.Grant) { q.released = append(q.released, grant) }

func grant(id uint64) quota.Result { return quota.Granted{Grant: quota.Grant{ID: id}} }

// limit sets the limit of the tenant with the key "key".
func (b *fixture) limit(limit quota.Limit) {
	limited := configuration
	limited.Version++
	limited.Keys = map[string]*catalog.Tenant{"key": {Name: "tenant", Limit: limit, CountsTokens: true, DefaultTokens: 200}}
	b.holder.Adopt(catalog.NewSnapshot(limited), time.Now())
}

func TestRequestsCountAgainstTenantLimit(t *testing.T) {
	denied := quota.Denied{RetryAfter: 700 * time.Millisecond}
	const none = fault.Kind("")
	tests := []struct {
		name    string
		route   string
		answers []answer
		results []quota.Result
		// sent counts attempts, acquired and released count grants.
		sent, acquired, released int
		kind                     fault.Kind
		ran                      fault.Ran
	}{
		{name: "granted and run", route: "safe", answers: []answer{genuine(200, "ok")}, results: []quota.Result{grant(1)}, sent: 1, acquired: 1},
		{name: "denied", route: "safe", answers: []answer{genuine(200, "ok")}, results: []quota.Result{denied}, acquired: 1, kind: fault.RateLimited, ran: fault.RanNo},
		{name: "not confirmed", route: "safe", answers: []answer{genuine(200, "ok")}, results: []quota.Result{quota.Unconfirmed{}}, acquired: 1, kind: fault.NotReady, ran: fault.RanNo},
		{
			name: "refused and sent elsewhere under the same grant", route: "unsafe", acquired: 1, sent: 2,
			answers: []answer{refusing(forward.NotExecuted), genuine(200, "ok")}, results: []quota.Result{grant(1)},
		},
		{
			name: "refused by all", route: "unsafe", acquired: 1, sent: 3, released: 1,
			answers: []answer{refusing(forward.NotExecuted)}, results: []quota.Result{grant(1)}, kind: fault.NoPermittedEngine, ran: fault.RanNo,
		},
		{
			name: "lost and retried under another grant", route: "safe", acquired: 2, sent: 2,
			answers: []answer{failing(true), genuine(200, "ok")}, results: []quota.Result{grant(1), grant(2)},
		},
		{
			name: "lost, and the retry is denied", route: "safe", acquired: 2, sent: 1,
			answers: []answer{failing(true), genuine(200, "ok")}, results: []quota.Result{grant(1), denied}, kind: fault.BackendLost, ran: fault.RanUnknown,
		},
		{
			name: "lost and not retried", route: "unsafe", acquired: 1, sent: 1,
			answers: []answer{failing(true)}, results: []quota.Result{grant(1)}, kind: fault.OutcomeUnknown, ran: fault.RanUnknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(tt.answers...)
				quotas := &fakeQuotas{results: tt.results}
				b.forwarder.Quotas = quotas
				b.limit(quota.Limit{Rate: 1000, Burst: 500})
				wanted := request(tt.route)
				wanted.Tokens = 70
				sink := b.forward(t, wanted)
				is.Equal(len(b.caller.sent()), tt.sent)
				is.Equal(len(quotas.requests), tt.acquired)
				is.Equal(len(quotas.released), tt.released)
				is.Equal(quotas.requests[0], quota.Reservation{
					Subject: "tenant", Limit: quota.Limit{Rate: 1000, Burst: 500}, Version: configuration.Version + 1, Amount: 70,
				})
				if tt.kind == none {
					is.Equal(sink.status, 200)
					return
				}
				is.Equal(sink.refusal.Kind, tt.kind)
				is.Equal(sink.refusal.Ran, tt.ran)
				if tt.kind == fault.RateLimited {
					is.Equal(sink.refusal.RetryAfter, denied.RetryAfter)
					is.Equal(sink.at.Sub(wanted.ReceivedAt), time.Duration(0)) // at its arrival
				}
			})
		})
	}
}

func TestUnlimitedTenantsAcquireNothing(t *testing.T) {
	tests := []struct {
		name, route string
		limit       quota.Limit
	}{
		{"no limit", "safe", quota.Limit{}},
		{"a burst alone", "safe", quota.Limit{Burst: 5}},
		{"a public route", "public", quota.Limit{Rate: 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(genuine(200, "ok"))
			quotas := &fakeQuotas{results: []quota.Result{quota.Denied{}}}
			b.forwarder.Quotas = quotas
			b.limit(tt.limit)
			is.Equal(b.forward(t, request(tt.route)).status, 200)
			is.Equal(len(quotas.requests), 0)
		})
	}
}

func TestRequestWithoutBackendReleasesItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(genuine(200, "ok"))
		b.backends.ApplyList(time.Now(), []backend.Record{})
		quotas := &fakeQuotas{results: []quota.Result{grant(7)}}
		b.forwarder.Quotas = quotas
		b.limit(quota.Limit{Rate: 1000, Burst: 500})
		is.Equal(b.forward(t, request("safe")).refusal.Kind, fault.NoPermittedEngine)
		is.Equal(quotas.released, []quota.Grant{{ID: 7}})
	})
}
