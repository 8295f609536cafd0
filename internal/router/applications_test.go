package router

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// twoApplications is a fleet file with two applications in one zone.
const twoApplications = `schema: fieldpond/v1
name: test
regions: [{name: r, zones: [z]}]
classes: [{name: c}]
services:
  - {name: bays, kind: application, classes: [c], routes: [{method: POST, path: /charges}]}
applications:
  - {name: a-1, address: '127.0.0.1:7001', zone: z, services: [bays]}
  - {name: a-2, address: '127.0.0.1:7002', zone: z, services: [bays]}
tenants:
  - {name: t, keyHashes: [e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855], places: [r], services: [bays]}
`

func TestPermittedApplicationsAfterFirstCall(t *testing.T) {
	answered := dispatch.Result{Outcome: dispatch.OutcomeAnswered, Incarnation: "incarnation-1"}
	cases := []struct {
		name string
		// first is the result of the first call, to a-1; listed is the machine list.
		first  dispatch.Result
		listed map[ident.Application]bool
		// permitted may be called next; notified are those passed to onDraining.
		permitted, notified []ident.Application
	}{
		{"an answer before the first report", answered, nil, []ident.Application{"a-1", "a-2"}, nil},
		{"unreachable after an answer", dispatch.Result{Outcome: dispatch.OutcomeUnreachable, Incarnation: "incarnation-1"}, nil,
			[]ident.Application{"a-2"}, nil},
		{"its own refusal", dispatch.Result{Outcome: dispatch.OutcomeRefused, Refusal: protocol.RefusalDraining, Incarnation: "incarnation-1"}, nil,
			[]ident.Application{"a-2"}, []ident.Application{"a-1"}},
		{"the machine list", answered, map[ident.Application]bool{"a-1": false, "a-2": true},
			[]ident.Application{"a-1"}, []ident.Application{"a-2"}},
		{"its own refusal while the list lags",
			dispatch.Result{Outcome: dispatch.OutcomeRefused, Refusal: protocol.RefusalDraining, Incarnation: "incarnation-1"},
			map[ident.Application]bool{"a-1": false, "a-2": false}, []ident.Application{"a-2"}, []ident.Application{"a-1"}},
	}
	document, problems := fleet.Parse([]byte(twoApplications), "test")
	if problems.Err() != nil {
		t.Fatal(problems.Err())
	}
	compiled := fleet.Compile(document, 1, "digest")
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			check := is.New(t)
			placer := newApplicationPlacer(func() *fleet.Compiled { return compiled }, "z")
			var notified []ident.Application
			placer.onDraining = func(name ident.Application, _ ident.Incarnation) { notified = append(notified, name) }
			placer.configure(compiled)
			job := &dispatch.ApplicationJob{Tenant: "t", Service: "bays"}
			placed, err := placer.PlaceApplication(t.Context(), job)
			check.NoErr(err)
			check.Equal(placed.Application, ident.Application("a-1"))
			placed.Release(test.first)
			placer.applyMachineList(test.listed)
			var permitted []ident.Application
			for _, application := range placer.permitted(compiled, job) {
				permitted = append(permitted, application.Name)
			}
			check.Equal(permitted, test.permitted)
			check.Equal(notified, test.notified)
		})
	}
}
