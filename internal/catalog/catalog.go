// Package catalog holds the active configuration: routes, services, tenants and limits.
// Only adapters depend on the source and format of a configuration.
//
// A Snapshot is immutable. Holder keeps the newest one, with the time at which it was last
// confirmed to be the newest.
package catalog

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/region"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Kind is the kind of a route's requests.
type Kind uint8

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once for each client attempt.
	Unsafe
	// Streaming requests are answered with a stream of events.
	Streaming
)

// Share is one service's part of a route's traffic.
type Share struct {
	Service ident.Service
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route configures requests with one host and path prefix.
type Route struct {
	Name string
	// Host matches the request's host, PathPrefix the start of its path; the longest
	// prefix of a host wins.
	Host, PathPrefix string
	Kind             Kind
	// Resumable streams may be continued by another engine after the last event that the
	// client received.
	Resumable bool
	// Public routes need no API key.
	Public bool
	// Timeout bounds the time of a request. Target is the latency objective of an answer
	// (a stream's first event), GapTarget that of the gap between two events.
	Timeout, Target, GapTarget time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the engines that one request may run on.
	MaxAttempts int
	Split       []Share
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service ident.Service) bool {
	return slices.ContainsFunc(r.Split, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// EngineProfile describes the model engines of a service.
type EngineProfile struct {
	// Slots is the number of requests that an engine batches.
	Slots int
	// CacheTokens is the capacity of an engine's memory.
	CacheTokens int
}

// Service is a group of back ends that serve the same requests.
type Service struct {
	Name ident.Service
	// MaxConnections bounds the connections of all routers together to one back end; 0
	// means that no limit is known.
	MaxConnections int
	// Engine is nil for a service that runs no model.
	Engine *EngineProfile
	// CacheStore is the address of a prompt cache store, if the service is one; such a
	// service has no back ends.
	CacheStore netip.AddrPort
	// Zone is the zone of a prompt cache store.
	Zone ident.Zone
}

// Tenant is a customer, identified by its API keys.
type Tenant struct {
	Name ident.Tenant
	// Priority takes precedence over the priority of the route; 0 is the most urgent.
	Priority int
	// Isolated tenants share no cached prompts with others.
	Isolated bool
	// Limit is the tenant's rate limit over all routers, in tokens if CountsTokens is set,
	// else in requests.
	Limit        quota.Limit
	CountsTokens bool
	// DefaultTokens is the cost of a request that does not state its tokens.
	DefaultTokens float64
}

// Amount returns what a request with the given tokens, 0 if not stated, uses of the
// tenant's limit.
func (t *Tenant) Amount(tokens int) float64 {
	switch {
	case !t.CountsTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return t.DefaultTokens
	}
}

// Limits bound the size and duration of client requests.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Content is what a Snapshot is built from.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Keys maps each API key to its tenant; nil means that no route needs one.
	Keys   map[string]*Tenant
	Limits Limits
	// RoutesIncomplete and KeysIncomplete are whether some routes or keys could not be decoded.
	RoutesIncomplete, KeysIncomplete bool
	// Problems describe the parts that could not be decoded.
	Problems []string
}

// Snapshot is one version of the configuration. It is immutable.
type Snapshot struct {
	Version  uint64
	Limits   Limits
	keys     map[string]*Tenant
	services map[ident.Service]*Service
	// routes holds the routes of each host, longest prefix first.
	routes map[string][]*Route
	// stores are the prompt cache stores.
	stores []*Service
	// limited is true if any tenant has a limit.
	limited bool
	// routesIncomplete and keysIncomplete are whether some routes or keys could not be decoded.
	routesIncomplete, keysIncomplete bool
	problems                         []string
}

// NewSnapshot indexes a configuration.
func NewSnapshot(content Content) *Snapshot {
	snapshot := &Snapshot{
		Version:  content.Version,
		Limits:   content.Limits,
		keys:     content.Keys,
		services: make(map[ident.Service]*Service, len(content.Services)),
		routes:   make(map[string][]*Route),

		routesIncomplete: content.RoutesIncomplete, keysIncomplete: content.KeysIncomplete, problems: content.Problems,
	}
	for index := range content.Services {
		service := &content.Services[index]
		snapshot.services[service.Name] = service
		if service.CacheStore.IsValid() {
			snapshot.stores = append(snapshot.stores, service)
		}
	}
	for _, tenant := range content.Keys {
		snapshot.limited = snapshot.limited || tenant.Limit.Limited()
	}
	for index := range content.Routes {
		route := &content.Routes[index]
		snapshot.routes[route.Host] = append(snapshot.routes[route.Host], route)
	}
	for _, routes := range snapshot.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return snapshot
}

// Problems describes the parts of the configuration that could not be decoded.
func (s *Snapshot) Problems() []string { return s.problems }

// KnowsRoutes reports whether there are no other routes than those of the snapshot.
func (s *Snapshot) KnowsRoutes() bool { return !s.routesIncomplete }

// KnowsKeys reports whether there are no other keys than those of the snapshot.
func (s *Snapshot) KnowsKeys() bool { return !s.keysIncomplete }

// Match returns the route of a host and path, or nil.
func (s *Snapshot) Match(host, path string) *Route {
	for _, route := range s.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Authenticates reports whether routes that are not public need a key.
func (s *Snapshot) Authenticates() bool { return s.keys != nil }

// HasTenantLimits reports whether any tenant has a limit.
func (s *Snapshot) HasTenantLimits() bool { return s.limited }

// Tenant returns the tenant of an API key, or nil.
func (s *Snapshot) Tenant(key string) *Tenant { return s.keys[key] }

// Service returns a service, or nil.
func (s *Snapshot) Service(name ident.Service) *Service { return s.services[name] }

// CacheStore returns the prompt cache store of the prompts with a key, the same at every
// router, or nil if there is none. Stores in the zone of the prompt's home engine come
// first, then those in its region, since transfers between zones and regions are slower;
// several stores at the same distance share the prompts by rendezvous hashing.
func (s *Snapshot) CacheStore(regions region.Map, zone ident.Zone, key uint64) *Service {
	var best *Service
	var bestScore uint64
	bestDistance := region.OtherRegion
	for _, store := range s.stores {
		name := ident.Engine(store.Name)
		score := rendezvous.Score(key, name)
		distance := regions.Between(zone, store.Zone)
		switch {
		case best == nil || distance < bestDistance:
		case distance > bestDistance:
			continue
		case !rendezvous.RanksAbove(score, name, bestScore, ident.Engine(best.Name)):
			continue
		}
		best, bestScore, bestDistance = store, score, distance
	}
	return best
}

// CacheStores returns the addresses of all prompt cache stores.
func (s *Snapshot) CacheStores() []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(s.stores))
	for _, store := range s.stores {
		addrs = append(addrs, store.CacheStore)
	}
	return addrs
}

// RouteCount returns the number of routes.
func (s *Snapshot) RouteCount() int {
	count := 0
	for _, routes := range s.routes {
		count += len(routes)
	}
	return count
}
