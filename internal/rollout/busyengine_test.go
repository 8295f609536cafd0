package rollout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// An engine is still carrying out the order of a former holder when the next one looks at it.
// An order with the sequence number of that report is carried out, if the engine does so late,
// after the load, whichever version that brought: it may be newer than any that this holder
// knows.
func TestAnEngineThatIsBusyGetsNoOrder(t *testing.T) {
	const loaded = 2 * time.Second
	tests := []struct {
		name   string
		loads  int
		orders int
	}{
		{"with a newer version than the holder knows", 3, 0},
		{"with the version to be ordered", 2, 0},
		{"with nothing that the report tells later", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			engines := newFleet(1)
			const name = ident.Incarnation("i-00")
			engines.orders[name] = 4
			planner := rollout.NewPlanner(config)
			models := named(catalog.Naming{Version: 2, SeenAt: start})
			orders := 0
			for at := time.Duration(0); at < 2*loaded; at += 100 * time.Millisecond {
				now := start.Add(at)
				busy := at < loaded
				if at == loaded {
					engines.versions[name] = tt.loads
				}
				planner.Observe(engines.records(), models)
				for _, action := range planner.Plan(now, 7) {
					if action.Order == nil {
						report := engines.report(name)
						report.Busy = busy
						planner.Reported(now, name, report)
						continue
					}
					is.True(!busy)
					orders++
					planner.Ordered(now, action.Order, engines.take(action.Order))
				}
			}
			is.Equal(orders, tt.orders)
			is.Equal(engines.versions[name], max(tt.loads, 2))
		})
	}
}
