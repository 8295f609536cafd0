package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// drive runs a back end that serves room attempts at once in 100 ms each and
// queues the rest, kept as full as the limiter allows, and returns the largest
// limit of the last rounds; a limit lowered for probing is not it.
func drive(limiter Limiter, room int, outcome SampleOutcome) int {
	now, largest := start, 0
	for round := range 2000 {
		limit := limiter.Limit(now)
		if round > 1950 {
			largest = max(largest, limit)
		}
		for range limit {
			now = now.Add(100 * time.Millisecond / time.Duration(min(limit, room)))
			limiter.Started(now)
		}
		queued := time.Duration(max(0, limit-room)) * 100 * time.Millisecond / time.Duration(room)
		for range limit {
			limiter.Finished(now, Sample{TimeToFirstToken: 20*time.Millisecond + queued, ServiceTime: 100*time.Millisecond + queued, Outcome: outcome})
		}
	}
	return largest
}

func TestLimitersFindTheRoom(t *testing.T) {
	bounds := LimitBounds{Minimum: 2, Maximum: 64}
	limiters := map[string]func() Limiter{
		"fixed":    func() Limiter { return NewFixedLimiter(8) },
		"gradient": func() Limiter { return NewGradientLimiter(bounds) },
		"rate":     func() Limiter { return NewRateTimesService(bounds) },
	}
	cases := []struct {
		limiter     string
		room        int
		outcome     SampleOutcome
		least, most int
	}{
		{"fixed", 16, SampleServed, 8, 8},
		{"gradient", 16, SampleServed, 16, 24},
		{"gradient", 4, SampleServed, 4, 10},
		{"gradient", 16, SampleRefused, 2, 2},
		{"gradient", 16, SampleIgnored, 8, 8},
		{"rate", 16, SampleServed, 16, 24},
		{"rate", 4, SampleServed, 4, 10},
		{"rate", 16, SampleRefused, 2, 2},
		{"rate", 16, SampleIgnored, 8, 8},
	}
	for _, test := range cases {
		t.Run(fmt.Sprint(test.limiter, test.room, test.outcome), func(t *testing.T) {
			limit := drive(limiters[test.limiter](), test.room, test.outcome)
			t.Logf("limit %d", limit)
			is.New(t).True(limit >= test.least && limit <= test.most)
		})
	}
}

func TestRetriesAreAShareOfSuccesses(t *testing.T) {
	cases := []struct {
		name                string
		successes, failures int
		second              time.Duration
		allowed             int
	}{
		{"just restarted, everything fails", 0, 1000, 0, 1},
		{"only the minimum", 0, 1000, time.Second, 3},
		{"a tenth of the successes", 105, 1000, 0, 11},
		{"the burst bounds what is saved", 100000, 1000, 0, 20},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			budget, allowed := NewRetryBudget(RetryConfig{}), 0
			budget.RecordSuccess(start)
			for range test.successes {
				budget.RecordSuccess(start)
			}
			for range test.failures {
				if budget.Allow(start.Add(test.second)) {
					allowed++
				}
			}
			is.New(t).Equal(allowed, test.allowed)
		})
	}
}

func TestTenantRate(t *testing.T) {
	is := is.New(t)
	is.Equal(NewTenantRate(0).Admit(start, "any"), nil)
	limited := NewTenantRate(2)
	is.Equal(limited.Admit(start, "1"), nil)
	is.Equal(limited.Admit(start, "2"), nil)
	problem := limited.Admit(start, "3")
	is.Equal(problem.Kind, fault.RateLimited)
	is.True(problem.RetryAfter >= 500*time.Millisecond)
	is.Equal(limited.Admit(start.Add(500*time.Millisecond), "3"), nil)
}

func TestRetryAfterIsBoundedAndSpread(t *testing.T) {
	is := is.New(t)
	seen := map[time.Duration]bool{}
	for index := range 100 {
		id := ident.Request(fmt.Sprint(index))
		after := EstimateRetryAfter(2*time.Second, id)
		is.Equal(after, EstimateRetryAfter(2*time.Second, id)) // the same at every router
		is.True(after >= 2*time.Second && after < 3*time.Second)
		seen[after] = true
	}
	is.True(len(seen) > 90)
	is.True(EstimateRetryAfter(0, "x") >= minRetryAfter)
	is.True(EstimateRetryAfter(24*time.Hour, "x") <= maxRetryAfter)
}
