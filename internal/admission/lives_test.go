package admission_test

// Users saw repeats beyond the bound of all routers where some were killed while engines
// turned many requests away. A life of a router had sent the repeats that the requests of
// its last window earned; the next life, which knew nothing of them, earned repeats anew by
// its own requests, within the same ten seconds. In the play that showed it four of seven
// routers were killed two and a half seconds after refusals began, and 201 repeats lay in a
// window that allowed 200.8; without the kill it never broke.

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
)

// livesWindow leaves a fifth of a ratio of 0.2 to requests that are new to a router.
var livesWindow = admission.WindowConfig{Window: 10 * time.Second, Share: 0.16, GrowthShare: 0.04}

// Every request asks for a repeat, and the router is killed again and again.
func TestLivesOfARouterHaveOneShare(t *testing.T) {
	tests := []struct {
		name  string
		lives time.Duration
	}{
		{"it is not killed", time.Hour},
		{"killed amid refusals", 15 * time.Second},
		{"killed amid later refusals", 35 * time.Second},
		{"killed once a window", 10 * time.Second},
		{"killed twice a window", 5 * time.Second},
		{"killed each second", time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const pause = 20 * time.Millisecond
			start := time.Unix(1000, 0)
			begun := start
			budget := admission.NewWindowBudget(livesWindow, begun)
			var repeats []time.Time
			// Refusals come in bursts, after times in which nothing is repeated.
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(pause) {
				if now.Sub(begun) >= tt.lives {
					begun = now
					budget = admission.NewWindowBudget(livesWindow, begun)
				}
				budget.RecordRequest(now)
				bursts := now.Sub(start)%(20*time.Second) >= 12*time.Second
				for bursts && budget.Allow(now, 0) {
					repeats = append(repeats, now)
				}
			}
			most := mostInWindow(repeats)
			requests := int(livesWindow.Window / pause)
			is.True(most > 0)
			is.True(most <= requests/5)
		})
	}
}

// mostInWindow returns the most repeats that lie in one window.
func mostInWindow(repeats []time.Time) (most int) {
	for first := range repeats {
		count := 0
		for _, at := range repeats[first:] {
			if at.Sub(repeats[first]) < livesWindow.Window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func TestARouterThatHasJustStartedRepeatsLess(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	budget := admission.NewWindowBudget(livesWindow, start)
	const pause = 10 * time.Millisecond
	now := start
	// granted returns the repeats that are granted at a time, after steady requests up to it.
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
	// The usual share holds after another window: until then there were fewer requests in
	// the window before.
	is.True(granted(10*time.Second+400*time.Millisecond) <= 10)
	second := granted(20 * time.Second)
	is.True(second > 160/2)
	is.True(second <= 160)
}
