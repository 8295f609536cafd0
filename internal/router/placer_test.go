package router

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/routing"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// twoRegions is a fleet file whose tenant may use only the first of two regions.
const twoRegions = `schema: fieldpond/v1
name: test
regions: [{name: here, zones: [z-1]}, {name: there, zones: [z-2]}]
classes: [{name: c}]
models: [{name: m, version: v1}]
services: [{name: s, kind: model, model: m, classes: [c]}]
engines:
  - {name: e-1, address: '127.0.0.1:7001', zone: z-1, models: [m]}
  - {name: e-2, address: '127.0.0.1:7002', zone: z-2, models: [m]}
tenants:
  - {name: t, keyHashes: [e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855], places: [here], services: [s]}
`

func compile(t *testing.T, file string, version fleet.Version) *fleet.Compiled {
	t.Helper()
	document, problems := fleet.Parse([]byte(file), "test")
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	return fleet.Compile(document, version, "digest")
}

// delayedObserver returns load reports only after a time. Every engine has loaded
// two versions.
type delayedObserver struct {
	engine.Observer
	after time.Time
}

func (o delayedObserver) Load(ctx context.Context, address string) (protocol.LoadReport, error) {
	if time.Now().Before(o.after) {
		return protocol.LoadReport{}, fault.Wrap(context.DeadlineExceeded, fault.Timeout, "no report yet")
	}
	return protocol.LoadReport{
		Incarnation: ident.Incarnation(address), MaxRunning: 4,
		Loaded: []protocol.LoadedModel{{Model: "m", Version: "v1"}, {Model: "m", Version: "v2"}},
	}, ctx.Err()
}

func newTestRunner(t *testing.T, observer engine.Observer) *placement.Runner {
	t.Helper()
	scheduler, err := routing.NewPredictive(routing.Config{})
	if err != nil {
		t.Fatal(err)
	}
	cacheBeliefs, err := beliefs.New(beliefs.Config{}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	poller := endpoint.NewPoller(observer, time.Second, 64)
	poller.Start(t.Context(), 1)
	placementRunner := placement.NewRunner(placement.RunnerConfig{
		MaxOpen: 16, PollInterval: 250 * time.Millisecond, PollsPerTick: 8, PollTick: 50 * time.Millisecond,
		OnChange: func(endpoint.Change) {}, OnSnapshotDue: func(ident.Engine) {},
	}, placement.New(placement.Config{
		Scheduler: scheduler, Beliefs: cacheBeliefs, Queue: admission.NewQueue(admission.Config{}), Hop: hopFrom("z-1"),
	}), poller)
	go placementRunner.Run(t.Context())
	return placementRunner
}

// A fleet file adopted while a request waits for the first load report must apply
// to that request.
func TestWaitingRequestFollowsNewFleetFile(t *testing.T) {
	begun := func(job *dispatch.Job) { job.Continued = "text of the old version" }
	cases := []struct {
		name, old, replacement string
		prepare                func(job *dispatch.Job)
		engine                 ident.Engine
		version                ident.ModelVersion
	}{
		{"nothing changed", "name: test", "name: changed", nil, "e-1", "v1"},
		{"place withdrawn, another permitted", "places: [here]", "places: [there]", nil, "e-2", "v1"},
		{"place withdrawn, none left", "zone: z-1", "zone: z-2", nil, "", ""},
		{"weights replaced", "version: v1", "version: v2", nil, "e-1", "v2"},
		{"weights replaced under an answer that has begun", "version: v1", "version: v2", begun, "e-1", "v1"},
		{"engine leaving", "zone: z-1,", "zone: z-1, state: leaving,", nil, "", ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				var current atomic.Pointer[fleet.Compiled]
				current.Store(compile(t, twoRegions, 1))
				const reports, adoption = 500 * time.Millisecond, 400 * time.Millisecond
				placementRunner := newTestRunner(t, delayedObserver{after: time.Now().Add(reports)})
				placementRunner.Configure(engineTargets(current.Load()))
				placer := &placer{placementRunner: placementRunner, current: current.Load, homeZone: "z-1"}
				time.AfterFunc(adoption, func() {
					current.Store(compile(t, strings.Replace(twoRegions, test.old, test.replacement, 1), 2))
					placementRunner.Configure(engineTargets(current.Load()))
				})
				job := &dispatch.Job{
					ID: "r", Tenant: "t", Service: "s", Model: "m", Versions: []ident.ModelVersion{"v1"},
					Prompt: strings.Repeat("long shared prompt ", 20), PlacementDeadline: time.Now().Add(5 * time.Second),
				}
				if test.prepare != nil {
					test.prepare(job)
				}
				placed, err := placer.Place(t.Context(), job)
				check.Equal(placed.Engine, test.engine)
				check.Equal(placed.Version, test.version)
				if test.engine == "" {
					check.True(fault.Is(err, fault.NoPermittedEngine))
					check.Equal(fault.From(err).Ran, fault.RanNo)
					check.True(fault.From(err).RetryAfter > 0)
				}
			})
		})
	}
}

// transferLog is an engine.Transferer that records its requests.
type transferLog struct{ exports, imports []protocol.TransferRequest }

func (l *transferLog) Export(_ context.Context, _ string, request protocol.TransferRequest) ([]byte, error) {
	l.exports = append(l.exports, request)
	return []byte("blocks"), nil
}

func (l *transferLog) Import(_ context.Context, _ string, request protocol.TransferRequest, _ []byte) (protocol.TransferResult, error) {
	l.imports = append(l.imports, request)
	return protocol.TransferResult{}, nil
}

// Blocks must be exported only from permitted zones and from the incarnation that
// cached them, under the salt of the request's tenant and version, and imported
// into the chosen incarnation.
func TestTransferredBlocksStayWithTenantAndPlace(t *testing.T) {
	compiled := compile(t, twoRegions, 1)
	for source, transfers := range map[ident.Engine]int{"e-1": 1, "e-2": 0, "e-9": 0, "": 0} {
		check := is.New(t)
		log := &transferLog{}
		placer := &placer{transfers: log, current: func() *fleet.Compiled { return compiled }, homeZone: "z-1"}
		placementJob := placer.newPlacementJob(&dispatch.Job{ID: "r", Tenant: "t", Model: "m", Prompt: strings.Repeat("long shared prompt ", 20)}, compiled)
		chosen := framework.Candidate{Endpoint: &framework.Endpoint{Engine: "e-3", Incarnation: "incarnation-3"}, Version: "v1"}
		placer.transferBlocks(t.Context(), placementJob, placement.Placed{Job: placementJob, Candidate: chosen, MoveFrom: source, MoveFromIncarnation: "incarnation-1"}, compiled)
		check.Equal(len(log.exports), transfers)
		check.Equal(len(log.imports), transfers)
		if transfers > 0 {
			salt := prefix.Namespace{Tenant: "t", Model: "m", Version: "v1"}.Salt()
			check.Equal(log.exports[0].Salt, salt)
			check.Equal(log.exports[0].ExpectedIncarnation, ident.Incarnation("incarnation-1"))
			check.Equal(log.imports[0].Salt, salt)
			check.Equal(log.exports[0].Hashes, placementJob.Request.Chains["v1"])
			check.Equal(log.imports[0].ExpectedIncarnation, ident.Incarnation("incarnation-3"))
		}
	}
}

// strictTransferer refuses transfers for another incarnation than its engine's, as
// engines do, and counts imports.
type strictTransferer struct{ imported int }

func (s *strictTransferer) Export(_ context.Context, address string, request protocol.TransferRequest) ([]byte, error) {
	if request.ExpectedIncarnation != ident.Incarnation(address+" incarnation") {
		return nil, fault.New(fault.BackendRefused, "another incarnation is in force")
	}
	return []byte("blocks"), nil
}

func (s *strictTransferer) Import(
	_ context.Context, address string, request protocol.TransferRequest, blocks []byte,
) (protocol.TransferResult, error) {
	if request.ExpectedIncarnation == ident.Incarnation(address+" incarnation") && string(blocks) == "blocks" {
		s.imported++
	}
	return protocol.TransferResult{}, nil
}

// A transfer must name the incarnations of both engines and stay in the permitted
// zones.
func TestTransferNamesBothIncarnations(t *testing.T) {
	for _, test := range []struct {
		name        string
		zones       map[ident.Zone]bool
		incarnation ident.Incarnation
		imported    int
	}{
		{"permitted", map[ident.Zone]bool{"z-1": true, "z-2": true}, "127.0.0.1:7002 incarnation", 1},
		{"source in a forbidden zone", map[ident.Zone]bool{"z-1": true}, "127.0.0.1:7002 incarnation", 0},
		{"source in another incarnation", map[ident.Zone]bool{"z-1": true, "z-2": true}, "earlier", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			transfers := &strictTransferer{}
			placed := placement.Placed{MoveFrom: "e-2", MoveFromIncarnation: test.incarnation}
			placed.Candidate.Endpoint = &framework.Endpoint{Engine: "e-1", Address: "127.0.0.1:7001", Incarnation: "127.0.0.1:7001 incarnation"}
			placementJob := &placement.Job{Request: framework.Request{Tenant: "t", Zones: test.zones}}
			(&placer{transfers: transfers}).transferBlocks(t.Context(), placementJob, placed, compile(t, twoRegions, 1))
			is.New(t).Equal(transfers.imported, test.imported)
		})
	}
}
