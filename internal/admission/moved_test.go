package admission_test

// The bound of all routers holds for the requests of all routers together, in one window.
// Each router earns its share by the requests of a window of its own, which ends at its last
// repeat. When clients go from some routers to others, because those are killed, cut off or
// told to stop, the requests of one window earn twice: those of before the move at the
// routers that lost their clients, and those of after it at the routers that took them.

import (
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
)

// movedFleet is seven routers with the constants of the platform's adapter: a ratio of 0.2,
// of which 0.8 is used, and a slack of 54 that eight parts are made of.
const (
	movedRouters  = 7
	movedRatio    = 0.2
	movedSlack    = 54
	movedPart     = float64(movedSlack) / (movedRouters + 1)
	movedPause    = 16 * time.Millisecond // 62.5 requests a second in all
	movedTries    = 3                     // repeats of one request, as forward.maxSends allows
	movedRefusals = 60 * time.Second      // when two thirds of the sendings begin to be refused
)

var movedWindow = admission.WindowConfig{Window: 10 * time.Second, Share: 0.8 * movedRatio, GrowthShare: 0.2 * movedRatio}

// times are those of events, in order.
type times []time.Time

// in returns how many lie after one time and not after another.
func (t times) in(from, to time.Time) (count int) {
	for _, at := range t {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

func TestRequestsThatMoveToOtherRoutersEarnOnce(t *testing.T) {
	tests := []struct {
		name string
		// left routers serve all clients from some time after the refusals begin.
		left  int
		after time.Duration
	}{
		{"nobody is killed", 7, time.Hour},
		{"one is killed", 6, 2 * time.Second},
		{"two are killed", 5, 2 * time.Second},
		{"four are killed and stay away", 3, 2500 * time.Millisecond},
		{"four are killed later", 3, 5 * time.Second},
		{"all but one are killed", 1, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			requests, repeats := movedTraffic(start, tt.left, tt.after)
			worst, at := worstAbove(requests, repeats)
			t.Logf("at most %.1f repeats above the bound, %v after refusals began", worst, at.Sub(start.Add(movedRefusals)))
			if worst > 0 {
				t.Errorf("%.1f repeats above the bound of all routers", worst)
			}
		})
	}
}

// movedTraffic plays the fleet. Refusals begin after a minute; some time later only the left
// routers serve all clients. It returns the requests and the repeats.
func movedTraffic(start time.Time, left int, after time.Duration) (requests, repeats times) {
	var budgets [movedRouters]*admission.WindowBudget
	for index := range budgets {
		budgets[index] = admission.NewWindowBudget(movedWindow, start)
	}
	number := 0
	for now := start; now.Before(start.Add(90 * time.Second)); now = now.Add(movedPause) {
		number++
		up := movedRouters
		if now.Sub(start) >= movedRefusals+after {
			up = left
		}
		budget := budgets[number%up]
		budget.RecordRequest(now)
		requests = append(requests, now)
		if now.Sub(start) < movedRefusals {
			continue
		}
		for range repeatsOf(number, budget, now) {
			repeats = append(repeats, now)
		}
	}
	return requests, repeats
}

// repeatsOf returns how often a request is repeated, of which engines shed two thirds.
func repeatsOf(number int, budget *admission.WindowBudget, now time.Time) int {
	for try := range movedTries {
		if (number*7+try*5)%9 >= 6 || !budget.Allow(now, movedPart) {
			return try
		}
	}
	return movedTries
}

// worstAbove returns by how much repeats are above the bound in the worst window, and when
// that ends: the most requests count of the window, of the one before it and of the one half
// a window before it.
func worstAbove(requests, repeats times) (worst float64, at time.Time) {
	for _, end := range repeats {
		begin := end.Add(-movedWindow.Window)
		half := movedWindow.Window / 2
		most := max(requests.in(begin, end), requests.in(begin.Add(-half), end.Add(-half)), requests.in(begin.Add(-2*half), begin))
		above := float64(repeats.in(begin, end)) - movedRatio*float64(most) - movedSlack
		if at.IsZero() || above > worst {
			worst, at = above, end
		}
	}
	return worst, at
}
