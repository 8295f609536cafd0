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

// fakeQuotas gives verdicts in turn; the last one is repeated.
type fakeQuotas struct {
	verdicts []quota.Result
	claims   []quota.Reservation
	returned []quota.Grant
}

// Acquire implements forward.Quotas.
func (q *fakeQuotas) Acquire(_ context.Context, claim quota.Reservation) quota.Result {
	q.claims = append(q.claims, claim)
	return q.verdicts[min(len(q.claims), len(q.verdicts))-1]
}

// Release implements forward.Quotas.
func (q *fakeQuotas) Release(grant quota.Grant) { q.returned = append(q.returned, grant) }

func grant(id uint64) quota.Result { return quota.Granted{Grant: quota.Grant{ID: id}} }

// limit gives the tenant of the key "key" a limit.
func (b *bench) limit(limit quota.Limit) {
	limited := configuration
	limited.Version++
	limited.Keys = map[string]*catalog.Tenant{"key": {Name: "tenant", Limit: limit, CountsTokens: true, PlainTokens: 200}}
	b.holder.Adopt(catalog.NewSnapshot(limited), time.Now())
}

func TestRequestsCountAgainstTheLimitOfTheirTenant(t *testing.T) {
	denied := quota.Denied{RetryAfter: 700 * time.Millisecond}
	const none = fault.Kind("")
	tests := []struct {
		name     string
		route    string
		answers  []answer
		verdicts []quota.Result
		// sent and claims count attempts and claims, returned the grants given back.
		sent, claims, returned int
		kind                   fault.Kind
		ran                    fault.Ran
	}{
		{name: "granted and run", route: "safe", answers: []answer{genuine(200, "ok")}, verdicts: []quota.Result{grant(1)}, sent: 1, claims: 1},
		{name: "denied", route: "safe", answers: []answer{genuine(200, "ok")}, verdicts: []quota.Result{denied}, claims: 1, kind: fault.RateLimited, ran: fault.RanNo},
		{name: "not confirmed", route: "safe", answers: []answer{genuine(200, "ok")}, verdicts: []quota.Result{quota.Unconfirmed{}}, claims: 1, kind: fault.NotReady, ran: fault.RanNo},
		{
			name: "refused and sent elsewhere under the same grant", route: "unsafe", claims: 1, sent: 2,
			answers: []answer{refusing(forward.NotExecuted), genuine(200, "ok")}, verdicts: []quota.Result{grant(1)},
		},
		{
			name: "refused by all", route: "unsafe", claims: 1, sent: 3, returned: 1,
			answers: []answer{refusing(forward.NotExecuted)}, verdicts: []quota.Result{grant(1)}, kind: fault.NoPermittedEngine, ran: fault.RanNo,
		},
		{
			name: "lost and repeated under another grant", route: "safe", claims: 2, sent: 2,
			answers: []answer{failing(true), genuine(200, "ok")}, verdicts: []quota.Result{grant(1), grant(2)},
		},
		{
			name: "lost, and the repeat is denied", route: "safe", claims: 2, sent: 1,
			answers: []answer{failing(true), genuine(200, "ok")}, verdicts: []quota.Result{grant(1), denied}, kind: fault.BackendLost, ran: fault.RanUnknown,
		},
		{
			name: "lost and not repeated", route: "unsafe", claims: 1, sent: 1,
			answers: []answer{failing(true)}, verdicts: []quota.Result{grant(1)}, kind: fault.OutcomeUnknown, ran: fault.RanUnknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(tt.answers...)
				quotas := &fakeQuotas{verdicts: tt.verdicts}
				b.forwarder.Quotas = quotas
				b.limit(quota.Limit{Rate: 1000, Burst: 500})
				wanted := request(tt.route)
				wanted.Tokens = 70
				sink := b.forward(t, wanted)
				is.Equal(len(b.caller.sent()), tt.sent)
				is.Equal(len(quotas.claims), tt.claims)
				is.Equal(len(quotas.returned), tt.returned)
				is.Equal(quotas.claims[0], quota.Reservation{
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

func TestTenantsWithoutALimitClaimNothing(t *testing.T) {
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
			b := newBench(genuine(200, "ok"))
			quotas := &fakeQuotas{verdicts: []quota.Result{quota.Denied{}}}
			b.forwarder.Quotas = quotas
			b.limit(tt.limit)
			is.Equal(b.forward(t, request(tt.route)).status, 200)
			is.Equal(len(quotas.claims), 0)
		})
	}
}

func TestARequestWithoutABackEndGivesItsGrantBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(genuine(200, "ok"))
		b.backends.ApplyList(time.Now(), []backend.Record{})
		quotas := &fakeQuotas{verdicts: []quota.Result{grant(7)}}
		b.forwarder.Quotas = quotas
		b.limit(quota.Limit{Rate: 1000, Burst: 500})
		is.Equal(b.forward(t, request("safe")).refusal.Kind, fault.NoPermittedEngine)
		is.Equal(quotas.returned, []quota.Grant{{ID: 7}})
	})
}
