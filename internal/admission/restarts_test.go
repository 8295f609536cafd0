package admission_test

// A restarted router must not earn retries again for requests whose retries its last process
// has already sent in the same window.

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
)

// restartWindow leaves a fifth of a ratio of 0.2 to requests that are new to a router.
var restartWindow = admission.WindowConfig{Window: 10 * time.Second, Share: 0.16, GrowthShare: 0.04}

// Every request is retried, and the router is restarted again and again.
func TestRestartedRouterStaysWithinBound(t *testing.T) {
	tests := []struct {
		name   string
		uptime time.Duration
	}{
		{"it is not killed", time.Hour},
		{"killed during refusals", 15 * time.Second},
		{"killed during later refusals", 35 * time.Second},
		{"killed once a window", 10 * time.Second},
		{"killed twice a window", 5 * time.Second},
		{"killed each second", time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const pause = 20 * time.Millisecond
			start := time.Unix(1000, 0)
			startedAt := start
			budget := admission.NewWindowBudget(restartWindow, startedAt)
			var retries []time.Time
			// Refusals come in bursts, after times without retries.
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(pause) {
				if now.Sub(startedAt) >= tt.uptime {
					startedAt = now
					budget = admission.NewWindowBudget(restartWindow, startedAt)
				}
				budget.RecordRequest(now)
				bursts := now.Sub(start)%(20*time.Second) >= 12*time.Second
				for bursts && budget.Allow(now, 0) {
					retries = append(retries, now)
				}
			}
			largest := largestInWindow(retries)
			requests := int(restartWindow.Window / pause)
			is.True(largest > 0)
			is.True(largest <= requests/5)
		})
	}
}

// largestInWindow returns the largest number of retries in a window.
func largestInWindow(retries []time.Time) (most int) {
	for first := range retries {
		count := 0
		for _, at := range retries[first:] {
			if at.Sub(retries[first]) < restartWindow.Window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func TestNewRouterRetriesLess(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	budget := admission.NewWindowBudget(restartWindow, start)
	const pause = 10 * time.Millisecond
	now := start
	// granted returns the retries granted at a time, after steady requests up to it.
	granted := func(after time.Duration) (count int) {
		for ; now.Sub(start) <= after; now = now.Add(pause) {
			budget.RecordRequest(now)
		}
		for budget.Allow(start.Add(after), 0) {
			count++
		}
		return count
	}
	is.Equal(granted(pause), 0)
	is.Equal(granted(3*time.Second-pause), 12)
	is.Equal(granted(4*time.Second-pause), 16-12)
	first := granted(10*time.Second - pause)
	is.True(first > 0)
	is.True(first <= 40-16)
	// The usual share applies after another window, since the previous window had fewer
	// requests.
	is.True(granted(10*time.Second+400*time.Millisecond) <= 10)
	second := granted(20 * time.Second)
	is.True(second > 160/2)
	is.True(second <= 160)
}
