package rollout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// The load time is learned from observed loads, and sets when an engine's report is read.
func TestLoadTimeIsLearned(t *testing.T) {
	tests := []struct {
		name        string
		load        time.Duration
		least, most time.Duration
		// reports is the largest number of reports read for the last load.
		reports int
	}{
		{"fast", 300 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 4},
		{"as expected", time.Second, time.Second, 1300 * time.Millisecond, 4},
		{"slow", 2 * time.Second, 2 * time.Second, 2500 * time.Millisecond, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			engines := newFleet(1)
			planner := rollout.NewPlanner(config)
			is.Equal(planner.LoadTime(), 1500*time.Millisecond) // before the first load
			reports := 0
			for version := 2; version <= 30; version++ {
				reports = changeVersion(planner, engines, version, tt.load)
			}
			is.True(planner.LoadTime() >= tt.least)
			is.True(planner.LoadTime() <= tt.most)
			is.True(reports <= tt.reports)
		})
	}
}

// The load of an engine that froze does not change the estimate.
func TestOutlierLoadTimeIsIgnored(t *testing.T) {
	is := is.New(t)
	engines := newFleet(1)
	planner := rollout.NewPlanner(config)
	changeVersion(planner, engines, 2, 6*time.Second)
	is.Equal(planner.LoadTime(), 1500*time.Millisecond)
}

// changeVersion makes one engine load a version for some time. It returns the number of reports
// read after the order.
func changeVersion(planner *rollout.Planner, engines *fleet, version int, load time.Duration) int {
	const name = ident.Incarnation("i-00")
	from := start.Add(time.Duration(version) * time.Minute)
	models := published(catalog.Publication{Version: version, SeenAt: from})
	var order *rollout.Order
	var orderedAt time.Time
	reports := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		now := from.Add(at)
		if order != nil && now.Sub(orderedAt) >= load {
			engines.execute(order)
			order = nil
		}
		planner.Observe(engines.records(), models)
		for _, action := range planner.Plan(now, 7) {
			if action.Order != nil {
				order, orderedAt = action.Order, now
				planner.Ordered(now, order, rollout.Accepted)
				continue
			}
			if !orderedAt.IsZero() {
				reports++
			}
			report := engines.report(name)
			report.Busy = order != nil
			planner.Reported(now, name, report)
		}
		if len(planner.Loaded()) > 0 {
			break
		}
	}
	return reports
}
