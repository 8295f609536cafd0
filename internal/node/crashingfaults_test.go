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

// clientLoad counts what became of the requests of some clients.
type clientLoad struct {
	asked, served, quarantined atomic.Int64
}

// share returns the part of the requests that were served.
func (c *clientLoad) share() float64 {
	return float64(c.served.Load()) / float64(max(c.asked.Load(), 1))
}

// run has clients ask until ctx ends, each as often as it is answered; what breaks off is tried
// once more. body names a request; the requests of the first seconds are not counted.
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
				c.asked.Add(1)
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

// Two requests under which engines crash come to all routers at once, again and again; what
// runs beside them is served, and is not taken for one of them.
func TestOtherRequestsAreServedDuringCrashes(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	ctx, cancel := context.WithCancel(t.Context())
	others := &clientLoad{}
	loops := others.run(ctx, f, 24, time.Now().Add(3*time.Second), func(client, count int) string {
		return fmt.Sprint("innocent ", client, " ", count)
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
	t.Logf("%d innocent requests after 3 s, %.3f served; %d held", others.asked.Load(), others.share(), others.quarantined.Load())
	if others.share() < 0.97 || others.quarantined.Load() > 0 {
		t.Error("innocent requests were not served")
	}
}

// Engines crash for reasons of their own, a third of them at once, while all clients ask for
// the same: a request that is often asked runs on each engine that crashes.
func TestFrequentRequestIsNotQuarantined(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 15, 4)
	f.work = 2 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
	defer cancel()
	hot := &clientLoad{}
	loops := hot.run(ctx, f, 48, time.Now(), func(int, int) string { return "hot" })
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
	t.Logf("%d requests, %.3f served; %d held; %d crashes", hot.asked.Load(), hot.share(), hot.quarantined.Load(), f.allCrashes)
	if hot.share() < 0.95 || hot.quarantined.Load() > 0 {
		t.Error("a request that is often asked was held for guilty")
	}
}

// What was learnt outlives all routers.
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

// A router that joins later knows what the others learnt.
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

// The request comes to all routers at the same moment, again and again.
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

// Routers tell each other while the store is down, for reads and for their own rows.
func TestCrashingRequestIsBoundedWithoutStore(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	f.store.change(func() { f.store.down = true })
	f.table.down.Store(true)
	f.resend(crashBody, crashPropagation+time.Second)
	f.checkBound(crashBody)
	is.New(t).Equal(f.store.rowsUnder(guard.RowPrefix), 0) // nothing could be kept
}

// Attempts that break off at engines which live on are no evidence, however many they are.
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

// Clients leave before the engine crashes, which goes on with what was given up: no attempt of
// the request breaks off. Other requests that run there do.
func TestCrashingRequestIsBoundedWhenClientsDisconnect(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	f.ignoresCancel, f.clientTimeout = true, crashAfter/2
	ctx, cancel := context.WithCancel(t.Context())
	others := &clientLoad{}
	loops := others.run(ctx, f, 24, time.Now().Add(3*time.Second), func(client, count int) string {
		return fmt.Sprint("innocent ", client, " ", count)
	})
	f.resend(crashBody, crashPropagation+2*time.Second)
	cancel()
	loops.Wait()
	f.checkBound(crashBody)
	t.Logf("%d innocent requests after 3 s, %.3f served; %d held", others.asked.Load(), others.share(), others.quarantined.Load())
	if others.share() < 0.97 || others.quarantined.Load() > 0 {
		t.Error("innocent requests were not served")
	}
}
