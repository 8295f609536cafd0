package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// compiled returns a fleet of engines a1, a2, ... in zone a and so on, with a tenant in each zone.
func compiled(perZone int, zones string, version ident.ModelVersion, accepted ...ident.ModelVersion) *fleet.Compiled {
	document := &fleet.Document{
		Models:   []fleet.Model{{Name: "m", Version: version, AcceptVersions: accepted}},
		Services: []fleet.Service{{Name: "s", Kind: fleet.ServiceModel, Model: "m"}},
	}
	for _, zone := range zones {
		name := string(zone)
		document.Tenants = append(document.Tenants, fleet.Tenant{
			Name: ident.Tenant(name), Places: []string{name}, Services: []ident.Service{"s"},
		})
		document.Regions = append(document.Regions, fleet.Region{Name: ident.Region("r" + name), Zones: []ident.Zone{ident.Zone(name)}})
		for index := range perZone {
			engine := fmt.Sprint(name, index+1)
			document.Engines = append(document.Engines, fleet.Engine{
				Name: ident.Engine(engine), Address: engine, Zone: ident.Zone(name), Models: []ident.Model{"m"},
			})
		}
	}
	fleet.Normalise(document)
	return fleet.Compile(document, 1, "d")
}

// plannerHarness runs a planner with given reports.
type plannerHarness struct {
	planner *Planner
	now     time.Time
	grant   lease.Grant
	reports map[ident.Engine]protocol.LoadReport
}

func newPlannerHarness(file *fleet.Compiled) *plannerHarness {
	r := &plannerHarness{planner: NewPlanner(Config{}, "x"), now: epoch, grant: lease.Grant{Fence: 7}, reports: map[ident.Engine]protocol.LoadReport{}}
	r.setFleet(file)
	return r
}

func (r *plannerHarness) setFleet(file *fleet.Compiled) {
	r.planner.SetFleet(file, GroupsOf(file)[0], 1)
}

// report sets the report of an engine.
func (r *plannerHarness) report(name ident.Engine, fence uint64, incarnation ident.Incarnation, versions ...ident.ModelVersion) {
	report := protocol.LoadReport{Incarnation: incarnation, Role: "mixed", Fence: fence}
	for _, version := range versions {
		report.Loaded = append(report.Loaded, protocol.LoadedModel{Model: "m", Version: version})
	}
	r.reports[name] = report
}

// plan advances the time, applies the reports and returns the orders.
func (r *plannerHarness) plan(step time.Duration) []Order {
	r.now = r.now.Add(step)
	for name, report := range r.reports {
		r.planner.Reported(r.now, name, report)
	}
	return r.planner.Plan(r.now, r.grant)
}

func (r *plannerHarness) answer(order Order, err error) {
	r.planner.Ordered(r.now, order.Engine, order.Order.OrderID, err)
}

// formatOrders formats orders as "engine kind version".
func formatOrders(orders []Order) (list []string) {
	for _, one := range orders {
		list = append(list, fmt.Sprint(one.Engine, " ", one.Order.Kind, " ", one.Order.Version))
	}
	return list
}

func refusal(kind protocol.RefusalKind, as fault.Kind) error {
	return fault.Wrap(&engine.RefusedError{Refusal: protocol.Refusal{Kind: kind}}, as, "refused")
}

func TestPlan(t *testing.T) {
	type setting = func(r *plannerHarness)
	loaded := func(name ident.Engine, fence uint64, versions ...ident.ModelVersion) setting {
		return func(r *plannerHarness) { r.report(name, fence, "incarnation", versions...) }
	}
	draining := func(name ident.Engine) setting {
		return func(r *plannerHarness) {
			report := r.reports[name]
			report.Draining = true
			r.reports[name] = report
		}
	}
	cases := []struct {
		name     string
		file     *fleet.Compiled
		settings []setting
		wanted   []string
	}{
		{"a new holder fences first", compiled(1, "a", "v2"), []setting{loaded("a1", 6, "v1")}, []string{"a1 role "}},
		{"new version is loaded beside the old", compiled(1, "a", "v2", "v1"), []setting{loaded("a1", 7, "v1")}, []string{"a1 load v2"}},
		{"accepted version stays", compiled(1, "a", "v2", "v1"), []setting{loaded("a1", 7, "v1", "v2")}, nil},
		{"withdrawn version is unloaded", compiled(1, "a", "v2"), []setting{loaded("a1", 7, "v1", "v2")}, []string{"a1 unload v1"}},
		{"withdrawn version stays until the new one serves", compiled(1, "a", "v2"), []setting{func(r *plannerHarness) {
			r.planner.nextLoad = r.now.Add(time.Hour)
		}, loaded("a1", 7, "v1")}, nil},
		{"loads are limited by zone and rate", compiled(2, "ab", "v2"), []setting{
			loaded("a1", 7), loaded("a2", 7), loaded("b1", 7), loaded("b2", 7),
		}, []string{"a1 load v2"}},
		{"engines without a report get no orders", compiled(2, "a", "v2"), nil, nil},
		{"draining engines get no orders", compiled(1, "a", "v2"), []setting{loaded("a1", 7, "v1"), draining("a1")}, nil},
		{"no orders once a newer fence is observed", compiled(2, "a", "v2"), []setting{loaded("a1", 7, "v1"), loaded("a2", 9, "v1")}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newPlannerHarness(test.file)
			for _, set := range test.settings {
				set(r)
			}
			is.Equal(formatOrders(r.plan(time.Second)), test.wanted)
		})
	}
}

// An engine that refuses to load beside the old version unloads it only if another engine surely
// serves the tenants.
func TestUnloadKeepsAWarmEngine(t *testing.T) {
	cases := []struct {
		name   string
		other  func(r *plannerHarness)
		wanted []string
	}{
		{"no other", func(*plannerHarness) {}, nil},
		{"other is warm", func(r *plannerHarness) { r.report("a2", 7, "incarnation", "v1") }, []string{"a1 unload v1"}},
		{"other may accept stale orders", func(r *plannerHarness) { r.report("a2", 6, "incarnation", "v1") }, []string{"a2 role "}},
		{"other is in another zone", func(r *plannerHarness) { r.report("b1", 7, "incarnation", "v1") }, nil},
		{"other serves a withdrawn version", func(r *plannerHarness) { r.report("a2", 7, "incarnation", "v0") }, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newPlannerHarness(compiled(2, "ab", "v2", "v1"))
			r.report("a1", 7, "incarnation", "v1")
			first := r.plan(time.Second)
			is.Equal(formatOrders(first), []string{"a1 load v2"})
			r.answer(first[0], refusal(protocol.RefusalFull, fault.BackendRefused))
			test.other(r)
			r.planner.nextLoad = r.now.Add(time.Hour)
			is.Equal(formatOrders(r.plan(time.Second)), test.wanted)
		})
	}
}

func TestOneLoadPerZone(t *testing.T) {
	is := is.New(t)
	r := newPlannerHarness(compiled(2, "ab", "v2"))
	for _, name := range []ident.Engine{"a1", "a2", "b1", "b2"} {
		r.report(name, 7, "incarnation")
	}
	started := r.plan(time.Second)
	r.answer(started[0], nil)
	started = append(started, r.plan(5*time.Second)...)
	r.answer(started[1], nil)
	is.Equal(formatOrders(started), []string{"a1 load v2", "b1 load v2"})
	is.Equal(len(r.plan(5*time.Second)), 0)
	r.report("a1", 7, "incarnation", "v2")
	is.Equal(formatOrders(r.plan(5*time.Second)), []string{"a2 load v2"})
}

// countingEngines counts the orders that reach the engines.
type countingEngines struct {
	Engines
	orders int
}

func (c *countingEngines) Order(context.Context, string, protocol.Order) (protocol.OrderResult, error) {
	c.orders++
	return protocol.OrderResult{}, nil
}

// A holder that was paused between its decision and the request must not send the order.
func TestOrderIsNotSentWithoutLease(t *testing.T) {
	is := is.New(t)
	engines := &countingEngines{}
	controller := New(Options{Engines: engines})
	r := &runner{elector: lease.NewElector(nil, lease.Config{}, "x", "n")}
	result := controller.execute(t.Context(), call{runner: r, order: &protocol.Order{Fence: 7}})
	is.Equal(result.err, lease.ErrNotHeld)
	is.Equal(engines.orders, 0)
}

func TestOnlyOneEngineMakesRoom(t *testing.T) {
	is := is.New(t)
	r := newPlannerHarness(compiled(2, "a", "v2", "v1"))
	r.planner.config.MaxLoadsPerZone = 2
	for _, name := range []ident.Engine{"a1", "a2"} {
		r.report(name, 7, "incarnation", "v1")
		for _, order := range r.plan(5 * time.Second) {
			r.answer(order, refusal(protocol.RefusalFull, fault.BackendRefused))
		}
	}
	r.planner.nextLoad = r.now.Add(time.Hour)
	is.Equal(len(r.plan(5*time.Second)), 1)
	is.Equal(len(r.plan(5*time.Second)), 0)
}

func TestLostAnswersCrashesAndStaleFences(t *testing.T) {
	is := is.New(t)
	r := newPlannerHarness(compiled(1, "a", "v2"))
	lost := fault.New(fault.BackendLost, "no answer").WithRan(fault.RanUnknown)
	r.report("a1", 7, "incarnation-1")
	first := r.plan(time.Second)
	r.answer(first[0], lost)
	is.Equal(len(r.plan(100*time.Millisecond)), 0) // back-off
	again := r.plan(time.Second)
	is.Equal(again, first) // under the same id
	r.answer(again[0], nil)
	is.Equal(len(r.plan(time.Minute)), 0) // the load is in progress

	r.report("a1", 0, "incarnation-2") // crashed during the load
	fenced := r.plan(time.Second)
	is.Equal(formatOrders(fenced), []string{"a1 role "})
	r.answer(fenced[0], nil)
	r.report("a1", 7, "incarnation-2")
	reload := r.plan(time.Second)
	is.Equal(formatOrders(reload), []string{"a1 load v2"})
	is.Equal(reload[0].Order.ExpectedIncarnation, ident.Incarnation("incarnation-2"))
	is.True(reload[0].Order.OrderID != first[0].Order.OrderID)

	r.answer(reload[0], refusal(protocol.RefusalStaleFence, fault.StaleFence))
	is.Equal(r.planner.Floor(), uint64(7))
	is.Equal(len(r.plan(time.Minute)), 0)
	r.grant.Fence = 12
	is.Equal(formatOrders(r.plan(time.Second)), []string{"a1 role "})
}

// An unload without an answer may still arrive when it is no longer permitted: a newer fence
// invalidates it.
func TestLostUnloadIsFenced(t *testing.T) {
	is := is.New(t)
	r := newPlannerHarness(compiled(1, "a", "v2"))
	r.report("a1", 7, "incarnation", "v1", "v2")
	orders := r.plan(time.Second)
	is.Equal(formatOrders(orders), []string{"a1 unload v1"})
	r.answer(orders[0], fault.New(fault.BackendLost, "no answer").WithRan(fault.RanUnknown))
	r.setFleet(compiled(1, "a", "v1"))
	is.Equal(len(r.plan(time.Second)), 0)
	is.Equal(r.planner.Floor(), uint64(7))
}

func TestEnginesSharedByServicesHaveOneLease(t *testing.T) {
	is := is.New(t)
	document := &fleet.Document{
		Models: []fleet.Model{{Name: "m", Version: "1"}, {Name: "n", Version: "1"}, {Name: "o", Version: "1"}},
		Services: []fleet.Service{
			{Name: "first", Kind: fleet.ServiceModel, Model: "m"}, {Name: "second", Kind: fleet.ServiceModel, Model: "n"},
		},
		Engines: []fleet.Engine{
			{Name: "e1", Models: []ident.Model{"n"}}, {Name: "e2", Models: []ident.Model{"m", "n"}}, {Name: "e3", Models: []ident.Model{"o"}},
		},
	}
	groups := GroupsOf(fleet.Compile(document, 1, "d"))
	is.Equal(len(groups), 2)
	is.Equal(groups[0].LeaseName(), "control/first")
	is.Equal(len(groups[0].Engines), 2)
	is.Equal(groups[1].LeaseName(), "control/o")
}
