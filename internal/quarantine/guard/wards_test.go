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

// lookOf is what a look at a life finds.
type lookOf func(life ident.Incarnation) ProbeResult

func always(sign ProbeResult) lookOf { return func(ident.Incarnation) ProbeResult { return sign } }

// fakeBackends are engines e0 to e8, of which the last one is leaving, and no other.
type fakeBackends struct{}

// DrainingOrUnlisted implements Backends.
func (fakeBackends) DrainingOrUnlisted(life ident.Incarnation) bool {
	return life < "e0" || life > "e7"
}

// ObserveGone implements Backends.
func (fakeBackends) ObserveGone(time.Time, ident.Incarnation) {}

// wards are the quarantines of some routers before one store, in virtual time.
type wards struct {
	store *sharedRows
	table *fakeTable
	look  lookOf

	mu  sync.Mutex
	all []*Guard
	// deaf routers get no news.
	deaf map[int]bool
}

// newWards starts routers, of which the first keeps the rows.
func newWards(t *testing.T, routers int, look lookOf) *wards {
	t.Helper()
	store := newSharedRows()
	w := &wards{store: store, table: &fakeTable{rows: store}, look: look, deaf: map[int]bool{}}
	for range routers {
		w.start(t.Context())
	}
	return w
}

func (w *wards) start(ctx context.Context) *Guard {
	index := len(w.all)
	var g *Guard
	g = New(Config{
		Table: w.table, Timeout: time.Second, Backends: fakeBackends{}, MaintainsRows: func() bool { return index == 0 },
		Send: func(told []quarantine.Evidence) { w.send(index, g, told) },
	})
	w.mu.Lock()
	w.all = append(w.all, g)
	w.mu.Unlock()
	go g.Run(ctx)
	synctest.Wait()
	return g
}

// deafen has a router get news or not.
func (w *wards) deafen(router int, deaf bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf[router] = deaf
}

// send hands news of a router to the others, and later what these answer to it.
func (w *wards) send(from int, teller *Guard, told []quarantine.Evidence) {
	w.mu.Lock()
	all, deaf := w.all, maps.Clone(w.deaf)
	w.mu.Unlock()
	for other, receiver := range all {
		if other != from && !deaf[other] {
			lacks := receiver.Merge(time.Now(), told)
			time.AfterFunc(time.Millisecond, func() { teller.Merge(time.Now(), lacks) })
		}
	}
}

// place is a life of an engine.
func (w *wards) place(engine int) Target {
	life := ident.Incarnation(fmt.Sprint("e", engine))
	return Target{Incarnation: life, Probe: func(context.Context, time.Time) ProbeResult { return w.look(life) }}
}

func asked(body string) *quarantine.Subject {
	return &quarantine.Subject{Identity: quarantine.Identity{Body: []byte(body)}}
}

// crash has a router see attempts of a request break off at engines.
func (w *wards) crash(router int, body string, engines ...int) {
	for _, engine := range engines {
		w.all[router].ObserveBroken(time.Now(), asked(body), w.place(engine))
	}
	time.Sleep(200 * time.Millisecond)
}

// held returns how many routers hold a request.
func (w *wards) held(body string) int {
	count := 0
	for _, q := range w.all {
		if q.Check(time.Now(), asked(body)) != nil {
			count++
		}
	}
	return count
}
