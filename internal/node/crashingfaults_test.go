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

// callers counts what became of the requests of some clients.
type callers struct {
	asked, served, held atomic.Int64
}

// share returns the part of the requests that were served.
func (c *callers) share() float64 { return float64(c.served.Load()) / float64(max(c.asked.Load(), 1)) }

// ask has clients ask until ctx ends, each as often as it is answered; what breaks off is tried
// once more. body names a request; the requests of the first seconds are not counted.
func (c *callers) ask(ctx context.Context, f *crashFleet, clients int, countFrom time.Time, body func(client, count int) string) *sync.WaitGroup {
	var asking sync.WaitGroup
	for client := range clients {
		asking.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				asked := body(client, count)
				sink := f.ask(client+count, asked)
				if sink.aborted || sink.refusal != nil {
					c.note(sink)
					sink = f.ask(client+count+1, asked)
				}
				c.note(sink)
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
	return &asking
}

func (c *callers) note(sink *crashSink) {
	if sink.refusal != nil && sink.refusal.Kind == fault.Quarantined {
		c.held.Add(1)
	}
}

// Two requests under which engines crash come to all routers at once, again and again; what
// runs beside them is served, and is not taken for one of them.
func TestInnocentRequestsBesideAreServed(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	ctx, cancel := context.WithCancel(t.Context())
	innocent := &callers{}
	asking := innocent.ask(ctx, f, 24, time.Now().Add(3*time.Second), func(client, count int) string {
		return fmt.Sprint("innocent ", client, " ", count)
	})
	var guilty sync.WaitGroup
	for _, body := range []string{crashBody + " a", crashBody + " b"} {
		for range 4 {
			guilty.Go(func() { f.repeatCrash(body, crashLearnt+3*time.Second) })
		}
	}
	guilty.Wait()
	cancel()
	asking.Wait()
	f.bounded(crashBody + " a")
	f.bounded(crashBody + " b")
	t.Logf("%d innocent requests after 3 s, %.3f served; %d held", innocent.asked.Load(), innocent.share(), innocent.held.Load())
	if innocent.share() < 0.97 || innocent.held.Load() > 0 {
		t.Error("innocent requests were not served")
	}
}

// Engines crash for reasons of their own, a third of them at once, while all clients ask for
// the same: a request that is often asked runs on each engine that crashes.
func TestAnOftenAskedRequestStaysServed(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 15, 4)
	f.work = 2 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
	defer cancel()
	hot := &callers{}
	asking := hot.ask(ctx, f, 48, time.Now(), func(int, int) string { return "hot" })
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(1200 * time.Millisecond)
		for index := range 5 {
			f.mu.Lock()
			engine := f.engines[fmt.Sprintf("10.0.0.%d:1", (5*round+index)%15+1)]
			f.mu.Unlock()
			f.crash(engine)
		}
	}
	asking.Wait()
	t.Logf("%d requests, %.3f served; %d held; %d crashes", hot.asked.Load(), hot.share(), hot.held.Load(), f.ended)
	if hot.share() < 0.95 || hot.held.Load() > 0 {
		t.Error("a request that is often asked was held for guilty")
	}
}

// What was learnt outlives all routers.
func TestAVerdictOutlivesAllRouters(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	f.repeatCrash(crashBody, time.Second)
	f.stopRouters()
	restarted := time.Now()
	for index := range 3 {
		f.startRouter(ident.Node(fmt.Sprint("next", index)))
	}
	f.repeatCrash(crashBody, time.Since(f.crashed(crashBody))+3*time.Second)
	is.New(t).Equal(f.arrivedAfter(crashBody, restarted), 0)
}

// A router that joins later knows what the others learnt.
func TestARouterThatJoinsKnowsTheVerdict(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 3)
	f.repeatCrash(crashBody, 500*time.Millisecond)
	f.startRouter("late")
	joined := time.Now()
	for range 10 {
		f.ask(3, crashBody)
	}
	is.New(t).Equal(f.arrivedAfter(crashBody, joined), 0)
}

// The request comes to all routers at the same moment, again and again.
func TestTheBoundHoldsWhenARequestComesToAllRoutersAtOnce(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 24, 4)
	for begun := time.Now(); time.Since(begun) < crashLearnt+2*time.Second; time.Sleep(crashPause) {
		var asking sync.WaitGroup
		for router := range 4 {
			asking.Go(func() { f.ask(router, crashBody) })
		}
		asking.Wait()
	}
	f.bounded(crashBody)
}

// Routers tell each other while the store is down, for reads and for their own rows.
func TestTheBoundHoldsWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	f.store.change(func() { f.store.down = true })
	f.table.down.Store(true)
	f.repeatCrash(crashBody, crashLearnt+time.Second)
	f.bounded(crashBody)
	is.New(t).Equal(f.store.rowsUnder(guard.RowPrefix), 0) // nothing could be kept
}

// Attempts that break off at engines which live on are no evidence, however many they are.
func TestBrokenAttemptsAreNoCrashes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newCrashFleet(t, 8, 2)
	f.breaks = true
	for try := range 20 {
		sink := f.ask(try, "cut off")
		is.True(sink.refusal == nil || sink.refusal.Kind != fault.Quarantined)
	}
}

// Clients leave before the engine crashes, which goes on with what was given up: no attempt of
// the request breaks off. Other requests that run there do.
func TestTheBoundHoldsWhenClientsLeave(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 16, 4)
	f.stubborn, f.patience = true, crashAfter/2
	ctx, cancel := context.WithCancel(t.Context())
	innocent := &callers{}
	asking := innocent.ask(ctx, f, 24, time.Now().Add(3*time.Second), func(client, count int) string {
		return fmt.Sprint("innocent ", client, " ", count)
	})
	f.repeatCrash(crashBody, crashLearnt+2*time.Second)
	cancel()
	asking.Wait()
	f.bounded(crashBody)
	t.Logf("%d innocent requests after 3 s, %.3f served; %d held", innocent.asked.Load(), innocent.share(), innocent.held.Load())
	if innocent.share() < 0.97 || innocent.held.Load() > 0 {
		t.Error("innocent requests were not served")
	}
}
