package claim

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
)

const (
	// firstBackoff is the pause after the first of consecutive failures.
	firstBackoff = 20 * time.Millisecond
	// backoffDivisor bounds a pause to this part of the claim timeout, so that every claim gets
	// at least one attempt.
	backoffDivisor = 4
	// paceBurst is the most transactions sent at once after an idle time.
	paceBurst = 4
)

// pace is the token bucket for the table, with pauses after failures.
type pace struct {
	rate     float64
	tokens   float64
	refilled time.Time
	paused   time.Time
	backoff  time.Duration
	longest  time.Duration
}

func newPace(config Config) pace {
	return pace{rate: config.TransactionsPerSecond, tokens: paceBurst, longest: config.Timeout / backoffDivisor}
}

// next returns the earliest time a transaction may be sent.
func (p *pace) next(now time.Time) time.Time {
	p.refill(now)
	earliest := now
	if p.tokens < 1 {
		earliest = now.Add(time.Duration((1-p.tokens)/p.rate*float64(time.Second)) + 1)
	}
	if p.paused.After(earliest) {
		return p.paused
	}
	return earliest
}

func (p *pace) take() { p.tokens-- }

func (p *pace) refill(now time.Time) {
	if !p.refilled.IsZero() && now.After(p.refilled) {
		p.tokens = min(paceBurst, p.tokens+now.Sub(p.refilled).Seconds()*p.rate)
	}
	if now.After(p.refilled) {
		p.refilled = now
	}
}

func (p *pace) succeeded() { p.backoff = 0 }

func (p *pace) failed(now time.Time, problem *fault.Fault) {
	p.backoff = min(max(2*p.backoff, firstBackoff), p.longest)
	pause := p.backoff
	if problem.Kind == fault.RateLimited && problem.RetryAfter > 0 {
		pause = problem.RetryAfter
	}
	if until := now.Add(pause); until.After(p.paused) {
		p.paused = until
	}
}
