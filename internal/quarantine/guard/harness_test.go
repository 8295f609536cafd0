package guard

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// probeFunc is what a look at a life finds.
type probeFunc func(life ident.Incarnation) Sign

func always(result Sign) probeFunc { return func(ident.Incarnation) Sign { return result } }

// fakeBackends are engines e0 to e8, of which the last one is leaving, and no other.
type fakeBackends struct{}

// Leaving implements Backends.
func (fakeBackends) Leaving(life ident.Incarnation) bool { return life < "e0" || life > "e7" }

// SawGone implements Backends.
func (fakeBackends) SawGone(time.Time, ident.Incarnation) {}

// harness are the quarantines of some routers before one store, in virtual time.
type harness struct {
	store *sharedRows
	table *fakeTable
	probe probeFunc

	mu  sync.Mutex
	all []*Guard
	// isolated routers get no news.
	isolated map[int]bool
}

// newHarness starts routers, of which the first keeps the rows.
func newHarness(t *testing.T, routers int, look probeFunc) *harness {
	t.Helper()
	store := newSharedRows()
	w := &harness{store: store, table: &fakeTable{rows: store}, probe: look, isolated: map[int]bool{}}
	for range routers {
		w.start(t.Context())
	}
	return w
}

func (w *harness) start(ctx context.Context) *Guard {
	index := len(w.all)
	var g *Guard
	g = New(Config{
		Table: w.table, Timeout: time.Second, Backends: fakeBackends{}, Keeps: func() bool { return index == 0 },
		Send: func(told []quarantine.Told) { w.send(index, g, told) },
	})
	w.mu.Lock()
	w.all = append(w.all, g)
	w.mu.Unlock()
	go g.Run(ctx)
	synctest.Wait()
	return g
}

// setIsolated has a router get news or not.
func (w *harness) setIsolated(router int, deaf bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolated[router] = deaf
}

// send hands news of a router to the others, and later what these answer to it.
func (w *harness) send(from int, sender *Guard, evidence []quarantine.Told) {
	w.mu.Lock()
	all, isolated := w.all, maps.Clone(w.isolated)
	w.mu.Unlock()
	for other, receiver := range all {
		if other != from && !isolated[other] {
			missing := receiver.Take(time.Now(), evidence)
			time.AfterFunc(time.Millisecond, func() { sender.Take(time.Now(), missing) })
		}
	}
}

// target is a life of an engine.
func (w *harness) target(engine int) Place {
	incarnation := ident.Incarnation(fmt.Sprint("e", engine))
	return Place{Life: incarnation, Look: func(context.Context, time.Time) Sign { return w.probe(incarnation) }}
}

func subject(body string) *quarantine.Subject {
	return &quarantine.Subject{Identity: quarantine.Identity{Body: []byte(body)}}
}

// crash has a router see attempts of a request break off at engines.
func (w *harness) crash(router int, body string, engines ...int) {
	for _, engine := range engines {
		w.all[router].Broke(time.Now(), subject(body), w.target(engine))
	}
	time.Sleep(200 * time.Millisecond)
}

// quarantinedAt returns how many routers hold a request.
func (w *harness) quarantinedAt(body string) int {
	count := 0
	for _, q := range w.all {
		if q.Judge(time.Now(), subject(body)) != nil {
			count++
		}
	}
	return count
}
