package proofs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/application"
	"github.com/fieldpond/fieldpond/standin/faultboard"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// Two tenants use the same keys and bodies, with late and reordered answers and
// callers that disconnect and retry: each must get its own answer.
func TestSameKeyOfTwoTenants(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, harness.Config{})
	for _, name := range c.Applications {
		c.Inject(name, faultboard.Fault{Kind: application.FaultSlow, DurationMillis: lastingMillis, DelayMillis: 250, Probability: 0.5})
	}
	callers := []*harness.Caller{c.NewCaller(harness.TenantA), c.NewCaller(harness.TenantB)}
	const keys = 12
	concurrently(2*keys, func(number int) {
		caller, key := callers[number%2], fmt.Sprintf("key-%d", number/2)
		if number%3 == 0 {
			shortCtx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
			caller.Book(shortCtx, c.RouterURLs()[0], key, "{}")
			cancel()
		}
		is.True(bookUntilAnswered(t.Context(), caller, c.RouterURLs(), key, "{}", bookingAttempts).Answered())
	})
	executions := c.AllExecutions()
	is.Equal(len(executions), 2*keys) // one for each tenant's key
	requireAtMostOnce(t, executions, callers...)
	// The same key with another body is refused and not run.
	reused := callers[0].Book(t.Context(), c.RouterURLs()[1], "key-0", `{"other": 1}`)
	is.Equal(reused.Kind(), fault.KeyReused)
	is.Equal(reused.Ran(), fault.RanNo)
	is.Equal(len(c.AllExecutions()), 2*keys)
}

// Two tenants send the same prompts at once while connections break: a generation
// for, or a cache entry of, the other tenant is a failure.
func TestSamePromptOfTwoTenants(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Config{Relayed: true})
	for _, name := range c.Engines[:2] {
		c.Relay(name).Arm(harness.Cut{
			Match: "POST /v1/generate", Direction: harness.ToRouter, After: 4000, Action: harness.Reset, Times: 3,
		})
	}
	callers := []*harness.Caller{c.NewCaller(harness.TenantA), c.NewCaller(harness.TenantB)}
	concurrently(16, func(number int) {
		req := harness.ModelRequest{Prompt: prompt("same", number/2), MaxTokens: streamTokens}
		send := callers[number%2].Stream
		if number >= 8 {
			send = callers[number%2].Complete
		}
		requireComplete(t, req, send(t.Context(), c.RouterURLs()[number/2%2], req))
	})
	owner := map[ident.Request]ident.Tenant{}
	for _, caller := range callers {
		for _, outcome := range caller.History() {
			owner[outcome.RequestID] = caller.Tenant
		}
	}
	is := is.New(t)
	is.Equal(len(owner), 16)
	for _, record := range allTruth(c) {
		if record.Kind != truth.Started {
			continue
		}
		is.Equal(record.Tenant, owner[record.RequestID])
		for _, reused := range record.Reused {
			is.Equal(reused.Tenant, record.Tenant)
		}
	}
}

// Guards against late output of an engine that was frozen during its streams,
// given up and resumed: it must not reach any caller.
func TestLateAnswersOfFrozenEngineAreDiscarded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, harness.Config{Engines: 2})
	caller := c.NewCaller(harness.TenantA)
	var once sync.Once
	frozen := ""
	began := time.Now()
	concurrently(4, func(number int) {
		req := longRequest(fmt.Sprintf("frozen %d", number), 100)
		req.OnText = func(bytes int) {
			if bytes > 60 {
				once.Do(func() { frozen = freezeBusy(c) })
			}
		}
		requireComplete(t, req, caller.Stream(t.Context(), c.RouterURLs()[number%2], req))
	})
	is.True(frozen != "")
	t.Logf("every answer was complete %s after the start", time.Since(began).Round(time.Second))
	c.Resume(frozen)
	concurrently(8, func(number int) {
		req := harness.ModelRequest{Prompt: prompt("after", number), MaxTokens: streamTokens}
		requireComplete(t, req, caller.Stream(t.Context(), c.RouterURLs()[number%2], req))
	})
}

// freezeBusy freezes an engine with a running generation and returns its name, or "".
func freezeBusy(c *harness.Cluster) string {
	for _, name := range c.Engines {
		if unfinishedGenerations(c.Truth(name)) > 0 {
			c.Freeze(name)
			return name
		}
	}
	return ""
}
