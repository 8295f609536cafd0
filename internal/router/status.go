package router

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/fieldpond/fieldpond/internal/control"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/status"
)

// statusTimeout bounds reading the state of the placement runner.
const statusTimeout = 2 * time.Second

// handler returns the handler of every route of the process: callers,
// operators (read only) and other routers.
func (r *Router) handler() (http.Handler, error) {
	peers, err := r.peerHandler()
	if err != nil {
		return nil, err
	}
	routes := mux.NewRouter().SkipClean(true)
	routes.HandleFunc(status.Path, r.serveStatus).Methods(http.MethodGet)
	routes.Handle("/metrics", r.telemetry.Handler()).Methods(http.MethodGet)
	routes.PathPrefix("/peer/v1/").Handler(peers)
	routes.PathPrefix("/").Handler(r.api.Handler())
	return routes, nil
}

func (r *Router) serveStatus(writer http.ResponseWriter, request *http.Request) {
	bounded, cancel := context.WithTimeout(request.Context(), statusTimeout)
	defer cancel()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(r.status(bounded))
}

// status collects the state of every component. Engines, queue and decisions are
// empty if the placement runner does not answer in time.
func (r *Router) status(ctx context.Context) status.Router {
	ref := r.syncer.CurrentRef()
	report := status.Router{
		Node:         ident.Node(r.settings.Node),
		Zone:         ident.Zone(r.settings.Zone),
		State:        string(r.state()),
		FleetVersion: uint64(ref.Version),
		FleetDigest:  string(ref.Digest),
	}
	for _, member := range r.view().Members {
		report.Members = append(report.Members, statusMember(member))
	}
	if state, err := r.placementRunner.State(ctx); err == nil {
		report.Engines = statusEngines(state.Endpoints)
		report.Queue = statusQueue(state)
		report.Decisions = status.Decisions(state.Decisions)
	}
	report.Applications = r.apps.status(time.Now())
	claims := r.claims.Counters()
	report.Claims = status.Claims{Granted: claims.Granted, AlreadyClaimed: claims.AlreadyClaimed, Refused: claims.Refused, Waiting: claims.Waiting}
	gossip := r.members.Counters()
	report.Gossip = status.Gossip{
		BytesSent: gossip.BytesSent, BytesReceived: gossip.BytesReceived, Refused: gossip.Refused, Unsent: gossip.Unsent,
	}
	report.Control = statusControl(r.control.Status())
	for _, read := range r.rings() {
		counted := read()
		report.Rings = append(report.Rings, status.Ring{
			Name: counted.Name, Depth: counted.Depth, Capacity: counted.Capacity, Dropped: counted.Dropped,
		})
	}
	return report
}

func statusQueue(state placement.State) status.Queue {
	queue := status.Queue{InFlight: state.InFlight}
	for _, priority := range slices.Sorted(maps.Keys(state.Waiting)) {
		waiting := state.Waiting[priority]
		queue.Waiting += waiting
		queue.ByPriority = append(queue.ByPriority, status.PriorityDepth{Priority: priority, Waiting: waiting})
	}
	return queue
}

func statusControl(groups []control.GroupStatus) []status.ControlGroup {
	var shown []status.ControlGroup
	for _, group := range groups {
		shown = append(shown, status.ControlGroup{
			Lease: group.Lease, Held: group.Held, Fence: group.Fence, Holder: group.Holder, Contenders: group.Contenders,
			Engines: group.Counters.Engines, Settled: group.Counters.Settled,
			Loading: group.Counters.Loading, Orders: group.Counters.Orders, Retried: group.Counters.Retries,
			Refused: group.Counters.Refused, PostponedUnloads: group.Counters.Guarded,
			StaleFences: group.Counters.StaleFences + group.Leases.StaleFences,
		})
	}
	return shown
}

func statusMember(member membership.Member) status.Member {
	return status.Member{
		Node: member.Node, Zone: member.Zone, Address: member.HTTPAddress,
		State: member.State.String(), FleetVersion: member.FleetVersion,
	}
}

func statusEngines(endpoints []framework.Endpoint) []status.Engine {
	var engines []status.Engine
	for _, endpoint := range endpoints {
		shown := status.Engine{
			Engine: endpoint.Engine, Zone: endpoint.Zone, Incarnation: endpoint.Incarnation,
			Alive: endpoint.Alive, Draining: endpoint.Draining,
			Running: endpoint.Load.Running, Waiting: endpoint.Load.Waiting,
			QueuedPrefillTokens: int(endpoint.Load.QueuedPrefillTokens),
			OwnInFlight:         endpoint.Load.OwnInFlight, ConcurrencyLimit: endpoint.Load.ConcurrencyLimit,
		}
		for _, loaded := range endpoint.Loaded {
			shown.Loaded = append(shown.Loaded, status.Loaded{Model: loaded.Model, Version: loaded.Version})
		}
		engines = append(engines, shown)
	}
	return engines
}
