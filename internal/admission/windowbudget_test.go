package admission_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
)

var window = admission.WindowConfig{Window: 10 * time.Second, Share: 0.2}

// slack is granted to every window of the tests.
const slack = 3

func TestOnlyTheSlackIsGrantedWithoutRequests(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	budget := admission.NewWindowBudget(window, start)
	for range 3 {
		is.True(budget.Allow(start, slack))
	}
	is.True(!budget.Allow(start, slack))
	is.True(!budget.Allow(start.Add(10*time.Second), slack))
	is.True(budget.Allow(start.Add(11*time.Second), slack))
}

// A fraction of a repeat is granted only together with requests.
func TestAFractionOfSlackIsNoRepeat(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	budget := admission.NewWindowBudget(window, start)
	is.True(!budget.Allow(start, 0.6))
	budget.RecordRequest(start)
	budget.RecordRequest(start)
	is.True(budget.Allow(start, 0.6))
	is.True(!budget.Allow(start, 0.6))
}

// Whatever the traffic, no sliding window holds more repeats than the share of
// its own requests, or of those of the window before, and the slack.
func TestEverySlidingWindowKeepsTheBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	budget := admission.NewWindowBudget(window, start)
	var requests, repeats []time.Time
	now := start
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		if now.Sub(start)/(15*time.Second)%3 == 1 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond) // quiet spells
		}
		budget.RecordRequest(now)
		requests = append(requests, now)
		for random.IntN(2) == 0 && budget.Allow(now, slack) {
			repeats = append(repeats, now)
		}
	}
	within := func(times []time.Time, from, to time.Time) int {
		after := func(limit time.Time) int {
			return sort.Search(len(times), func(index int) bool { return times[index].After(limit) })
		}
		return after(to) - after(from)
	}
	for _, end := range repeats {
		begin := end.Add(-window.Window)
		own := within(requests, begin, end)
		earlier := within(requests, begin.Add(-window.Window), begin)
		most := window.Share*float64(max(own, earlier)) + slack
		if count := within(repeats, begin, end); float64(count) > most {
			t.Fatalf("%d repeats in the window before %v, at most %g", count, end, most)
		}
	}
}

// Trials that are likely to need a repeat may use half of those that are granted.
func TestHalfOfTheRepeatsAreKeptFromTrials(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	budget := admission.NewWindowBudget(window, start)
	granted := 0
	for budget.SpareForTrials(start, 2*slack) {
		is.True(budget.Allow(start, 2*slack))
		granted++
	}
	is.Equal(granted, slack)
	for range slack {
		is.True(budget.Allow(start, 2*slack))
	}
	is.True(!budget.Allow(start, 2*slack))
	is.True(!admission.NewWindowBudget(window, start).SpareForTrials(start, 1))
}
