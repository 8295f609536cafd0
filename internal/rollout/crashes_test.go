package rollout_test

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
	crashesAfter  = 300 * time.Millisecond
	restartsAfter = 2 * time.Second
)

// crashingEngine is one incarnation of an engine.
type crashingEngine struct {
	version  int
	sequence uint64
	// loading is the version being loaded until doneAt, 0 for none.
	loading int
	doneAt  time.Duration
	// downUntil is when the next incarnation starts, 0 while this one runs.
	downUntil time.Duration
	number    int
}

// crashingFleet models engines that crash while they load some versions.
type crashingFleet struct {
	engines []*crashingEngine
	started int
	// crashes reports whether an engine crashes that loads a version at that time.
	crashes func(version int, at time.Duration) bool
	// crashed is the number of crashes, maxAway the most engines away at the same time.
	crashed, maxAway int
}

func newCrashingFleet(count int, crashes func(int, time.Duration) bool) *crashingFleet {
	f := &crashingFleet{crashes: crashes}
	for range count {
		f.engines = append(f.engines, &crashingEngine{version: 1, number: f.nextNumber()})
	}
	return f
}

func (f *crashingFleet) nextNumber() int {
	f.started++
	return f.started
}

func (l *crashingEngine) instance() ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("i-%03d", l.number))
}

// advance ends the loads and starts the incarnations that are due.
func (f *crashingFleet) advance(at time.Duration) {
	away := 0
	for index, engine := range f.engines {
		switch {
		case engine.downUntil > 0 && at >= engine.downUntil:
			f.engines[index] = &crashingEngine{version: engine.version, number: f.nextNumber()}
		case engine.downUntil > 0:
			away++
		case engine.loading == 0 || at < engine.doneAt:
		case f.crashes(engine.loading, at):
			f.crashed++
			engine.downUntil = at + restartsAfter
		default:
			engine.version, engine.loading = engine.loading, 0
		}
	}
	f.maxAway = max(f.maxAway, away)
}

// find returns the engine of an incarnation, nil if that has ended.
func (f *crashingFleet) find(instance ident.Incarnation) *crashingEngine {
	for _, engine := range f.engines {
		if engine.instance() == instance && engine.downUntil == 0 {
			return engine
		}
	}
	return nil
}

func (f *crashingFleet) records() []backend.Record {
	var records []backend.Record
	for _, engine := range f.engines {
		if engine.downUntil == 0 {
			records = append(records, backend.Record{Instance: engine.instance(), Models: map[ident.Model]int{model: engine.version}})
		}
	}
	return records
}

// execute carries out an action of the planner.
func (f *crashingFleet) execute(planner *rollout.Planner, now time.Time, at time.Duration, action rollout.Action) {
	engine := f.find(action.Target.Instance)
	switch {
	case engine == nil && action.Order == nil:
		planner.Reported(now, action.Target.Instance, nil)
	case engine == nil:
		planner.Ordered(now, action.Order, rollout.Unanswered)
	case action.Order == nil:
		planner.Reported(now, action.Target.Instance, &rollout.Report{
			Versions: map[ident.Model]int{model: engine.version}, Sequence: engine.sequence, Busy: engine.loading > 0,
		})
	default:
		engine.sequence++
		engine.loading, engine.doneAt = action.Order.Version, at+crashesAfter
		planner.Ordered(now, action.Order, rollout.Accepted)
	}
}

func (f *crashingFleet) simulate(planner *rollout.Planner, models map[ident.Model]catalog.PublishedVersion, from, to time.Duration) {
	for at := from; at < to; at += 100 * time.Millisecond {
		f.advance(at)
		now := start.Add(at)
		planner.Observe(f.records(), models)
		for _, action := range planner.Plan(now, 7) {
			f.execute(planner, now, at, action)
		}
	}
}

// countVersion returns how many engines have a version.
func (f *crashingFleet) countVersion(version int) int {
	count := 0
	for _, engine := range f.engines {
		if engine.version == version {
			count++
		}
	}
	return count
}

// A version that crashes every engine that loads it must not take many engines away at once.
func TestLoadsOfCrashingVersionAreLimited(t *testing.T) {
	is := is.New(t)
	f := newCrashingFleet(18, func(version int, _ time.Duration) bool { return version == 2 })
	planner := rollout.NewPlanner(rollout.Config{Deadline: 8 * time.Second})
	models := published(catalog.Publication{Version: 2, SeenAt: start})
	f.simulate(planner, models, 0, time.Minute)
	t.Logf("%d engines crashed in a minute, %d were away at once", f.crashed, f.maxAway)
	is.True(f.crashed <= 16)
	is.True(f.maxAway <= 6)
	// All load the version that replaces it in time.
	models = published(catalog.Publication{Version: 2, SeenAt: start}, catalog.Publication{Version: 3, SeenAt: start.Add(time.Minute)})
	f.simulate(planner, models, time.Minute, time.Minute+8*time.Second)
	is.Equal(f.countVersion(3), 18)
}

// Crashes with other causes do not block a version once an engine has loaded it.
func TestUnrelatedCrashesDoNotBlockVersion(t *testing.T) {
	is := is.New(t)
	f := newCrashingFleet(18, func(_ int, at time.Duration) bool { return at < 900*time.Millisecond })
	planner := rollout.NewPlanner(rollout.Config{Deadline: 8 * time.Second})
	f.simulate(planner, published(catalog.Publication{Version: 2, SeenAt: start}), 0, 6*time.Second)
	t.Logf("%d engines crashed, %d of 18 have the version", f.crashed, f.countVersion(2))
	is.True(f.crashed >= 3)
	is.Equal(f.countVersion(2), 18)
}
