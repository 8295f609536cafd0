package proofs

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/claim"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/application"
	"github.com/fieldpond/fieldpond/standin/faultboard"
	"github.com/fieldpond/fieldpond/standin/platform"
)

// shortClaimTimeouts makes routers give up a claim before a slow table commits it.
const shortClaimTimeouts = `
table:
  timeout: 300ms
  claimTimeout: 600ms
`

// slowTableDelay is far beyond both timeouts.
const slowTableDelay = 1500 * time.Millisecond

// bookingAttempts bounds the attempts of a retrying caller.
const bookingAttempts = 40

// Guards against a second execution while both tenants send the same keys to both
// routers at once and retry, the table loses and delays answers, and the
// applications refuse, delay, or cut the connection before or after running.
func TestBookingsRunAtMostOnceUnderConcurrentRetries(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Config{RouterSettings: shortClaimTimeouts})
	table := func(kind string, probability float64, delay int64) faultboard.Fault {
		return faultboard.Fault{Service: platform.ServiceTable, Kind: kind, DurationMillis: lastingMillis, Probability: probability, DelayMillis: delay}
	}
	c.Inject(harness.Platform, table(platform.FaultLoseAnswer, 0.25, 0))
	c.Inject(harness.Platform, table(platform.FaultSlow, 0.2, 700))
	for _, name := range c.Applications {
		for kind, probability := range map[string]float64{
			application.FaultRefuseFull: 0.25, application.FaultRunThenCut: 0.1, application.FaultCutBefore: 0.1, application.FaultSlow: 0.3,
		} {
			c.Inject(name, faultboard.Fault{Kind: kind, DurationMillis: lastingMillis, Probability: probability, DelayMillis: 120})
		}
	}
	const keys, sendersPerKey = 20, 4
	callers := []*harness.Caller{c.NewCaller(harness.TenantA), c.NewCaller(harness.TenantB)}
	routers := c.RouterURLs()
	concurrently(keys*sendersPerKey, func(number int) {
		key := fmt.Sprintf("key-%d", number/sendersPerKey)
		caller := callers[number%2]
		order := slices.Clone(routers)
		if number%sendersPerKey < 2 {
			slices.Reverse(order)
		}
		bookUntilAnswered(t.Context(), caller, order, key, "{}", 8)
	})
	c.ClearFaults(harness.Platform)
	for _, name := range c.Applications {
		c.ClearFaults(name)
	}
	requireNotRunRetriesSucceed(t, c, callers...)
	c.Await("every execution has ended", c.Idle)
	executions := c.AllExecutions()
	requireAtMostOnce(t, executions, callers...)
	is.New(t).True(len(executions) > keys) // of 2*keys pairs of tenant and key
}

// requireNotRunRetriesSucceed retries each key of which every attempt was
// reported not run: the retry must get an answer.
func requireNotRunRetriesSucceed(t *testing.T, c *harness.Cluster, callers ...*harness.Caller) {
	t.Helper()
	for _, caller := range callers {
		open := map[string]bool{}
		for _, outcome := range caller.History() {
			open[outcome.Key] = open[outcome.Key] || outcome.Ran() != fault.RanNo
		}
		for key, isOpen := range open {
			if isOpen {
				continue
			}
			if last := bookUntilAnswered(t.Context(), caller, c.RouterURLs(), key, "{}", bookingAttempts); !last.Answered() {
				t.Errorf("%s was never run, and its retry got %+v", key, last.Refusal)
			}
		}
	}
}

// Guards against a second execution, and against a key that can never run, after
// table faults during its claim.
func TestBookingUnderTableFaults(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Config{RouterSettings: shortClaimTimeouts})
	cases := []struct {
		name  string
		fault faultboard.Fault
	}{
		{"answers lost after the commit", faultboard.Fault{Kind: platform.FaultLoseAnswer}},
		{"slow beyond every limit, committing later", faultboard.Fault{Kind: platform.FaultSlow, DelayMillis: slowTableDelay.Milliseconds()}},
		{"down", faultboard.Fault{Kind: platform.FaultOutage}},
		{"over its rate limit", faultboard.Fault{Kind: platform.FaultRate}},
	}
	for number, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.fault.Service, test.fault.DurationMillis = platform.ServiceTable, lastingMillis
			c.Inject(harness.Platform, test.fault)
			caller := c.NewCaller(harness.TenantA)
			key := fmt.Sprintf("key-%d", number)
			routers := c.RouterURLs()
			concurrently(4, func(sender int) { caller.Book(t.Context(), routers[sender%2], key, "{}") })
			for _, outcome := range caller.History() {
				is.True(!outcome.Broken)
				is.True(outcome.Answered() || outcome.RetryAfter != "") // answered, or refused with Retry-After
			}
			c.ClearFaults(harness.Platform)
			is.True(bookUntilAnswered(t.Context(), caller, routers, key, "{}", bookingAttempts).Answered())
			requireAtMostOnce(t, c.AllExecutions(), caller)
		})
	}
	// Wait until delayed writes can no longer take effect in the table.
	time.Sleep(slowTableDelay)
	lateCaller := c.NewCaller(harness.TenantA)
	for number := range cases {
		is.New(t).True(lateCaller.Book(t.Context(), c.RouterURLs()[number%2], fmt.Sprintf("key-%d", number), "{}").Replayed)
	}
	requireAtMostOnce(t, c.AllExecutions(), lateCaller)
}

// claimWhileFrozen sends a booking to a router and freezes the router so that the
// table commits the claim before any dispatch. It returns the key and a channel
// that receives the outcome of the request, which is still open.
func claimWhileFrozen(t *testing.T, c *harness.Cluster, caller *harness.Caller, router string) (key string, ended <-chan harness.Outcome) {
	t.Helper()
	for try := 1; try <= 5; try++ {
		key := fmt.Sprintf("frozen-%d", try)
		row := claim.RowKey(claim.Key{Tenant: caller.Tenant, Service: harness.Bookings, IdempotencyKey: key})
		delay := time.Duration(try) * time.Second
		c.Inject(harness.Platform, faultboard.Fault{
			Service: platform.ServiceTable, Kind: platform.FaultSlow, OnlyWrites: true,
			DurationMillis: lastingMillis, DelayMillis: delay.Milliseconds(),
		})
		done := make(chan harness.Outcome, 1)
		go func() { done <- caller.Book(t.Context(), c.URL(router), key, "{}") }()
		time.Sleep(delay / 2)
		c.Freeze(router)
		early := written(c, row)
		c.ClearFaults(harness.Platform)
		for limit := time.Now().Add(2 * delay); !early && time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
			if written(c, row) {
				return key, done
			}
		}
		c.Resume(router) // frozen too early or too late: retry with a longer delay
		<-done
	}
	t.Fatal("no claim took effect while its router was frozen")
	return "", nil
}

// written reports whether the table committed a write of the row.
func written(c *harness.Cluster, row string) bool {
	for _, commit := range c.History() {
		for _, write := range commit.Writes {
			if write.Key == row {
				return true
			}
		}
	}
	return false
}

// longClaimTimeouts makes routers wait for a slow table.
const longClaimTimeouts = `
table:
  timeout: 10s
  claimTimeout: 10s
`

// A holder killed between claim and dispatch leaves a key that is never run: no
// caller may get "not run", since another router cannot prove that.
func TestHolderKilledBeforeDispatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, harness.Config{RouterSettings: longClaimTimeouts})
	caller := c.NewCaller(harness.TenantA)
	key, ended := claimWhileFrozen(t, c, caller, c.Routers[0])
	c.Kill(c.Routers[0])
	is.True((<-ended).Broken)
	for range 3 {
		outcome := caller.Book(t.Context(), c.URL(c.Routers[1]), key, "{}")
		is.Equal(outcome.Ran(), fault.RanUnknown) // never "not run": the router cannot prove it
		is.Equal(outcome.Kind(), fault.AlreadyClaimed)
	}
	c.Restart(c.Routers[0])
	c.AwaitServing(c.Routers[0])
	is.Equal(caller.Book(t.Context(), c.URL(c.Routers[0]), key, "{}").Ran(), fault.RanUnknown)
	executions := c.AllExecutions()
	is.Equal(executionsOf(executions, harness.Outcome{Tenant: caller.Tenant, Key: key}), 0)
	requireAtMostOnce(t, executions, caller)
}

// Guards against a second execution when a holder that was frozen with its claim
// beyond every timeout resumes.
func TestFrozenHolderResumesAfterTimeouts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, harness.Config{RouterSettings: "\ntable:\n  timeout: 3s\n  claimTimeout: 3s\n"})
	caller := c.NewCaller(harness.TenantA)
	key, ended := claimWhileFrozen(t, c, caller, c.Routers[0])
	other := c.URL(c.Routers[1])
	concurrently(3, func(int) { caller.Book(t.Context(), other, key, "{}") })
	time.Sleep(3500 * time.Millisecond) // beyond the claim's timeout; there is no condition to await
	is.Equal(caller.Book(t.Context(), other, key, "{}").Ran(), fault.RanUnknown)
	c.Resume(c.Routers[0])
	first := <-ended
	last := bookUntilAnswered(t.Context(), caller, []string{other, c.URL(c.Routers[0])}, key, "{}", bookingAttempts)
	t.Logf("the frozen request got ran %q (%s), the last one answered %v", first.Ran(), first.Kind(), last.Answered())
	executions := c.AllExecutions()
	requireAtMostOnce(t, executions, caller)
	// A retry may run after "not run"; otherwise it gets the first answer.
	is.True(last.Answered())
	is.Equal(executionsOf(executions, last), 1)
}

// Guards against a second execution after a holder was killed or frozen after its
// dispatch.
func TestHolderLostAfterDispatch(t *testing.T) {
	t.Parallel()
	for _, lost := range []string{"killed", "frozen"} {
		t.Run(lost, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := harness.Start(t, harness.Config{ApplicationArgs: []string{"--execute-millis", "1500"}})
			caller := c.NewCaller(harness.TenantA)
			ended := make(chan harness.Outcome, 1)
			go func() { ended <- caller.Book(t.Context(), c.URL(c.Routers[0]), "key", "{}") }()
			c.Await("the booking runs", func() bool { return len(c.AllExecutions()) == 1 })
			other := c.URL(c.Routers[1])
			if lost == "killed" {
				c.Kill(c.Routers[0])
				is.True((<-ended).Broken)
				is.Equal(caller.Book(t.Context(), other, "key", "{}").Ran(), fault.RanUnknown)
				c.Restart(c.Routers[0])
				c.AwaitServing(c.Routers[0])
				is.Equal(caller.Book(t.Context(), c.URL(c.Routers[0]), "key", "{}").Ran(), fault.RanUnknown)
			} else {
				c.Freeze(c.Routers[0])
				concurrently(3, func(int) { is.Equal(caller.Book(t.Context(), other, "key", "{}").Ran(), fault.RanUnknown) })
				c.Resume(c.Routers[0])
				is.True((<-ended).Answered())
				// The outcome is recorded: the other router gives the same answer.
				last := bookUntilAnswered(t.Context(), caller, []string{other}, "key", "{}", bookingAttempts)
				is.True(last.Answered() && last.Replayed)
			}
			executions := c.AllExecutions()
			is.Equal(len(executions), 1)
			requireAtMostOnce(t, executions, caller)
		})
	}
}

// Guards against a second execution when every router is killed at once under
// bookings and restarts while the store is down, and callers retry.
func TestSimultaneousRouterRestartDuringStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := harness.Start(t, harness.Config{Routers: 3, RouterSettings: shortClaimTimeouts, ApplicationArgs: []string{"--execute-millis", "400"}})
	caller := c.NewCaller(harness.TenantA)
	const keys = 12
	name := func(number int) string { return fmt.Sprintf("key-%d", number) }
	routers := c.RouterURLs()
	var first sync.WaitGroup
	first.Go(func() {
		concurrently(keys, func(number int) { caller.Book(t.Context(), routers[number%3], name(number), "{}") })
	})
	c.Await("bookings run", func() bool { return len(c.AllExecutions()) >= keys/2 })
	c.Inject(harness.Platform, lastingFault(faultboard.AllServices, platform.FaultOutage))
	for _, router := range c.Routers {
		c.Kill(router)
	}
	first.Wait()
	for _, router := range c.Routers {
		c.Launch(router)
	}
	for _, router := range c.Routers {
		c.AwaitUp(router)
	}
	concurrently(keys, func(number int) {
		outcome := caller.Book(t.Context(), routers[(number+1)%3], name(number), "{}")
		if outcome.Answered() || outcome.Broken || outcome.RetryAfter == "" {
			t.Errorf("with the store down a booking got %+v", outcome.Refusal)
		}
	})
	c.ClearFaults(harness.Platform)
	c.AwaitServing(c.Routers...)
	executed := map[string]bool{}
	concurrently(keys, func(number int) { bookUntilAnswered(t.Context(), caller, routers, name(number), "{}", 6) })
	c.Await("every execution has ended", c.Idle)
	executions := c.AllExecutions()
	for _, execution := range executions {
		executed[execution.IdempotencyKey] = true
	}
	is.True(len(executions) >= keys/2)
	requireAtMostOnce(t, executions, caller)
	// A key that was claimed but never run must not be reported as run.
	for _, outcome := range caller.History() {
		is.True(executed[outcome.Key] || outcome.Ran() != fault.RanYes)
	}
}
