package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/status"
)

const (
	// applicationConcurrency limits this router's concurrent calls to one application.
	applicationConcurrency = 64
	// applicationRetryAfter is sent to callers when no application may be called.
	applicationRetryAfter = time.Second
)

// applicationPlacer implements dispatch.ApplicationPlacer. It chooses the live
// application with the fewest calls of this router, its own zone first.
// Applications are few and have no cache, so there is no queue: a request is
// refused if all of them are at their limit.
type applicationPlacer struct {
	current  func() *fleet.Compiled
	homeZone ident.Zone
	// onDraining is called once per draining incarnation, with the mutex held. It
	// must not block.
	onDraining func(name ident.Application, incarnation ident.Incarnation)
	mutex      sync.Mutex
	// health is keyed by application name; see backendName.
	health *endpoint.Registry
	calls  map[ident.Application]int
}

func newApplicationPlacer(current func() *fleet.Compiled, homeZone ident.Zone) *applicationPlacer {
	return &applicationPlacer{
		current:    current,
		homeZone:   homeZone,
		onDraining: func(ident.Application, ident.Incarnation) {},
		health:     endpoint.NewRegistry(),
		calls:      make(map[ident.Application]int),
	}
}

// backendName returns the name of an application in the endpoint registry, which
// identifies back ends of every kind by name.
func backendName(name ident.Application) ident.Engine { return ident.Engine(name) }

// PlaceApplication implements dispatch.ApplicationPlacer.
func (p *applicationPlacer) PlaceApplication(_ context.Context, job *dispatch.ApplicationJob) (dispatch.ApplicationPlacement, error) {
	compiled := p.current()
	if compiled == nil {
		return dispatch.ApplicationPlacement{}, fault.New(fault.NotReady, "this router has no fleet file yet")
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	candidates := p.permitted(compiled, job)
	if len(candidates) == 0 {
		return dispatch.ApplicationPlacement{}, fault.New(fault.NoPermittedEngine,
			"no application is available for service %q", job.Service).WithRetryAfter(applicationRetryAfter)
	}
	chosen := slices.MinFunc(candidates, p.compare)
	if p.calls[chosen.Name] >= applicationConcurrency {
		return dispatch.ApplicationPlacement{}, fault.New(fault.Overloaded,
			"every application of service %q is at its limit", job.Service).WithRetryAfter(applicationRetryAfter)
	}
	p.calls[chosen.Name]++
	return dispatch.ApplicationPlacement{
		Application: chosen.Name,
		Address:     chosen.Address,
		Zone:        chosen.Zone,
		Release:     func(result dispatch.Result) { p.release(chosen.Name, result) },
	}, nil
}

// permitted returns the applications that may get the job, including those that
// have not reported yet, so that a router serves right after its start.
func (p *applicationPlacer) permitted(compiled *fleet.Compiled, job *dispatch.ApplicationJob) []*fleet.Application {
	service, known := compiled.Service(job.Service)
	if !known {
		return nil
	}
	unavailable := make(map[ident.Engine]bool)
	for _, backend := range p.health.Endpoints(time.Now()) {
		unavailable[backend.Engine] = backend.Draining || p.health.Dead(backend.Engine)
	}
	zones := compiled.PermittedZones(job.Tenant)
	var permitted []*fleet.Application
	for _, application := range service.Applications {
		if zones.Has(application.Zone) && !job.Excluded[application.Name] && !unavailable[backendName(application.Name)] {
			permitted = append(permitted, application)
		}
	}
	return permitted
}

func (p *applicationPlacer) compare(a, b *fleet.Application) int {
	return cmp.Or(
		cmp.Compare(p.zoneRank(a.Zone), p.zoneRank(b.Zone)),
		cmp.Compare(p.calls[a.Name], p.calls[b.Name]),
		cmp.Compare(a.Name, b.Name))
}

func (p *applicationPlacer) zoneRank(zone ident.Zone) int {
	if zone == p.homeZone {
		return 0
	}
	return 1
}

func (p *applicationPlacer) release(name ident.Application, result dispatch.Result) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls[name]--
	p.health.ObserveIncarnation(backendName(name), result.Incarnation)
	switch {
	case result.Outcome == dispatch.OutcomeUnreachable:
		p.health.ObserveUnreachable(backendName(name))
	case result.Refusal == protocol.RefusalDraining:
		p.notifyDraining(p.health.ObserveDraining(time.Now(), backendName(name), result.Incarnation))
	}
}

// configure sets the applications of a fleet file.
func (p *applicationPlacer) configure(compiled *fleet.Compiled) {
	targets := make([]endpoint.Target, 0, len(compiled.Document.Applications))
	for _, application := range compiled.Document.Applications {
		targets = append(targets, endpoint.Target{
			Engine: backendName(application.Name), Address: application.Address, Zone: application.Zone,
			Draining: application.State == fleet.BackendDraining,
		})
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.health.Configure(targets)
}

// observeDraining records that another router observed an application draining.
func (p *applicationPlacer) observeDraining(name ident.Application, incarnation ident.Incarnation) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.notifyDraining(p.health.ObserveDraining(time.Now(), backendName(name), incarnation))
}

// applyMachineList applies a machine list: for each application, whether its
// machine is draining.
func (p *applicationPlacer) applyMachineList(draining map[ident.Application]bool) {
	listed := make(map[ident.Engine]bool, len(draining))
	for name, isDraining := range draining {
		listed[backendName(name)] = isDraining
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.notifyDraining(p.health.ApplyMachineList(time.Now(), listed))
}

// notifyDraining calls onDraining for the applications that began to drain.
func (p *applicationPlacer) notifyDraining(changes []endpoint.Change) {
	for _, change := range changes {
		if change.Kind == endpoint.ChangeDraining {
			p.onDraining(ident.Application(change.Engine), change.Incarnation)
		}
	}
}

// poll records the reports that have arrived and requests those that are due.
func (p *applicationPlacer) poll(poller *endpoint.Poller, interval time.Duration, budget int) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for answer, ok := poller.Results().Pop(); ok; answer, ok = poller.Results().Pop() {
		if !p.health.HasAddress(answer.Engine, answer.Address) {
			continue
		}
		if answer.Err != nil {
			p.health.ObserveReportFailure(answer.Engine)
			continue
		}
		p.notifyDraining(p.health.ObserveReport(now, answer.Engine, answer.Report))
	}
	poller.Enqueue(p.health.Due(now, interval, budget))
}

// status returns the state of every application.
func (p *applicationPlacer) status(now time.Time) []status.Application {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var applications []status.Application
	for _, backend := range p.health.Endpoints(now) {
		name := ident.Application(backend.Engine)
		applications = append(applications, status.Application{
			Application: name, Zone: backend.Zone, Incarnation: backend.Incarnation,
			Alive: backend.Alive, Draining: backend.Draining, Running: backend.Load.Running, OwnInFlight: p.calls[name],
		})
	}
	return applications
}
