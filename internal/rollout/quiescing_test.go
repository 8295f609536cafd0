package rollout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// An engine is ordered once it has no requests left, or after the quiesce time.
func TestEngineQuiescesBeforeItsOrder(t *testing.T) {
	const maxQuiesceTime = 600 * time.Millisecond
	tests := []struct {
		name string
		// runs and waits are until when a request runs, or is queued, at the engine.
		runs, waits time.Duration
		quiesceTime time.Duration
		// headroom is that of the service.
		headroom float64
		// ordered is when the order is sent, notified whether routers were notified before.
		ordered  time.Duration
		notified bool
	}{
		{"without a request", 0, 0, maxQuiesceTime, 1, 100 * time.Millisecond, false},
		{"a running request that ends", 250 * time.Millisecond, 0, maxQuiesceTime, 1, 400 * time.Millisecond, true},
		{"a queued request", 0, 350 * time.Millisecond, maxQuiesceTime, 1, 500 * time.Millisecond, true},
		{"a running request that goes on", time.Minute, 0, maxQuiesceTime, 1, 700 * time.Millisecond, true},
		{"half the headroom", time.Minute, 0, maxQuiesceTime, 0.5, 400 * time.Millisecond, true},
		{"no headroom", time.Minute, 0, maxQuiesceTime, 0, 100 * time.Millisecond, false},
		{"disabled", time.Minute, 0, 0, 1, 100 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			config := config
			config.QuiesceTime = tt.quiesceTime
			planner := rollout.NewPlanner(config)
			planner.SetHeadroom(map[ident.Service]float64{"": tt.headroom})
			ordered, order := simulateUntilOrder(planner, tt.runs, tt.waits)
			quiescing := planner.Quiescing()
			is.Equal(order.Quiesced, tt.notified)
			is.Equal(ordered, tt.ordered)
			if !tt.notified {
				is.Equal(len(quiescing), 0)
				return
			}
			is.Equal(quiescing, []rollout.QuiescingEngine{{Instance: "i-00", Model: model, Version: 2}})
		})
	}
}

// simulateUntilOrder simulates one engine, at which a request runs and one is queued for some time,
// until its order is sent.
func simulateUntilOrder(planner *rollout.Planner, runs, waits time.Duration) (time.Duration, rollout.Action) {
	engines := newFleet(1)
	models := published(catalog.Publication{Version: 2, SeenAt: start})
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		planner.Observe(engines.records(), models)
		for _, action := range planner.Plan(start.Add(at), 7) {
			if action.Order != nil {
				return at, action
			}
			report := engines.report("i-00")
			if at < runs {
				report.Active = 1
			}
			if at < waits {
				report.Queued = 1
			}
			planner.Reported(start.Add(at), "i-00", report)
		}
	}
	return 0, rollout.Action{}
}

// Quiescing engines count as changing, so that enough of the others serve.
func TestQuiescingEnginesCountTowardsTheLimit(t *testing.T) {
	is := is.New(t)
	engines := newFleet(10)
	config := config
	config.Deadline = time.Minute
	config.QuiesceTime = 600 * time.Millisecond
	planner := rollout.NewPlanner(config)
	models := published(catalog.Publication{Version: 2, SeenAt: start})
	away := map[ident.Incarnation]bool{}
	for at := time.Duration(0); at < 600*time.Millisecond; at += 100 * time.Millisecond {
		planner.Observe(engines.records(), models)
		for _, action := range planner.Plan(start.Add(at), 7) {
			is.True(action.Order == nil)
			away[action.Target.Instance] = true
			report := engines.report(action.Target.Instance)
			report.Active = 3
			planner.Reported(start.Add(at), action.Target.Instance, report)
		}
	}
	is.Equal(len(away), config.Parallel)
}

// Quiescing ends without an order if the engine got the version by other means, does not answer, or
// the lease has a new holder.
func TestQuiescingEndsWithoutAnOrder(t *testing.T) {
	busy := &rollout.Report{Versions: map[ident.Model]int{model: 1}, Active: 1}
	tests := []struct {
		name  string
		after func(planner *rollout.Planner, now time.Time)
		// again is whether the engine quiesces again.
		again bool
	}{
		{"it has the version", func(planner *rollout.Planner, now time.Time) {
			planner.Reported(now, "i-00", &rollout.Report{Versions: map[ident.Model]int{model: 2}, Active: 1})
		}, false},
		{"it does not answer", func(planner *rollout.Planner, now time.Time) { planner.Reported(now, "i-00", nil) }, true},
		{"another holder", func(planner *rollout.Planner, _ time.Time) { planner.DropOrders() }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			engines := newFleet(1)
			config := config
			config.QuiesceTime = 600 * time.Millisecond
			planner := rollout.NewPlanner(config)
			models := published(catalog.Publication{Version: 2, SeenAt: start})
			notified := 0
			for at := time.Duration(0); at < 1500*time.Millisecond; at += 100 * time.Millisecond {
				now := start.Add(at)
				planner.Observe(engines.records(), models)
				for _, action := range planner.Plan(now, 7) {
					if action.Order == nil {
						planner.Reported(now, "i-00", busy)
					}
				}
				notified += len(planner.Quiescing())
				if at == 200*time.Millisecond {
					tt.after(planner, now)
				}
			}
			is.Equal(notified == 2, tt.again)
		})
	}
}
