package node

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// checkedEngines report how many requests wait; unresponsive ones do not answer.
type checkedEngines struct {
	idleEngines

	mu sync.Mutex
	// replaced is an engine whose address answers as another incarnation.
	replaced     ident.Incarnation
	unresponsive map[ident.Incarnation]bool
	queued       map[ident.Incarnation]int
	checks       map[ident.Incarnation]int
}

// Report implements rollout.Engines.
func (e *checkedEngines) Report(ctx context.Context, target backend.Record) (*rollout.Report, error) {
	e.mu.Lock()
	e.checks[target.Instance]++
	unresponsive, queued := e.unresponsive[target.Instance], e.queued[target.Instance]
	e.mu.Unlock()
	if target.Instance == e.replaced {
		return nil, rollout.ErrOtherInstance
	}
	if unresponsive {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	return &rollout.Report{Queued: queued}, nil
}

// checkedRecords are engines of two zones, one of them draining, and an application.
func checkedRecords() []backend.Record {
	models := map[ident.Model]int{model: 1}
	return []backend.Record{
		{Instance: "a", Service: "s", Zone: "z", Models: models}, {Instance: "b", Service: "s", Zone: "z", Models: models},
		{Instance: "c", Service: "s", Zone: "z", Models: models}, {Instance: "far", Service: "s", Zone: "y", Models: models},
		{Instance: "draining", Service: "s", Zone: "z", Models: models, Draining: true}, {Instance: "app", Service: "t", Zone: "z"},
	}
}

// setUp prepares the registry.
// checkersOf returns the checkers of a zone that this router leads, or does not.
func checkersOf(leads bool) func() []ident.Node {
	if !leads {
		return func() []ident.Node { return nil }
	}
	return func() []ident.Node { return []ident.Node{"n"} }
}

// runWatcher runs a watcher of zone z for a time, and returns what its last notifications held.
func runWatcher(
	t *testing.T, span time.Duration, engines *checkedEngines, leads bool, setUp ...func(*backend.Registry),
) (silent []ident.Incarnation, queues []health.Queue) {
	t.Helper()
	known := backend.NewRegistry(backend.Config{})
	known.ApplyList(time.Now(), checkedRecords())
	for _, prepare := range setUp {
		prepare(known)
	}
	watcher := &healthWatcher{
		node: "n", zone: "z", checkers: checkersOf(leads), engines: engines, backends: known, holder: &catalog.Holder{},
		notify: func(notification health.Notification) {
			if notification.Silent != nil {
				silent = notification.Silent
			}
			if notification.Queues != nil {
				queues = notification.Queues
			}
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	watcher.run(ctx)
	return silent, queues
}

func TestFirstOfZoneReportsEngineHealth(t *testing.T) {
	tests := []struct {
		name         string
		leads        bool
		unresponsive []ident.Incarnation
		silent       []ident.Incarnation
		queues       []health.Queue
	}{
		{name: "first of the zone", leads: true, unresponsive: []ident.Incarnation{"b", "far"}, silent: []ident.Incarnation{"b"}, queues: []health.Queue{{Instance: "a", Waiting: 3}}},
		{name: "not the first", unresponsive: []ident.Incarnation{"b"}},
		{name: "all unresponsive", leads: true, unresponsive: []ident.Incarnation{"a", "b", "c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engines := &checkedEngines{
					unresponsive: map[ident.Incarnation]bool{}, queued: map[ident.Incarnation]int{"a": 3}, checks: map[ident.Incarnation]int{},
				}
				for _, instance := range tt.unresponsive {
					engines.unresponsive[instance] = true
				}
				silent, queues := runWatcher(t, 3*time.Second, engines, tt.leads)
				is.Equal(silent, tt.silent)
				is.Equal(queues, tt.queues)
				for _, instance := range []ident.Incarnation{"far", "draining", "app"} {
					is.Equal(engines.checks[instance], 0)
				}
			})
		})
	}
}

func TestWatcherReportsGoneEnginesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		known := backend.NewRegistry(backend.Config{})
		known.ApplyList(time.Now(), checkedRecords())
		var gone []ident.Incarnation
		watcher := &healthWatcher{
			node: "n", zone: "z", checkers: checkersOf(true), backends: known, holder: &catalog.Holder{},
			engines: &checkedEngines{replaced: "b", checks: map[ident.Incarnation]int{}},
			notify:  func(notification health.Notification) { gone = append(gone, notification.Gone...) },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		watcher.run(ctx)
		is.Equal(gone, []ident.Incarnation{"b"}) // once
	})
}

func TestLongHealthNotificationIsSplit(t *testing.T) {
	is := is.New(t)
	notification := health.Notification{Silent: []ident.Incarnation{"s"}, Answering: []ident.Incarnation{"t"}}
	for range 3 * enginesPerNotification {
		notification.Queues = append(notification.Queues, health.Queue{Instance: "i", Waiting: 1})
		notification.Gone = append(notification.Gone, "g")
	}
	var merged health.Notification
	for _, part := range splitHealth(notification) {
		is.True(len(part.Silent)+len(part.Answering)+len(part.Queues)+len(part.Gone) <= enginesPerNotification)
		merged.Gone = append(merged.Gone, part.Gone...)
		merged.Silent = append(merged.Silent, part.Silent...)
		merged.Answering = append(merged.Answering, part.Answering...)
		merged.Queues = append(merged.Queues, part.Queues...)
	}
	is.Equal(merged, notification)
}

// An engine that is backing off is neither checked nor reported silent, and is checked again
// after the back-off.
func TestBackingOffEngineIsNotChecked(t *testing.T) {
	for _, tt := range []struct {
		name    string
		backoff time.Duration
		checked bool
	}{{"for the whole test", time.Minute, false}, {"for a second", time.Second, true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engines := &checkedEngines{checks: map[ident.Incarnation]int{}}
				silent, _ := runWatcher(t, 3*time.Second, engines, true, func(known *backend.Registry) {
					now := time.Now()
					known.ObserveAdvertised(now, "a", now, backend.Advertised{Backoff: tt.backoff}, backend.SourceAnswer)
				})
				is.Equal(silent, nil)
				is.Equal(engines.checks["a"] > 0, tt.checked)
				is.True(engines.checks["b"] > 0)
			})
		})
	}
}

// Reports and orders withheld from an engine that is backing off fail as not sent.
func TestBackingOffEngineGetsFewReportsAndOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		known := backend.NewRegistry(backend.Config{})
		known.ApplyList(time.Now(), checkedRecords())
		now := time.Now()
		known.ObserveAdvertised(now, "a", now, backend.Advertised{Backoff: time.Minute}, backend.SourceAnswer)
		engines := &checkedEngines{checks: map[ident.Incarnation]int{}}
		calls := &engineCalls{engines: engines, backends: known}
		target := checkedRecords()[0]
		failed := 0
		for range 5 {
			if _, err := calls.Report(t.Context(), target); errors.Is(err, rollout.ErrBackoff) {
				failed++
			}
		}
		is.Equal(engines.checks["a"], 2)
		is.Equal(failed, 3)
		is.Equal(calls.Order(t.Context(), &rollout.Order{Target: target}), rollout.NotSent)
	})
}
