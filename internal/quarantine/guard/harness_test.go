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

// probeFunc is the result of probing an incarnation.
type probeFunc func(incarnation ident.Incarnation) ProbeResult

func always(result ProbeResult) probeFunc {
	return func(ident.Incarnation) ProbeResult { return result }
}

// fakeBackends are engines e0 to e8 and no others; e8 is draining.
type fakeBackends struct{}

// DrainingOrUnlisted implements Backends.
func (fakeBackends) DrainingOrUnlisted(incarnation ident.Incarnation) bool {
	return incarnation < "e0" || incarnation > "e7"
}

// ObserveGone implements Backends.
func (fakeBackends) ObserveGone(time.Time, ident.Incarnation) {}

// harness runs the guards of some routers with one store, in virtual time.
type harness struct {
	store *sharedRows
	table *fakeTable
	probe probeFunc

	mu  sync.Mutex
	all []*Guard
	// isolated routers receive no updates.
	isolated map[int]bool
}

// newHarness starts routers, of which the first maintains the rows.
func newHarness(t *testing.T, routers int, probe probeFunc) *harness {
	t.Helper()
	store := newSharedRows()
	w := &harness{store: store, table: &fakeTable{rows: store}, probe: probe, isolated: map[int]bool{}}
	for range routers {
		w.start(t.Context())
	}
	return w
}

func (w *harness) start(ctx context.Context) *Guard {
	index := len(w.all)
	var g *Guard
	g = New(Config{
		Table: w.table, Timeout: time.Second, Backends: fakeBackends{}, MaintainsRows: func() bool { return index == 0 },
		Send: func(evidence []quarantine.Evidence) { w.send(index, g, evidence) },
	})
	w.mu.Lock()
	w.all = append(w.all, g)
	w.mu.Unlock()
	go g.Run(ctx)
	synctest.Wait()
	return g
}

// setIsolated sets whether a router receives updates.
func (w *harness) setIsolated(router int, isolated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolated[router] = isolated
}

// send delivers an update to the other routers, and later their replies.
func (w *harness) send(from int, sender *Guard, evidence []quarantine.Evidence) {
	w.mu.Lock()
	all, isolated := w.all, maps.Clone(w.isolated)
	w.mu.Unlock()
	for other, receiver := range all {
		if other != from && !isolated[other] {
			missing := receiver.Merge(time.Now(), evidence)
			time.AfterFunc(time.Millisecond, func() { sender.Merge(time.Now(), missing) })
		}
	}
}

func (w *harness) target(engine int) Target {
	incarnation := ident.Incarnation(fmt.Sprint("e", engine))
	return Target{Incarnation: incarnation, Probe: func(context.Context, time.Time) ProbeResult { return w.probe(incarnation) }}
}

func subject(body string) *quarantine.Subject {
	return &quarantine.Subject{Identity: quarantine.Identity{Body: []byte(body)}}
}

// crash has attempts of a request at a router break off at engines.
func (w *harness) crash(router int, body string, engines ...int) {
	for _, engine := range engines {
		w.all[router].ObserveBroken(time.Now(), subject(body), w.target(engine))
	}
	time.Sleep(200 * time.Millisecond)
}

// quarantinedAt returns the number of routers that quarantine a request.
func (w *harness) quarantinedAt(body string) int {
	count := 0
	for _, q := range w.all {
		if q.Check(time.Now(), subject(body)) != nil {
			count++
		}
	}
	return count
}

// acquireTrial requests a trial of a quarantined request at a router.
func (w *harness) acquireTrial(router int, body string) bool {
	return w.all[router].AcquireTrial(context.Background(), w.all[router].Check(time.Now(), subject(body)))
}
