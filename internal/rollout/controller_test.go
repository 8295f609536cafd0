package rollout_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// heldLease is a lease that is always held.
type heldLease struct{}

func (heldLease) Held() (lease.Grant, error) {
	return lease.Grant{Fence: 1, Until: time.Now().Add(time.Hour), ActUntil: time.Now().Add(time.Hour)}, nil
}
func (h heldLease) Act() (lease.Grant, error) { return h.Held() }
func (heldLease) StepDown(uint64)             {}

// fleetEngines executes orders as its fleet does, and records orders and notifications.
type fleetEngines struct {
	mu     sync.Mutex
	fleet  *fleet
	events []string
	// silent leaves its first order unanswered.
	silent ident.Incarnation
	// loadTime and quiesceTime are the longest times notified.
	loadTime, quiesceTime time.Duration
}

func (e *fleetEngines) Order(_ context.Context, order *rollout.Order) rollout.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, "order "+string(order.Target.Instance))
	if order.Target.Instance == e.silent {
		e.silent = ""
		return rollout.Unanswered
	}
	return e.fleet.execute(order)
}

func (e *fleetEngines) Report(_ context.Context, target backend.Record) (*rollout.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet.report(target.Instance), nil
}

func (e *fleetEngines) Notify(notification rollout.Notification) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadTime = max(e.loadTime, notification.LoadTime)
	e.quiesceTime = max(e.quiesceTime, notification.QuiesceTime)
	for _, instance := range notification.Loading {
		e.events = append(e.events, "loading "+string(instance))
	}
	for _, instance := range notification.Quiescing {
		e.events = append(e.events, "quiescing "+string(instance))
	}
	for _, instance := range notification.Unsettled {
		e.events = append(e.events, "unsettled "+string(instance))
	}
	for _, instance := range notification.Loaded {
		e.events = append(e.events, "loaded "+string(instance))
	}
}

// Routers are notified of each engine before its order, and again once it has the version.
func TestNotificationsAroundEachOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &fleetEngines{fleet: newFleet(7), silent: "i-03"}
		holder := &catalog.Holder{}
		holder.Published(model, catalog.Publication{Version: 2, SeenAt: time.Now()})
		backends := backend.NewRegistry(backend.Config{})
		backends.ApplyList(time.Now(), engines.fleet.records())
		controller := rollout.NewController(rollout.ControllerConfig{
			Planner: config, Notifier: engines, OnOrder: func(*rollout.Order, rollout.Result) {},
		}, heldLease{}, engines, holder, backends)
		go controller.Run(t.Context())
		time.Sleep(20 * time.Second)
		engines.mu.Lock()
		defer engines.mu.Unlock()
		is.Equal(engines.fleet.loads, 7)
		for instance := range engines.fleet.versions {
			indexOf := func(event string, instance ident.Incarnation) int {
				return slices.Index(engines.events, event+" "+string(instance))
			}
			is.True(indexOf("loading", instance) >= 0)
			is.True(indexOf("loading", instance) < indexOf("order", instance))
			is.True(indexOf("order", instance) < indexOf("loaded", instance))
			is.Equal(indexOf("unsettled", instance) >= 0, instance == "i-03")
		}
	})
}

// Routers are notified when an engine begins to quiesce and again before its order, with the times
// that they need.
func TestQuiescingNotifications(t *testing.T) {
	tests := []struct {
		name    string
		quiesce bool
		want    []string
	}{
		{"on", true, []string{"quiescing i-00", "loading i-00", "order i-00", "loaded i-00"}},
		{"off", false, []string{"loading i-00", "order i-00", "loaded i-00"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engines := &fleetEngines{fleet: newFleet(1)}
				engines.fleet.active = 2
				holder := &catalog.Holder{}
				holder.Published(model, catalog.Publication{Version: 2, SeenAt: time.Now()})
				backends := backend.NewRegistry(backend.Config{})
				backends.ApplyList(time.Now(), engines.fleet.records())
				controller := rollout.NewController(rollout.ControllerConfig{
					Planner: config, Notifier: engines, Quiesce: tt.quiesce, OnOrder: func(*rollout.Order, rollout.Result) {},
				}, heldLease{}, engines, holder, backends)
				go controller.Run(t.Context())
				time.Sleep(5 * time.Second)
				engines.mu.Lock()
				defer engines.mu.Unlock()
				is.Equal(engines.events, tt.want)
				is.True(engines.loadTime > time.Second) // above the mean
				is.Equal(engines.quiesceTime > 0, tt.quiesce)
			})
		})
	}
}

// An entry that another writer left in the instance list may name an unknown service. Nothing is
// sent to its address.
func TestEnginesOfUnknownServicesAreNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &fleetEngines{fleet: newFleet(2)}
		holder := &catalog.Holder{}
		holder.Adopt(catalog.NewSnapshot(catalog.Content{Version: 1, Services: []catalog.Service{{Name: "s"}}}), time.Now())
		holder.Published(model, catalog.Publication{Version: 2, SeenAt: time.Now()})
		records := engines.fleet.records()
		for index := range records {
			records[index].Service = "s"
			if records[index].Instance == "i-01" {
				records[index].Service = "no such service"
			}
		}
		backends := backend.NewRegistry(backend.Config{})
		backends.ApplyList(time.Now(), records)
		controller := rollout.NewController(rollout.ControllerConfig{
			Planner: config, OnOrder: func(*rollout.Order, rollout.Result) {},
		}, heldLease{}, engines, holder, backends)
		go controller.Run(t.Context())
		time.Sleep(20 * time.Second)
		engines.mu.Lock()
		defer engines.mu.Unlock()
		is.Equal(engines.fleet.versions["i-00"], 2)
		is.Equal(engines.fleet.versions["i-01"], 1)
	})
}
