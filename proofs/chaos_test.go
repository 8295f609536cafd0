package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/application"
	"github.com/fieldpond/fieldpond/standin/faultboard"
	"github.com/fieldpond/fieldpond/standin/platform"
)

// chaosRounds is the number of disruptions; their seed is fixed.
const (
	chaosRounds = 12
	chaosSeed   = 20
)

// disruptRouters restarts or freezes a random router in each round, and waits at
// the end until every router serves.
func disruptRouters(c *harness.Cluster, random *rand.Rand) {
	for range chaosRounds {
		router := c.Routers[random.IntN(len(c.Routers))]
		pause := time.Duration(100+random.IntN(500)) * time.Millisecond
		if random.IntN(2) == 0 {
			c.Kill(router)
			time.Sleep(pause / 4)
			c.Launch(router)
		} else {
			c.Freeze(router)
			time.Sleep(pause)
			c.Resume(router)
		}
		time.Sleep(pause / 2)
	}
	c.AwaitServing(c.Routers...)
}

// Guards against a second execution and false "not run" reports under combined
// faults: routers killed and frozen, the table slow, losing answers and down, and
// applications that refuse, cut, or run without an answer.
func TestBookingsUnderCombinedFaults(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Config{Routers: 3, RouterSettings: shortClaimTimeouts})
	for _, name := range c.Applications {
		for kind, probability := range map[string]float64{
			application.FaultRefuseFull: 0.15, application.FaultRunThenCut: 0.1, application.FaultCutBefore: 0.1, application.FaultSlow: 0.5,
		} {
			c.Inject(name, faultboard.Fault{Kind: kind, DurationMillis: lastingMillis, Probability: probability, DelayMillis: 200})
		}
	}
	for kind, probability := range map[string]float64{platform.FaultLoseAnswer: 0.2, platform.FaultSlow: 0.2, platform.FaultOutage: 0.1} {
		c.Inject(harness.Platform, faultboard.Fault{
			Service: platform.ServiceTable, Kind: kind, DurationMillis: lastingMillis, Probability: probability, DelayMillis: 500,
		})
	}
	callers := []*harness.Caller{c.NewCaller(harness.TenantA), c.NewCaller(harness.TenantB)}
	load, endLoad := context.WithCancel(t.Context())
	var work sync.WaitGroup
	for worker := range 16 {
		work.Go(func() {
			// Workers share their keys and start at different routers.
			for number := 0; load.Err() == nil; number++ {
				key := fmt.Sprintf("key-%d-%d", worker/4, number)
				routers := c.RouterURLs()
				first := (worker + number) % len(routers)
				bookUntilAnswered(t.Context(), callers[worker%2], append(routers[first:], routers[:first]...), key, "{}", 5)
			}
		})
	}
	disruptRouters(c, rand.New(rand.NewPCG(chaosSeed, 1)))
	endLoad()
	work.Wait()
	c.ClearFaults(harness.Platform)
	for _, name := range c.Applications {
		c.ClearFaults(name)
	}
	requireNotRunRetriesSucceed(t, c, callers...)
	c.Await("every execution has ended", c.Idle)
	executions := c.AllExecutions()
	requireAtMostOnce(t, executions, callers...)
	t.Logf("%d executions", len(executions))
	is.New(t).True(len(executions) > 20)
}

// Guards against corrupt streams under combined faults: routers killed and frozen,
// engines crashing and losing events, connections cut and chunks sent twice.
func TestStreamsUnderCombinedFaults(t *testing.T) {
	t.Parallel()
	plan := filepath.Join(t.TempDir(), "faults.yaml")
	is := is.New(t)
	is.NoErr(os.WriteFile(plan, crashPlan(20, 700*time.Millisecond), 0o600))
	c := harness.Start(t, harness.Config{Routers: 3, Relayed: true, EngineArgs: []string{"--event-loss", "0.3", "--faults", plan}})
	for number, name := range c.Engines {
		c.Relay(name).Arm(harness.Cut{
			Match: "POST /v1/generate", Direction: harness.ToRouter, After: 3000 + 2000*number, Action: harness.Reset, Times: 10,
		})
	}
	caller := c.NewCaller(harness.TenantA)
	load, endLoad := context.WithCancel(t.Context())
	var work sync.WaitGroup
	var mutex sync.Mutex
	complete, all := 0, 0
	for worker := range 9 {
		work.Go(func() {
			for number := 0; load.Err() == nil; number++ {
				req := harness.ModelRequest{Prompt: prompt(fmt.Sprintf("worker %d", worker), number), MaxTokens: streamTokens}
				routers := c.RouterURLs()
				first := (worker + number) % len(routers)
				outcome := caller.StreamWithRetries(t.Context(), append(routers[first:], routers[:first]...), req, 8)
				requireValidStream(t, req, outcome)
				mutex.Lock()
				all++
				if outcome.Done {
					complete++
				}
				mutex.Unlock()
			}
		})
	}
	disruptRouters(c, rand.New(rand.NewPCG(chaosSeed, 2)))
	endLoad()
	work.Wait()
	t.Logf("%d of %d answers were complete, the others ended with an error", complete, all)
	is.True(complete > all/2)
}

// crashPlan returns a fault plan in which every engine sends its chunks twice and
// the three engines crash in turn, each restarting with an empty cache.
func crashPlan(crashes int, every time.Duration) []byte {
	plan := "faults:\n  - {at: 0s, target: \"engine-*\", kind: duplicate_chunks}\n"
	for number := 1; number <= crashes; number++ {
		at := time.Duration(number) * every
		plan += fmt.Sprintf("  - {at: %s, duration: 200ms, target: engine-%d, kind: crash}\n", at, number%3+1)
	}
	return []byte(plan)
}
