package admission_test

// The bound on retries counts the requests of the judged window, of the one before it or of the
// one half a window before it, whichever has most. Random bursts of requests and refusals at
// several routers must keep it in all sliding windows.

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
	// burstRatio and burstSlack bound the retries of all routers together.
	burstRatio = 0.2
	burstSlack = 20
	// stepsOfWindow is the number of steps in a window.
	stepsOfWindow = int(10 * time.Second / burstStep)
)

// traffic has the requests and retries of all routers in each step.
type traffic struct {
	requests, retries []int
}

// within returns the sum of the window that ends a number of steps earlier than end.
func within(counts []int, end, earlier int) (total int) {
	last := end - earlier
	for step := max(last-stepsOfWindow+1, 0); step <= last; step++ {
		total += counts[step]
	}
	return total
}

// worst returns the largest part of the bound that was used in a window.
func (m *traffic) worst() (worst float64) {
	for end := range m.retries {
		most := max(
			within(m.requests, end, 0), within(m.requests, end, stepsOfWindow/2), within(m.requests, end, stepsOfWindow),
		)
		used := float64(within(m.retries, end, 0)) / (burstRatio*float64(most) + burstSlack)
		worst = max(worst, used)
	}
	return worst
}

type fleet struct {
	traffic
	start   time.Time
	budgets []*admission.WindowBudget
}

func newFleet(routers int) *fleet {
	f := &fleet{start: time.Unix(1000, 0)}
	for range routers {
		f.budgets = append(f.budgets, admission.NewWindowBudget(restartWindow, f.start))
	}
	return f
}

// step gives each router requests, and while they are refused all retries that it is allowed.
func (f *fleet) step(refused bool, requests func(router int) int) {
	now := f.start.Add(time.Duration(len(f.retries)) * burstStep)
	arrived, retried := 0, 0
	for router, budget := range f.budgets {
		count := requests(router)
		for range count {
			budget.RecordRequest(now)
		}
		arrived += count
		for refused && budget.Allow(now, burstSlack/float64(len(f.budgets))) {
			retried++
		}
	}
	f.requests, f.retries = append(f.requests, arrived), append(f.retries, retried)
}

// The retries of two bursts nearly a window apart lie together in a window that ends after the
// second, in which only one burst counts.
func TestTwoBurstsStayWithinBound(t *testing.T) {
	for apart := 5; apart <= stepsOfWindow; apart += 5 {
		t.Run(fmt.Sprint(time.Duration(apart)*burstStep), func(t *testing.T) {
			f := newFleet(4)
			first := 2 * stepsOfWindow
			for step := range 4 * stepsOfWindow {
				f.step(step >= first+apart, func(int) int {
					if step == first || step == first+apart {
						return 250
					}
					return 0
				})
			}
			t.Logf("%.2f of the bound on retries", f.worst())
			is := is.New(t)
			is.True(f.worst() <= 1)
			is.True(f.worst() > 0.4)
		})
	}
}

// randomLoad is a random sequence of requests and refusals.
type randomLoad struct {
	*rand.Rand
	calm, burst       float64
	bursting, refused int
}

// next returns the mean number of requests of one router in a step, and whether they are
// refused.
func (d *randomLoad) next() (mean float64, refused bool) {
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

// poisson returns a number of arrivals.
func (d *randomLoad) poisson(mean float64) (count int) {
	for left := d.ExpFloat64(); left < mean; left += d.ExpFloat64() {
		count++
	}
	return count
}

func TestRandomArrivalsStayWithinBound(t *testing.T) {
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
				d := &randomLoad{Rand: rand.New(rand.NewPCG(seed, 7)), calm: tt.calm, burst: tt.burst}
				f := newFleet(tt.routers)
				for range 12 * stepsOfWindow {
					mean, refused := d.next()
					f.step(refused, func(int) int { return d.poisson(mean) })
				}
				worst = max(worst, f.worst())
			}
			t.Logf("%.2f of the bound on retries", worst)
			is := is.New(t)
			is.True(worst <= 1)
			is.True(worst > 0.5)
		})
	}
}
