package admission

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// bucket is a token bucket without a clock of its own.
type bucket struct {
	rate, burst, tokens float64
	updated             time.Time
}

func (b *bucket) refill(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
	}
	if now.After(b.updated) {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.updated).Seconds()*b.rate)
		b.updated = now
	}
}

// take removes a token, or returns how long it takes until there is one.
func (b *bucket) take(now time.Time) (wait time.Duration, taken bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return seconds((1 - b.tokens) / b.rate), false
}

// RetryConfig bounds the retries of one service.
type RetryConfig struct {
	// Share of successes that may be retried. Default: 0.1.
	Share float64
	// MinimumPerSecond is granted without any success. Default: 2.
	MinimumPerSecond float64
	// Burst is the most retries saved up. Default: 20.
	Burst float64
}

const (
	defaultRetryShare   = 0.1
	defaultRetryMinimum = 2
	defaultRetryBurst   = 20
	// initialRetries is the balance of a new budget. It is small, so that
	// routers restarted in a herd cannot retry in a herd.
	initialRetries = 1
)

// RetryBudget limits the retries of one service to a share of its successes.
type RetryBudget struct {
	share  float64
	tokens bucket
}

// NewRetryBudget returns a budget with a small balance.
func NewRetryBudget(config RetryConfig) *RetryBudget {
	if config.Share <= 0 {
		config.Share = defaultRetryShare
	}
	if config.MinimumPerSecond <= 0 {
		config.MinimumPerSecond = defaultRetryMinimum
	}
	if config.Burst <= 0 {
		config.Burst = defaultRetryBurst
	}
	tokens := bucket{rate: config.MinimumPerSecond, burst: config.Burst, tokens: initialRetries}
	return &RetryBudget{share: config.Share, tokens: tokens}
}

// RecordSuccess earns a share of a retry.
func (b *RetryBudget) RecordSuccess(now time.Time) {
	b.tokens.refill(now)
	b.tokens.tokens = min(b.tokens.burst, b.tokens.tokens+b.share)
}

// Allow reports whether a retry may leave now, and if so counts it.
func (b *RetryBudget) Allow(now time.Time) bool {
	_, taken := b.tokens.take(now)
	return taken
}

// tenantBurst is the time whose worth of requests a tenant may send at once.
const tenantBurst = time.Second

// TenantRate limits the requests a second of one tenant at one router.
type TenantRate struct{ tokens bucket }

// NewTenantRate returns a limit; zero or less means none. A second's worth of
// requests, at least one, may come at once.
func NewTenantRate(requestsPerSecond float64) *TenantRate {
	burst := max(1, requestsPerSecond*tenantBurst.Seconds())
	return &TenantRate{bucket{rate: requestsPerSecond, burst: burst, tokens: burst}}
}

// Admit returns nil, or a RateLimited fault that says when to come back.
func (r *TenantRate) Admit(now time.Time, id ident.Request) *fault.Fault {
	if r.tokens.rate <= 0 {
		return nil
	}
	wait, taken := r.tokens.take(now)
	if taken {
		return nil
	}
	problem := fault.New(fault.RateLimited, "the tenant's %g requests a second are used up", r.tokens.rate)
	return problem.WithRetryAfter(EstimateRetryAfter(wait, id))
}
