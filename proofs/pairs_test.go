package proofs

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/engine"
	"github.com/fieldpond/fieldpond/standin/faultplan"
)

// Guards against incomplete answers, and against use of cache entries of another
// incarnation or tenant, when engines lose and delay cache events and crash under
// traffic with shared prefixes.
func TestEngineCrashWithAnEventGap(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, harness.Config{EngineArgs: []string{"--event-loss", "0.5", "--event-delay", "600ms", "--token-millis", "4"}})
	callers := []*harness.Caller{c.NewCaller(harness.TenantA), c.NewCaller(harness.TenantB)}
	const rounds, perRound = 5, 8
	for round := range rounds {
		concurrently(perRound, func(number int) {
			if number == 0 {
				c.Inject(c.Engines[round%len(c.Engines)], engine.FaultRequest{
					Kind: faultplan.Crash, Duration: faultplan.Duration(150 * time.Millisecond),
				})
			}
			req := harness.ModelRequest{Prompt: prompt("hot prefix", 1) + fmt.Sprintf("%d %d", round, number), MaxTokens: streamTokens}
			requireComplete(t, req, callers[number%2].StreamWithRetries(t.Context(), c.RouterURLs(), req, 5))
		})
		for _, name := range c.Engines {
			c.AwaitUp(name)
		}
	}
	incarnations, reused := map[ident.Incarnation]bool{}, 0
	for _, record := range allTruth(c) {
		incarnations[record.Incarnation] = true
		for _, used := range record.Reused {
			reused++
			is.Equal(used.Incarnation, record.Incarnation)
			is.Equal(used.Tenant, record.Tenant)
		}
	}
	is.Equal(len(incarnations), len(c.Engines)+rounds) // the crashes took place
	is.True(reused > 0)                                // and the cache was used
}
