package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/status"
)

// statusTimeout bounds the time until the placement duty tells its state.
const statusTimeout = 2 * time.Second

// handler returns the handler of every route of the process: callers,
// operators (read only) and other routers.
func (r *Router) handler() (http.Handler, error) {
	peers, err := r.peerHandler()
	if err != nil {
		return nil, err
	}
	routes := mux.NewRouter().SkipClean(true)
	routes.HandleFunc("/status.json", r.serveStatus).Methods(http.MethodGet)
	routes.Handle("/metrics", r.telemetry.Handler()).Methods(http.MethodGet)
	routes.PathPrefix("/peer/v1/").Handler(peers)
	routes.PathPrefix("/").Handler(r.api.Handler())
	return routes, nil
}

func (r *Router) serveStatus(writer http.ResponseWriter, request *http.Request) {
	bounded, cancel := context.WithTimeout(request.Context(), statusTimeout)
	defer cancel()
	report := status.Router{
		Node:         ident.Node(r.settings.Node),
		Zone:         ident.Zone(r.settings.Zone),
		State:        string(r.state()),
		FleetVersion: uint64(r.keeper.Pair().Version),
		FleetDigest:  string(r.keeper.Pair().Digest),
	}
	for _, member := range r.view().Members {
		report.Members = append(report.Members, statusMember(member))
	}
	_ = r.duty.Inspect(bounded, func(now time.Time, core *placement.Core) {
		report.Engines = statusEngines(now, core)
		report.Queue = status.Queue{Waiting: core.Waiting(), InFlight: core.InFlight()}
		report.Decisions = status.Decisions(core.Counters)
	})
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(report)
}

func statusMember(member membership.Member) status.Member {
	return status.Member{
		Node: member.Node, Zone: member.Zone, Address: member.HTTPAddress,
		State: member.State.String(), FleetVersion: member.FleetVersion,
	}
}

func statusEngines(now time.Time, core *placement.Core) []status.Engine {
	var engines []status.Engine
	for _, endpoint := range core.Registry().Endpoints(now) {
		shown := status.Engine{
			Engine: endpoint.Engine, Zone: endpoint.Zone, Incarnation: endpoint.Incarnation,
			Alive: endpoint.Alive, Leaving: endpoint.Leaving,
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
