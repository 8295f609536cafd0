package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/standin/workload"
)

// Bounds of the dispatcher, as in the router process.
const (
	maxAttempts  = 6
	continueHold = 5 * time.Second
)

// maxRouterAttempts bounds a caller's attempts to find a live router.
const maxRouterAttempts = 50

// exchange is one request of a caller from arrival to end.
type exchange struct {
	simulation         *simulation
	arrival            workload.Arrival
	id                 ident.Request
	number             int
	tenant             *fleet.TenantEntry
	service            *fleet.ServiceEntry
	class              *fleet.Class
	salt               prefix.Salt
	measured           bool
	arrivedAt          time.Time
	holdUntil          time.Time
	routerAttempts     int
	attempts           int
	text               strings.Builder
	tokens             int
	started            bool
	excluded           map[ident.Engine]bool
	incarnationRetried map[ident.Engine]bool
	firstToken         time.Duration
	ended              bool
}

// arrive adds a request that its caller sends now.
func (s *simulation) arrive(arrival workload.Arrival, source string) {
	tenant, known := s.prepared.fleet.Tenant(arrival.Tenant)
	service, offered := s.prepared.fleet.Service(arrival.Service)
	if !known || !offered || service.Model == nil {
		s.fail("the fleet file lacks tenant %q or model service %q", arrival.Tenant, arrival.Service)
		return
	}
	class, found := service.Class(arrival.Class)
	if !found {
		s.fail("service %q has no class %q", arrival.Service, arrival.Class)
		return
	}
	namespace := prefix.Namespace{Tenant: tenant.Name, Model: service.Model.Name, Version: service.Model.Version}
	s.measures.arrivals++
	s.openRequests++
	arrived := &exchange{
		simulation: s, arrival: arrival, number: s.measures.arrivals,
		id:     ident.Request(fmt.Sprintf("%s-%06d", source, arrival.Number)),
		tenant: tenant, service: service, class: class, salt: namespace.Salt(),
		measured:           arrival.At >= s.prepared.scenario.Warmup,
		arrivedAt:          s.clock.now,
		holdUntil:          s.clock.now.Add(hopToClient + class.MaxHold),
		excluded:           make(map[ident.Engine]bool),
		incarnationRetried: make(map[ident.Engine]bool),
	}
	if arrived.measured {
		s.measures.offered++
	}
	s.clock.after(hopToClient, arrived.assignRouter)
}

// assignRouter offers the request to a random live router, preferably in the
// tenant's zones.
func (x *exchange) assignRouter() {
	s := x.simulation
	var near, far []*routerNode
	for _, router := range s.routers {
		switch {
		case !router.alive:
		case x.tenant.Zones.Has(router.zone):
			near = append(near, router)
		default:
			far = append(far, router)
		}
	}
	if len(near) == 0 {
		near = far
	}
	x.routerAttempts++
	if len(near) == 0 && x.routerAttempts < maxRouterAttempts {
		s.clock.after(clientRetryDelay, x.assignRouter)
		return
	}
	if len(near) == 0 {
		x.end(OutcomeUnreachable)
		return
	}
	x.offer(near[s.random.IntN(len(near))])
}

// offer queues the request at a router for placement.
func (x *exchange) offer(router *routerNode) {
	now := x.simulation.clock.now
	text := x.arrival.Prompt + x.text.String()
	chain := prefix.ChainOf(x.salt, text, prefix.DefaultBlockTokens)
	x.simulation.exact.addSalt(x.salt, chain)
	zones := make(map[ident.Zone]bool)
	for _, zone := range x.tenant.Zones.List() {
		zones[zone] = true
	}
	version := x.service.Model.Version
	router.waiting[x.id] = x
	router.apply(router.core.Offer(now, &placement.Job{
		Key:     placement.AttemptKeyOf(x.id, ident.Attempt(x.attempts+1)),
		Weight:  x.tenant.Share,
		MaxHold: max(0, x.holdUntil.Sub(now)),
		Request: framework.Request{
			ID: x.id, Tenant: x.tenant.Name, Service: x.service.Name,
			Class: x.class.Name, Priority: x.class.Priority,
			Model: x.service.Model.Name, Versions: []ident.ModelVersion{version},
			Zones: zones, Chains: map[ident.ModelVersion]prefix.Chain{version: chain},
			BlockTokens: prefix.DefaultBlockTokens, PromptTokens: prefix.Tokens(text),
			RecomputationWeight: x.service.Objective.RecomputationWeight,
			Excluded:            x.excluded, HomeZone: router.zone,
		},
	}))
}

// end ends the request; a second call fails the simulation.
func (x *exchange) end(outcome Outcome) {
	if x.ended {
		x.simulation.fail("request %s ended twice", x.id)
		return
	}
	x.ended = true
	x.simulation.openRequests--
	x.simulation.measures.recordEnded(x, outcome)
}

// retry offers the request again after a failed attempt, or ends it.
func (x *exchange) retry(failed *attempt, refusal *protocol.Refusal, outcome Outcome) {
	now := x.simulation.clock.now
	allTokensReceived := x.tokens > 0 && x.tokens >= x.arrival.MaxTokens
	if x.attempts >= maxAttempts || allTokensReceived || !failed.router.budget.Allow(now) {
		x.end(outcome)
		return
	}
	newIncarnation := refusal != nil && refusal.Incarnation != "" && refusal.Incarnation != failed.incarnation
	if newIncarnation && !x.incarnationRetried[failed.engine.name] {
		x.incarnationRetried[failed.engine.name] = true
	} else {
		x.excluded[failed.engine.name] = true
	}
	if x.started {
		x.holdUntil = maxTime(x.holdUntil, now.Add(continueHold))
	}
	x.offer(failed.router)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sortExchanges(all []*exchange) {
	slices.SortFunc(all, func(a, b *exchange) int { return a.number - b.number })
}

// mostCachedBlocks returns the largest number of leading blocks of a chain
// cached by any engine in the tenant's zones.
func (x *exchange) mostCachedBlocks(chain prefix.Chain) int {
	best := 0
	for _, engine := range x.simulation.engines {
		if engine.model.Alive() && x.tenant.Zones.Has(engine.zone) {
			best = max(best, engine.model.CachedPrefixBlocks(x.salt, chain))
		}
	}
	return best
}

// Outcome is how a request ended.
type Outcome string

const (
	// OutcomeAnswered is a complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeUnreachable means that the caller found no live router.
	OutcomeUnreachable Outcome = "no_router"
	// OutcomeLost means that the engine of the last attempt failed.
	OutcomeLost Outcome = Outcome(fault.BackendLost)
	// OutcomeBackendRefused means that the engine refused the last attempt.
	OutcomeBackendRefused Outcome = Outcome(fault.BackendRefused)
	// OutcomeLate means that the last attempt had no first token in time.
	OutcomeLate Outcome = Outcome(fault.DeadlineExceeded)
)
