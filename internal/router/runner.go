package router

import (
	"context"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// rateLimitedRunner implements api.Runner: it enforces the tenants' rate limits
// before dispatch.
type rateLimitedRunner struct {
	*dispatch.Dispatcher
	rates *tenantRates
}

// Run implements api.Runner.
func (r *rateLimitedRunner) Run(ctx context.Context, job *dispatch.Job, sink dispatch.Sink) (dispatch.Completion, error) {
	if refusal := r.rates.admit(job.Tenant, job.ID); refusal != nil {
		return dispatch.Completion{}, refusal
	}
	return r.Dispatcher.Run(ctx, job, sink)
}

// RunApplication implements api.Runner.
func (r *rateLimitedRunner) RunApplication(ctx context.Context, job *dispatch.ApplicationJob) (dispatch.Answer, error) {
	if refusal := r.rates.admit(job.Tenant, job.ID); refusal != nil {
		return dispatch.Answer{}, refusal
	}
	return r.Dispatcher.RunApplication(ctx, job)
}

// tenantRates keeps one rate limiter for each tenant that has a limit.
type tenantRates struct {
	current func() *fleet.Compiled
	mutex   sync.Mutex
	rates   map[ident.Tenant]*tenantRate
}

// tenantRate is the limiter of one tenant, and its limit in requests per second.
type tenantRate struct {
	limit   float64
	limiter *admission.TenantRate
}

func newTenantRates(current func() *fleet.Compiled) *tenantRates {
	return &tenantRates{current: current, rates: make(map[ident.Tenant]*tenantRate)}
}

// admit returns a fault for a request above its tenant's rate, or nil.
func (t *tenantRates) admit(tenant ident.Tenant, id ident.Request) error {
	compiled := t.current()
	if compiled == nil {
		return nil
	}
	entry, known := compiled.Tenant(tenant)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !known || entry.MaxRequestsPerSecond <= 0 {
		delete(t.rates, tenant)
		return nil
	}
	rate := t.rates[tenant]
	if rate == nil || rate.limit != entry.MaxRequestsPerSecond {
		rate = &tenantRate{entry.MaxRequestsPerSecond, admission.NewTenantRate(entry.MaxRequestsPerSecond)}
		t.rates[tenant] = rate
	}
	if refusal := rate.limiter.Admit(time.Now(), id); refusal != nil {
		return refusal
	}
	return nil
}

// retryBudgets implements dispatch.RetryBudget with one budget per service.
type retryBudgets struct {
	mutex   sync.Mutex
	budgets map[ident.Service]*admission.RetryBudget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{budgets: make(map[ident.Service]*admission.RetryBudget)}
}

// Allow implements dispatch.RetryBudget.
func (b *retryBudgets) Allow(service ident.Service) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.of(service).Allow(time.Now())
}

// Success implements dispatch.RetryBudget.
func (b *retryBudgets) Success(service ident.Service) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(service).RecordSuccess(time.Now())
}

func (b *retryBudgets) of(service ident.Service) *admission.RetryBudget {
	if b.budgets[service] == nil {
		b.budgets[service] = admission.NewRetryBudget(admission.RetryConfig{})
	}
	return b.budgets[service]
}
