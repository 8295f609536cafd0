package admission_test

// When routers are stopped or cut off, their clients move to others, and the requests of one
// window earn retries twice: before the move at the old routers, after it at the new ones. Both
// together must stay within the bound of all routers.

import (
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
)

// A fleet of movedRouters with a ratio of 0.2, of which 0.8 is used, and a slack divided by one
// router more.
const (
	movedRouters  = 7
	movedRatio    = 0.2
	movedSlack    = 54
	movedPart     = float64(movedSlack) / (movedRouters + 1)
	movedPause    = 16 * time.Millisecond // between two requests of the fleet
	movedRetries  = 3                     // retries of one request, as forward.maxSends allows
	movedRefusals = 60 * time.Second      // when engines begin to refuse two thirds of the attempts
)

var movedWindow = admission.WindowConfig{Window: 10 * time.Second, Share: 0.8 * movedRatio, GrowthShare: 0.2 * movedRatio}

// times are the times of events, in order.
type times []time.Time

// in returns how many lie after from and not after to.
func (t times) in(from, to time.Time) (count int) {
	for _, at := range t {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

func TestMovedClientsStayWithinBound(t *testing.T) {
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
			requests, retries := movedTraffic(start, tt.left, tt.after)
			worst, at := worstAbove(requests, retries)
			t.Logf("at most %.1f retries above the bound, %v after refusals began", worst, at.Sub(start.Add(movedRefusals)))
			if worst > 0 {
				t.Errorf("%.1f retries above the bound of all routers", worst)
			}
		})
	}
}

// movedTraffic simulates the fleet: refusals begin after movedRefusals, and some time later
// only the left routers serve all clients. It returns the requests and the retries.
func movedTraffic(start time.Time, left int, after time.Duration) (requests, retries times) {
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
		for range retriesOf(number, budget, now) {
			retries = append(retries, now)
		}
	}
	return requests, retries
}

// retriesOf returns the number of retries of a request.
func retriesOf(number int, budget *admission.WindowBudget, now time.Time) int {
	for retried := range movedRetries {
		if (number*7+retried*5)%9 >= 6 || !budget.Allow(now, movedPart) {
			return retried
		}
	}
	return movedRetries
}

// worstAbove returns by how much retries exceed the bound in the worst window, and when that
// ends. Of the window, the one before it and the one half a window before it the one with most
// requests counts.
func worstAbove(requests, retries times) (worst float64, at time.Time) {
	for _, end := range retries {
		begin := end.Add(-movedWindow.Window)
		half := movedWindow.Window / 2
		most := max(requests.in(begin, end), requests.in(begin.Add(-half), end.Add(-half)), requests.in(begin.Add(-2*half), begin))
		above := float64(retries.in(begin, end)) - movedRatio*float64(most) - movedSlack
		if at.IsZero() || above > worst {
			worst, at = above, end
		}
	}
	return worst, at
}
