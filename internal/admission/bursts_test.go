package admission_test

// The rule on repeats takes the requests of the window that is judged, of the one before it
// or of the one half a window before it, whichever has most. A router that grants a repeat
// knows neither which windows the repeat will be judged in nor what comes later in them.
// The model below draws bursts of requests and of refusals for several routers and judges
// all sliding windows by the rule.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
)

const (
	burstStep = 100 * time.Millisecond
	// burstRatio and burstSlack are what all routers together may repeat.
	burstRatio = 0.2
	burstSlack = 20
	// stepsOfWindow is the window in steps.
	stepsOfWindow = int(10 * time.Second / burstStep)
)

// traffic holds the requests and repeats of all routers in each step.
type traffic struct {
	requests, repeats []int
}

// within returns what lies in the window that ends with a step, so many steps earlier.
func within(counts []int, end, earlier int) (total int) {
	last := end - earlier
	for step := max(last-stepsOfWindow+1, 0); step <= last; step++ {
		total += counts[step]
	}
	return total
}

// worst returns the largest part of what the rule allows that was used in a window.
func (m *traffic) worst() (worst float64) {
	for end := range m.repeats {
		most := max(
			within(m.requests, end, 0), within(m.requests, end, stepsOfWindow/2), within(m.requests, end, stepsOfWindow),
		)
		used := float64(within(m.repeats, end, 0)) / (burstRatio*float64(most) + burstSlack)
		worst = max(worst, used)
	}
	return worst
}

// fleetOf is a number of routers with budgets.
type fleetOf struct {
	traffic
	start   time.Time
	budgets []*admission.WindowBudget
}

func newFleetOf(routers int) *fleetOf {
	f := &fleetOf{start: time.Unix(1000, 0)}
	for range routers {
		f.budgets = append(f.budgets, admission.NewWindowBudget(livesWindow, f.start))
	}
	return f
}

// step gives each router requests, and lets them repeat all that they may if engines refuse.
func (f *fleetOf) step(refused bool, requests func(router int) int) {
	now := f.start.Add(time.Duration(len(f.repeats)) * burstStep)
	arrived, repeated := 0, 0
	for router, budget := range f.budgets {
		count := requests(router)
		for range count {
			budget.RecordRequest(now)
		}
		arrived += count
		for refused && budget.Allow(now, burstSlack/float64(len(f.budgets))) {
			repeated++
		}
	}
	f.requests, f.repeats = append(f.requests, arrived), append(f.repeats, repeated)
}

// Two bursts of requests that lie nearly a window apart are in no window of the rule
// together, if the one that is judged ends a quarter of a window after the second.
func TestTwoBurstsEarnOneShare(t *testing.T) {
	for apart := 5; apart <= stepsOfWindow; apart += 5 {
		t.Run(fmt.Sprint(time.Duration(apart)*burstStep), func(t *testing.T) {
			f := newFleetOf(4)
			first := 2 * stepsOfWindow
			for step := range 4 * stepsOfWindow {
				f.step(step >= first+apart, func(int) int {
					if step == first || step == first+apart {
						return 250
					}
					return 0
				})
			}
			t.Logf("%.2f of what may be repeated", f.worst())
			is := is.New(t)
			is.True(f.worst() <= 1)
			is.True(f.worst() > 0.4)
		})
	}
}

// drawn is a random course of requests and refusals.
type drawn struct {
	*rand.Rand
	calm, burst       float64
	bursting, refused int
}

// next draws a step: the mean number of requests of one router, and whether they are refused.
func (d *drawn) next() (mean float64, refused bool) {
	d.bursting, d.refused = d.bursting-1, d.refused-1
	if d.bursting < -20 && d.IntN(50) == 0 {
		d.bursting = 1 + d.IntN(20)
	}
	if d.refused < -50 && d.IntN(50) == 0 {
		d.refused = 5 + d.IntN(100)
	}
	if d.bursting > 0 {
		return d.burst, d.refused > 0
	}
	return d.calm, d.refused > 0
}

// poisson draws a number of arrivals.
func (d *drawn) poisson(mean float64) (count int) {
	for left := d.ExpFloat64(); left < mean; left += d.ExpFloat64() {
		count++
	}
	return count
}

func TestRandomArrivalsKeepTheRule(t *testing.T) {
	tests := []struct {
		name        string
		routers     int
		calm, burst float64
	}{
		{"steady, few", 7, 0.5, 0.5},
		{"steady, many", 7, 10, 10},
		{"bursts of twice as many", 7, 5, 10},
		{"bursts of ten times as many", 7, 1, 10},
		{"bursts only", 7, 0, 30},
		{"two routers, bursts only", 2, 0, 50},
		{"thirty routers, bursts", 30, 0.2, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			worst := 0.0
			for seed := range uint64(8) {
				d := &drawn{Rand: rand.New(rand.NewPCG(seed, 7)), calm: tt.calm, burst: tt.burst}
				f := newFleetOf(tt.routers)
				for range 12 * stepsOfWindow {
					mean, refused := d.next()
					f.step(refused, func(int) int { return d.poisson(mean) })
				}
				worst = max(worst, f.worst())
			}
			t.Logf("%.2f of what may be repeated", worst)
			is := is.New(t)
			is.True(worst <= 1)
			is.True(worst > 0.5)
		})
	}
}
