package proofs

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/faultboard"
	"github.com/fieldpond/fieldpond/standin/platform"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// slowPlatform delays every exchange with the platform.
var slowPlatform = faultboard.Fault{Kind: platform.FaultSlow, DurationMillis: lastingMillis, DelayMillis: 800}

// platformDown cuts every exchange with the platform.
var platformDown = lastingFault("", platform.FaultOutage)

// timeToFirstAnswer sends requests to a listening router until it answers, and
// returns the time until then. Every earlier outcome must be a not-ready refusal.
func timeToFirstAnswer(tb testing.TB, c *harness.Cluster, router, label string) time.Duration {
	tb.Helper()
	caller := c.NewCaller(harness.TenantA)
	began := time.Now()
	for number := 0; time.Since(began) < harness.WaitLimit; number++ {
		outcome := caller.Stream(tb.Context(), c.URL(router), harness.ModelRequest{Prompt: prompt(label, number), MaxTokens: 1})
		if outcome.Done {
			return time.Since(began)
		}
		requireNotReady(tb, outcome)
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatalf("%s never answered", router)
	return 0
}

func requireNotReady(tb testing.TB, outcome harness.Outcome) {
	tb.Helper()
	if outcome.Broken || outcome.Kind() != fault.NotReady || outcome.Ran() != fault.RanNo || outcome.RetryAfter == "" {
		tb.Errorf("broken %v, refusal %+v, Retry-After %q", outcome.Broken, outcome.Refusal, outcome.RetryAfter)
	}
}

// restart kills routers, starts them all at once, and returns the longest time
// from listening to the first answer.
func restart(tb testing.TB, c *harness.Cluster, label string, routers ...string) time.Duration {
	tb.Helper()
	for _, router := range routers {
		c.Kill(router)
	}
	for _, router := range routers {
		c.Launch(router)
	}
	var mutex sync.Mutex
	longest := time.Duration(0)
	concurrently(len(routers), func(number int) {
		c.AwaitUp(routers[number])
		took := timeToFirstAnswer(tb, c, routers[number], fmt.Sprint(label, number))
		mutex.Lock()
		defer mutex.Unlock()
		longest = max(longest, took)
	})
	return longest
}

// hitRate returns the share of cached prompt tokens among at most the last count
// long prompts that finished between two times.
func hitRate(records []truth.Record, from, until time.Time, count int) float64 {
	records = slices.SortedFunc(slices.Values(records), func(a, b truth.Record) int { return a.Time.Compare(b.Time) })
	cached, all := 0, 0
	for index := len(records) - 1; index >= 0 && count > 0; index-- {
		record := records[index]
		if record.Kind == truth.Finished && record.PromptTokens > 512 && record.Time.After(from) && record.Time.Before(until) {
			cached += record.CachedTokens
			all += record.PromptTokens
			count--
		}
	}
	return float64(cached) / float64(max(1, all))
}

// Restarted routers must serve at once, with the platform slow or down too, as long
// as one running router has the fleet file. If none has it and the platform is
// down, they must refuse with Retry-After and run nothing.
func TestRestartedRoutersServeAtOnce(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Config{Routers: 3})
	callers := startTraffic(t, c)
	callers.awaitAnswers(c, 60)
	cases := []struct {
		name     string
		platform *faultboard.Fault
		routers  []string
	}{
		{"one router", nil, c.Routers[:1]},
		{"one router, the platform slow", &slowPlatform, c.Routers[:1]},
		{"one router, the platform down", &platformDown, c.Routers[:1]},
		{"all at the same instant", nil, c.Routers},
		{"all at the same instant, the platform slow", &slowPlatform, c.Routers},
	}
	for number, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if test.platform != nil {
				c.Inject(harness.Platform, *test.platform)
			}
			before := hitRate(allTruth(c), time.Time{}, time.Now(), 60)
			began := time.Now()
			restart(t, c, fmt.Sprint("restart ", number), test.routers...)
			callers.awaitAnswers(c, 60)
			after := hitRate(allTruth(c), began, time.Now(), 1000)
			is.New(t).True(after >= before/2) // the routers use the engines' caches again
			c.ClearFaults(harness.Platform)
			for _, router := range c.Routers {
				timeToFirstAnswer(t, c, router, fmt.Sprint("again ", number)) // every router serves
			}
		})
	}
	callers.end()
	requireOnlyNotReadyRefusals(t, callers)
	t.Run("all at the same instant, the platform down", func(t *testing.T) { restartAllWithoutPlatform(t, c) })
}

// restartAllWithoutPlatform restarts every router with the platform down: no router
// has a fleet file, so the permitted places of a tenant are unknown.
func restartAllWithoutPlatform(t *testing.T, c *harness.Cluster) {
	c.Inject(harness.Platform, platformDown)
	for _, router := range c.Routers {
		c.Kill(router)
	}
	for _, router := range c.Routers {
		c.Launch(router)
	}
	starts := len(allTruth(c))
	caller := c.NewCaller(harness.TenantA)
	for _, router := range c.Routers {
		c.AwaitUp(router)
		for number := range 20 {
			requireNotReady(t, caller.Stream(t.Context(), c.URL(router), harness.ModelRequest{Prompt: prompt("herd", number), MaxTokens: 1}))
			requireNotReady(t, caller.Book(t.Context(), c.URL(router), fmt.Sprintf("herd-%d", number), "x"))
		}
	}
	is.New(t).Equal(len(allTruth(c)), starts) // none of it ran
	for _, outcome := range caller.History() {
		if outcome.Key != "" && executionsOf(c.AllExecutions(), outcome) > 0 {
			t.Errorf("%s was refused as not ready and ran", outcome.Key)
		}
	}
	c.ClearFaults(harness.Platform)
	for _, router := range c.Routers {
		timeToFirstAnswer(t, c, router, "platform is back")
	}
}

// requireOnlyNotReadyRefusals fails if a caller got any refusal but not-ready.
func requireOnlyNotReadyRefusals(t *testing.T, callers *traffic) {
	t.Helper()
	for _, caller := range callers.callers {
		for _, outcome := range caller.History() {
			if outcome.Refusal != nil {
				requireNotReady(t, outcome)
			}
		}
	}
}
