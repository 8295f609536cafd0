package rollout_test

// An order of weights can do to engines what a request can: each engine that loads them crashes,
// is back with the weights that it had, and is ordered again. Nothing tied the ends of engines to
// the version that they were loading, so that a third of the engines was away for as long as the
// version was named.

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

const (
	crashesAfter = 300 * time.Millisecond
	backAfter    = 2 * time.Second
)

// life is one life of an engine of a crashing fleet.
type life struct {
	version  int
	sequence uint64
	// loads is the version that it loads, 0 for none, until doneAt.
	loads  int
	doneAt time.Duration
	// downUntil is when the next life begins, 0 while it runs.
	downUntil time.Duration
	number    int
}

// crashingFleet models engines that crash while they load some versions.
type crashingFleet struct {
	places []*life
	lives  int
	// crashes reports whether an engine crashes that loads a version at a time.
	crashes func(version int, at time.Duration) bool
	// ended is the number of lives that crashed, away that of the places that were longest
	// away at the same time.
	ended, away int
}

func newCrashingFleet(count int, crashes func(int, time.Duration) bool) *crashingFleet {
	f := &crashingFleet{crashes: crashes}
	for range count {
		f.places = append(f.places, &life{version: 1, number: f.next()})
	}
	return f
}

func (f *crashingFleet) next() int {
	f.lives++
	return f.lives
}

func (l *life) name() ident.Incarnation { return ident.Incarnation(fmt.Sprintf("i-%03d", l.number)) }

// advance ends loads and begins lives that are due.
func (f *crashingFleet) advance(at time.Duration) {
	away := 0
	for index, engine := range f.places {
		switch {
		case engine.downUntil > 0 && at >= engine.downUntil:
			f.places[index] = &life{version: engine.version, number: f.next()}
		case engine.downUntil > 0:
			away++
		case engine.loads == 0 || at < engine.doneAt:
		case f.crashes(engine.loads, at):
			f.ended++
			engine.downUntil = at + backAfter
		default:
			engine.version, engine.loads = engine.loads, 0
		}
	}
	f.away = max(f.away, away)
}

// find returns the engine of a life, nil if it has ended.
func (f *crashingFleet) find(name ident.Incarnation) *life {
	for _, engine := range f.places {
		if engine.name() == name && engine.downUntil == 0 {
			return engine
		}
	}
	return nil
}

func (f *crashingFleet) records() []backend.Record {
	var records []backend.Record
	for _, engine := range f.places {
		if engine.downUntil == 0 {
			records = append(records, backend.Record{Instance: engine.name(), Models: map[ident.Model]int{model: engine.version}})
		}
	}
	return records
}

// act carries out what the planner wants.
func (f *crashingFleet) act(planner *rollout.Planner, now time.Time, at time.Duration, action rollout.Action) {
	engine := f.find(action.Target.Instance)
	switch {
	case engine == nil && action.Order == nil:
		planner.Reported(now, action.Target.Instance, nil)
	case engine == nil:
		planner.Ordered(now, action.Order, rollout.Unanswered)
	case action.Order == nil:
		planner.Reported(now, action.Target.Instance, &rollout.Report{
			Versions: map[ident.Model]int{model: engine.version}, Sequence: engine.sequence, Busy: engine.loads > 0,
		})
	default:
		engine.sequence++
		engine.loads, engine.doneAt = action.Order.Version, at+crashesAfter
		planner.Ordered(now, action.Order, rollout.Accepted)
	}
}

func (f *crashingFleet) play(planner *rollout.Planner, models map[ident.Model]catalog.PublishedVersion, from, to time.Duration) {
	for at := from; at < to; at += 100 * time.Millisecond {
		f.advance(at)
		now := start.Add(at)
		planner.Observe(f.records(), models)
		for _, action := range planner.Plan(now, 7) {
			f.act(planner, now, at, action)
		}
	}
}

// newest returns how many engines have a version.
func (f *crashingFleet) newest(version int) int {
	count := 0
	for _, engine := range f.places {
		if engine.version == version {
			count++
		}
	}
	return count
}

func TestWeightsUnderWhichEnginesCrashAreLoadedByFew(t *testing.T) {
	is := is.New(t)
	f := newCrashingFleet(18, func(version int, _ time.Duration) bool { return version == 2 })
	planner := rollout.NewPlanner(rollout.Config{Deadline: 8 * time.Second})
	models := named(catalog.Publication{Version: 2, SeenAt: start})
	f.play(planner, models, 0, time.Minute)
	t.Logf("%d engines crashed in a minute, %d were away at once", f.ended, f.away)
	is.True(f.ended <= 16)
	is.True(f.away <= 6)
	// The version that replaces it is loaded by all in time.
	models = named(catalog.Publication{Version: 2, SeenAt: start}, catalog.Publication{Version: 3, SeenAt: start.Add(time.Minute)})
	f.play(planner, models, time.Minute, time.Minute+8*time.Second)
	is.Equal(f.newest(3), 18)
}

// Engines that crash for reasons of their own while they load a version say nothing against it
// once one has it.
func TestWeightsAreNotHeldForCrashesOfOtherCauses(t *testing.T) {
	is := is.New(t)
	f := newCrashingFleet(18, func(_ int, at time.Duration) bool { return at < 900*time.Millisecond })
	planner := rollout.NewPlanner(rollout.Config{Deadline: 8 * time.Second})
	f.play(planner, named(catalog.Publication{Version: 2, SeenAt: start}), 0, 6*time.Second)
	t.Logf("%d engines crashed, %d of 18 have the version", f.ended, f.newest(2))
	is.True(f.ended >= 3)
	is.Equal(f.newest(2), 18)
}
