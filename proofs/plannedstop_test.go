package proofs

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// usualGraceTokens makes a stream longer than the ten seconds that process
// supervisors usually wait before SIGKILL.
const usualGraceTokens = 900

// Guards against cut requests when routers are stopped and replaced one by one
// under load with streams longer than the usual grace period.
func TestPlannedStopOfRoutersCutsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, harness.Config{Routers: 3, Engines: 4, EngineArgs: []string{"--token-millis", "13"}})
	callers := []*harness.Caller{c.NewCaller(harness.TenantA), c.NewCaller(harness.TenantB)}
	var work sync.WaitGroup
	running := make(chan struct{}, len(c.Routers))
	for number, router := range c.RouterURLs() {
		req := longRequest(fmt.Sprintf("long %d", number), usualGraceTokens)
		var begun sync.Once
		req.OnText = func(int) { begun.Do(func() { running <- struct{}{} }) }
		work.Go(func() { requireComplete(t, req, callers[0].Stream(t.Context(), router, req)) })
	}
	for range c.Routers {
		<-running
	}
	load, endLoad := context.WithCancel(t.Context())
	for worker := range 6 {
		work.Go(func() { sendUntilCancelled(load, t, c, callers[worker%2], worker) })
	}
	for _, router := range c.Routers {
		is.Equal(c.Terminate(router), 0)
		c.Restart(router)
		c.AwaitServing(router)
	}
	endLoad()
	work.Wait()
	answered := requireNoneCut(t, callers...)
	is.True(answered > 100)
	requireAtMostOnce(t, c.AllExecutions(), callers...)
}

// sendUntilCancelled streams and books in turn until the load ends. It uses
// the routers in turn and skips one until its Retry-After has passed.
func sendUntilCancelled(load context.Context, t *testing.T, c *harness.Cluster, caller *harness.Caller, worker int) {
	routers := c.RouterURLs()
	retryAt := make([]time.Time, len(routers))
	for number := 0; load.Err() == nil; number++ {
		index := (worker + number) % len(routers)
		if time.Now().Before(retryAt[index]) {
			time.Sleep(time.Millisecond) // all routers may be waiting for their Retry-After
			continue
		}
		outcome := sendOnce(t, caller, routers[index], worker, number)
		if seconds, err := strconv.Atoi(outcome.RetryAfter); err == nil {
			retryAt[index] = time.Now().Add(time.Duration(seconds) * time.Second)
		}
	}
}

// sendOnce books if the number is even, and streams otherwise.
func sendOnce(t *testing.T, caller *harness.Caller, router string, worker, number int) harness.Outcome {
	if number%2 == 0 {
		return caller.Book(t.Context(), router, fmt.Sprintf("key-%d-%d", worker, number), "{}")
	}
	req := harness.ModelRequest{Prompt: prompt(fmt.Sprintf("worker %d", worker), number), MaxTokens: 12}
	outcome := caller.Stream(t.Context(), router, req)
	requireValidStream(t, req, outcome)
	return outcome
}

// requireNoneCut fails for every request that was cut, or ended with an error and
// may have run; it returns the number of complete answers.
func requireNoneCut(t *testing.T, callers ...*harness.Caller) (answered int) {
	t.Helper()
	for _, caller := range callers {
		for _, outcome := range caller.History() {
			switch {
			case outcome.Answered():
				answered++
			case outcome.Unsent:
			case outcome.Broken:
				t.Errorf("a request to %s was cut: key %q, %d bytes of text", outcome.Router, outcome.Key, len(outcome.Text))
			case outcome.Ran() != fault.RanNo:
				t.Errorf("a request to %s ended with %s, ran %s", outcome.Router, outcome.Kind(), outcome.Ran())
			}
		}
	}
	return answered
}

// Guards against cut requests when an engine and an application with running work
// are stopped: they must finish it, and new work must go elsewhere.
func TestPlannedStopOfBackendsCutsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, harness.Config{ApplicationArgs: []string{"--execute-millis", "300"}})
	caller := c.NewCaller(harness.TenantA)
	var work sync.WaitGroup
	begun := make(chan struct{}, 9)
	for number := range 9 {
		req := longRequest(fmt.Sprintf("long %d", number), 200)
		var once sync.Once
		req.OnText = func(int) { once.Do(func() { begun <- struct{}{} }) }
		work.Go(func() { requireComplete(t, req, caller.Stream(t.Context(), c.RouterURLs()[number%2], req)) })
	}
	for range 9 {
		<-begun
	}
	stopping := c.Engines[0]
	for _, name := range c.Engines {
		if unfinishedGenerations(c.Truth(name)) > unfinishedGenerations(c.Truth(stopping)) {
			stopping = name
		}
	}
	is.True(unfinishedGenerations(c.Truth(stopping)) > 0)
	load, endLoad := context.WithCancel(t.Context())
	for worker := range 4 {
		work.Go(func() { sendUntilCancelled(load, t, c, caller, worker) })
	}
	var codes [2]int
	concurrently(2, func(number int) { codes[number] = c.Terminate([]string{stopping, c.Applications[0]}[number]) })
	endLoad()
	work.Wait()
	is.Equal(codes, [2]int{0, 0})
	is.True(requireNoneCut(t, caller) > 20)
	ends := map[truth.Kind]int{}
	for _, record := range c.Truth(stopping) {
		ends[record.Kind]++
	}
	is.Equal(ends[truth.Finished], ends[truth.Started])
	is.Equal(ends[truth.Lost]+ends[truth.Cancelled], 0)
	requireAtMostOnce(t, c.AllExecutions(), caller)
}
