package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
)

// clientLoad counts the requests of some clients by result.
type clientLoad struct {
	requests, served, quarantined atomic.Int64
}

// share returns the share of requests that were served.
func (c *clientLoad) share() float64 {
	return float64(c.served.Load()) / float64(max(c.requests.Load(), 1))
}

// run starts clients that send requests one after the other until ctx ends, and retry each
// once. body returns the body of a request; those before countFrom are not counted.
func (c *clientLoad) run(ctx context.Context, f *crashFleet, clients int, countFrom time.Time, body func(client, count int) string) *sync.WaitGroup {
	var clientLoops sync.WaitGroup
	for client := range clients {
		clientLoops.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				requested := body(client, count)
				sink := f.send(client+count, requested)
				if sink.aborted || sink.refusal != nil {
					c.countQuarantined(sink)
					sink = f.send(client+count+1, requested)
				}
				c.countQuarantined(sink)
				if time.Now().Before(countFrom) || ctx.Err() != nil {
					continue
				}
				c.requests.Add(1)
				if sink.status == 200 && !sink.aborted {
					c.served.Add(1)
				}
			}
		})
	}
	return &clientLoops
}

func (c *clientLoad) countQuarantined(sink *testSink) {
	if sink.refusal != nil && sink.refusal.Kind == fault.Quarantined {
		c.quarantined.Add(1)
	}
}

// While two requests make engines crash, others that run beside them are served and not
// quarantined.
func TestOtherRequestsAreServedDuringCrashes(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	ctx, cancel := context.WithCancel(t.Context())
	others := &clientLoad{}
	loops := others.run(ctx, f, 24, time.Now().Add(3*time.Second), func(client, count int) string {
		return fmt.Sprint("other ", client, " ", count)
	})
	var crashing sync.WaitGroup
	for _, body := range []string{crashBody + " a", crashBody + " b"} {
		for range 4 {
			crashing.Go(func() { f.resend(body, crashPropagation+3*time.Second) })
		}
	}
	crashing.Wait()
	cancel()
	loops.Wait()
	f.checkBound(crashBody + " a")
	f.checkBound(crashBody + " b")
	t.Logf("%d other requests after 3 s, %.3f served; %d quarantined", others.requests.Load(), others.share(), others.quarantined.Load())
	if others.share() < 0.97 || others.quarantined.Load() > 0 {
		t.Error("other requests were not served")
	}
}

// A frequent request runs on each engine that crashes for other reasons, a third of them at
// once, and is not quarantined for that.
func TestFrequentRequestIsNotQuarantined(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 15, 4)
	f.work = 2 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
	defer cancel()
	frequent := &clientLoad{}
	loops := frequent.run(ctx, f, 48, time.Now(), func(int, int) string { return "frequent" })
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(1200 * time.Millisecond)
		for index := range 5 {
			f.mu.Lock()
			engine := f.engines[fmt.Sprintf("10.0.0.%d:1", (5*round+index)%15+1)]
			f.mu.Unlock()
			f.crash(engine)
		}
	}
	loops.Wait()
	t.Logf("%d requests, %.3f served; %d quarantined; %d crashes", frequent.requests.Load(), frequent.share(), frequent.quarantined.Load(), f.allCrashes)
	if frequent.share() < 0.95 || frequent.quarantined.Load() > 0 {
		t.Error("a frequent request was quarantined or not served")
	}
}

// A quarantine survives the restart of all routers.
func TestQuarantineSurvivesRestartOfAllRouters(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	f.resend(crashBody, time.Second)
	f.stopRouters()
	restarted := time.Now()
	for index := range 3 {
		f.startRouter(ident.Node(fmt.Sprint("next", index)))
	}
	f.resend(crashBody, time.Since(f.thirdCrash(crashBody))+3*time.Second)
	is.New(t).Equal(f.arrivedAfter(crashBody, restarted), 0)
}

// A router that joins later receives the quarantined requests.
func TestNewRouterKnowsQuarantine(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 3)
	f.resend(crashBody, 500*time.Millisecond)
	f.startRouter("late")
	joined := time.Now()
	for range 10 {
		f.send(3, crashBody)
	}
	is.New(t).Equal(f.arrivedAfter(crashBody, joined), 0)
}

// The request is sent to all routers at the same time, repeatedly.
func TestConcurrentCrashingRequestIsBounded(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 24, 4)
	for begun := time.Now(); time.Since(begun) < crashPropagation+2*time.Second; time.Sleep(retryPause) {
		var sending sync.WaitGroup
		for router := range 4 {
			sending.Go(func() { f.send(router, crashBody) })
		}
		sending.Wait()
	}
	f.checkBound(crashBody)
}

// Routers exchange evidence while the store is down.
func TestCrashingRequestIsBoundedWithoutStore(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	f.store.change(func() { f.store.down = true })
	f.table.down.Store(true)
	f.resend(crashBody, crashPropagation+time.Second)
	f.checkBound(crashBody)
	is.New(t).Equal(f.store.rowsUnder(guard.RowPrefix), 0) // nothing could be stored
}

// Attempts that break off at engines that keep running are no evidence of a crash.
func TestBrokenAttemptsDoNotQuarantine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newCrashFleet(t, 8, 2)
	f.breaksAttempts = true
	for try := range 20 {
		sink := f.send(try, "cut off")
		is.True(sink.refusal == nil || sink.refusal.Kind != fault.Quarantined)
	}
}

// If clients disconnect before the engine crashes, which continues the request, only attempts
// of other requests break off.
func TestCrashingRequestIsBoundedWhenClientsDisconnect(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	f.ignoresCancel, f.clientTimeout = true, crashAfter/2
	ctx, cancel := context.WithCancel(t.Context())
	others := &clientLoad{}
	loops := others.run(ctx, f, 24, time.Now().Add(3*time.Second), func(client, count int) string {
		return fmt.Sprint("other ", client, " ", count)
	})
	f.resend(crashBody, crashPropagation+2*time.Second)
	cancel()
	loops.Wait()
	f.checkBound(crashBody)
	t.Logf("%d other requests after 3 s, %.3f served; %d quarantined", others.requests.Load(), others.share(), others.quarantined.Load())
	if others.share() < 0.97 || others.quarantined.Load() > 0 {
		t.Error("other requests were not served")
	}
}
