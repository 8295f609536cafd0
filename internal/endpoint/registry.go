// Package endpoint keeps what one router knows of the engines of the fleet
// file: which process life (incarnation) each is in, whether it is alive or
// leaving, what it has loaded, and how long its queue is by now.
//
// Registry is a state machine without I/O: inputs are events and a time.
// Poller is the shell that reads load reports from the engines.
package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/load"
)

// failuresUntilDead is the number of consecutive failed reports after which an
// engine is believed dead. One lost report must not empty a cache belief.
const failuresUntilDead = 3

// retiredMemory is the number of past incarnations whose late answers are
// recognised, so that they cannot pass for a new life.
const retiredMemory = 8

// viewMaxAge is how long a whole view of the endpoints is used again. Loads
// age by at most this much less than they should, which is far below the lag of
// the reports, and a node with hundreds of engines need not go through them
// all for each decision.
const viewMaxAge = 5 * time.Millisecond

// Target is an engine as the fleet file states it.
type Target struct {
	Engine  ident.Engine
	Address string
	Zone    ident.Zone
	// Draining is true when the file takes the engine out of service.
	Draining bool
	// PrefillPerToken is assumed until the engine has reported its own.
	PrefillPerToken time.Duration
}

// ChangeKind names what changed about an engine.
type ChangeKind int

const (
	// ChangeIncarnation means the engine is in a new life, with an empty cache.
	ChangeIncarnation ChangeKind = iota
	// ChangeRevived means an engine believed dead answers again in the same life.
	ChangeRevived
	// ChangeDead means the engine is believed dead.
	ChangeDead
	// ChangeDraining means the first sign that the engine is leaving.
	ChangeDraining
	// ChangeLoaded means the set of loaded model versions changed.
	ChangeLoaded
	// ChangeRemoved means the engine is no longer in the fleet file.
	ChangeRemoved
)

// Change is one change of state, for beliefs, logs and gossip.
type Change struct {
	Kind        ChangeKind
	Engine      ident.Engine
	Incarnation ident.Incarnation
}

// Registry is the state machine. It is used by one goroutine.
type Registry struct {
	engines map[ident.Engine]*state
	order   []*state
	// view is the result of Endpoints, worked out anew once viewMaxAge has
	// gone by; entries marked stale are worked out on the next call.
	view       []framework.Endpoint
	viewAt     time.Time
	generation uint64
}

// state is what is known of one engine.
type state struct {
	target      Target
	stale       bool
	incarnation ident.Incarnation
	retired     []ident.Incarnation
	// retiredReports counts reports of past incarnations since the last of the
	// present one.
	retiredReports int
	reported       bool
	alive          bool
	failures       int
	leavingUntil   time.Time
	listedLeaving  bool
	role           string
	loaded         []framework.LoadedModel
	// queue estimates the engine's queue; a new life starts with a new one.
	queue         *load.Tracker
	limit         int
	lastCandidate time.Time
	lastAsked     time.Time
}

// AttemptKey identifies one attempt of one request.
type AttemptKey = load.AttemptKey

// NewRegistry returns a registry that knows no engine.
func NewRegistry() *Registry {
	return &Registry{engines: make(map[ident.Engine]*state)}
}

// Configure takes over the engines of a fleet file. What is known of engines
// that stay at the same address is kept.
func (r *Registry) Configure(targets []Target) []Change {
	var changes []Change
	next := make(map[ident.Engine]*state, len(targets))
	for _, target := range targets {
		known := r.engines[target.Engine]
		if known == nil || known.target.Address != target.Address {
			known = &state{queue: load.NewTracker(target.PrefillPerToken)}
		}
		known.target = target
		next[target.Engine] = known
	}
	for name, previous := range r.engines {
		if next[name] != previous {
			changes = append(changes, Change{ChangeRemoved, name, previous.incarnation})
		}
	}
	r.engines = next
	r.order = r.order[:0]
	for _, known := range next {
		r.order = append(r.order, known)
	}
	slices.SortFunc(r.order, func(a, b *state) int { return cmp.Compare(a.target.Engine, b.target.Engine) })
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Engine, b.Engine) })
	r.generation++
	r.view = r.view[:0]
	return changes
}

// Generation changes whenever the positions of engines in Endpoints may have
// changed. It is zero before the first Configure.
func (r *Registry) Generation() uint64 { return r.generation }

// find returns the state of an engine that is about to change, or nil.
func (r *Registry) find(engine ident.Engine) *state {
	known := r.engines[engine]
	if known != nil {
		known.stale = true
	}
	return known
}

// ObserveReport takes in a load report that arrived at now.
func (r *Registry) ObserveReport(now time.Time, engine ident.Engine, report protocol.LoadReport) []Change {
	known := r.find(engine)
	if known == nil {
		return nil
	}
	if slices.Contains(known.retired, report.Incarnation) && !known.returned() {
		return nil
	}
	known.retiredReports = 0
	changes := known.live(engine, report.Incarnation)
	loaded := convertLoaded(report.Loaded)
	if !equalLoaded(loaded, known.loaded) {
		changes = append(changes, Change{ChangeLoaded, engine, report.Incarnation})
	}
	known.loaded = loaded
	known.role = report.Role
	known.queue.Report(now, report)
	known.reported = true
	if report.Leaving {
		changes = append(changes, known.leaving(now, engine)...)
	}
	return changes
}

// ObserveReportFailure takes in that a report could not be read.
func (r *Registry) ObserveReportFailure(engine ident.Engine) []Change {
	known := r.find(engine)
	if known == nil {
		return nil
	}
	known.failures++
	if known.failures < failuresUntilDead {
		return nil
	}
	return known.dead(engine)
}

// ObserveUnreachable takes in that a connection to the engine was refused or reset
// before a byte was exchanged. It is believed dead until its next report.
func (r *Registry) ObserveUnreachable(engine ident.Engine) []Change {
	known := r.find(engine)
	if known == nil {
		return nil
	}
	return known.dead(engine)
}

// ObserveIncarnation takes in the incarnation that an answer or a refusal of the
// engine carried.
func (r *Registry) ObserveIncarnation(engine ident.Engine, incarnation ident.Incarnation) []Change {
	known := r.find(engine)
	if known == nil || incarnation == "" || slices.Contains(known.retired, incarnation) {
		return nil
	}
	return known.live(engine, incarnation)
}

// Dead reports whether the engine answered once and is believed dead now.
func (r *Registry) Dead(engine ident.Engine) bool {
	known := r.engines[engine]
	return known != nil && known.incarnation != "" && !known.alive
}

// SetLimit sets the limit on this router's own attempts on the engine.
func (r *Registry) SetLimit(engine ident.Engine, limit int) {
	if known := r.engines[engine]; known != nil {
		known.limit = limit
	}
}

// Sent takes in that an attempt with so many tokens to prefill left for the engine.
func (r *Registry) Sent(now time.Time, engine ident.Engine, key AttemptKey, prefillTokens int) {
	known := r.find(engine)
	if known == nil {
		return
	}
	known.queue.Dispatched(now, key, float64(prefillTokens))
}

// FirstToken takes in that the engine has prefilled the attempt's prompt.
func (r *Registry) FirstToken(now time.Time, engine ident.Engine, key AttemptKey) {
	if known := r.find(engine); known != nil {
		known.queue.FirstToken(now, key)
	}
}

// Ended takes in that an attempt is over, however it ended.
func (r *Registry) Ended(now time.Time, engine ident.Engine, key AttemptKey) {
	if known := r.find(engine); known != nil {
		known.queue.Finished(now, key)
	}
}

// HasAddress reports whether the fleet file in force has the engine at this address.
// What is heard from another one tells nothing about the engine.
func (r *Registry) HasAddress(engine ident.Engine, address string) bool {
	known := r.engines[engine]
	return known != nil && known.target.Address == address
}

// Incarnation returns the engine's known incarnation, empty when unknown.
func (r *Registry) Incarnation(engine ident.Engine) ident.Incarnation {
	if known := r.engines[engine]; known != nil {
		return known.incarnation
	}
	return ""
}

// AwaitingReports reports whether no fleet file has come yet, or an engine in one of
// the zones has neither reported yet nor failed to often enough to count as
// dead. A router that has just started holds requests until it knows, instead of
// refusing them.
func (r *Registry) AwaitingReports(zones map[ident.Zone]bool) bool {
	if r.generation == 0 {
		return true
	}
	for _, known := range r.order {
		if zones[known.target.Zone] && !known.reported && known.failures < failuresUntilDead {
			return true
		}
	}
	return false
}

// InFlight returns the number of this router's own attempts on the engine.
func (r *Registry) InFlight(engine ident.Engine) int {
	if known := r.engines[engine]; known != nil {
		return known.queue.InFlight()
	}
	return 0
}

// Endpoints returns what is known of every engine at the given time, sorted by
// name. The slice is reused by the next call.
func (r *Registry) Endpoints(now time.Time) []framework.Endpoint {
	whole := len(r.view) != len(r.order) || now.Sub(r.viewAt) > viewMaxAge || now.Before(r.viewAt)
	if whole {
		r.view = slices.Grow(r.view[:0], len(r.order))[:len(r.order)]
		r.viewAt = now
	}
	for index, known := range r.order {
		if whole || known.stale {
			r.view[index] = known.endpoint(now)
			known.stale = false
		}
	}
	return r.view
}

// live records that the engine answered in the given incarnation.
func (s *state) live(engine ident.Engine, incarnation ident.Incarnation) []Change {
	revived := !s.alive
	s.failures = 0
	s.alive = true
	if incarnation == s.incarnation && revived {
		return []Change{{ChangeRevived, engine, incarnation}}
	}
	if incarnation == s.incarnation {
		return nil
	}
	s.retire()
	s.incarnation = incarnation
	s.leavingUntil = time.Time{}
	s.reported = false
	s.loaded = nil
	s.role = ""
	s.queue = load.NewTracker(s.target.PrefillPerToken)
	return []Change{{ChangeIncarnation, engine, incarnation}}
}

// retire remembers the incarnation that has just been replaced.
func (s *state) retire() {
	if s.incarnation == "" {
		return
	}
	s.retired = append(s.retired, s.incarnation)
	if len(s.retired) > retiredMemory {
		s.retired = s.retired[1:]
	}
}

// returned counts a report of a past incarnation, and reports whether there
// were so many in a row that it is the present one after all: two lives were
// heard of in the wrong order. Without this the engine would be lost for good.
func (s *state) returned() bool {
	s.retiredReports++
	if s.retiredReports < failuresUntilDead {
		return false
	}
	s.retired = nil
	return true
}

func (s *state) dead(engine ident.Engine) []Change {
	if !s.alive {
		return nil
	}
	s.alive = false
	return []Change{{ChangeDead, engine, s.incarnation}}
}

func (s *state) endpoint(now time.Time) framework.Endpoint {
	role := s.role
	if role == "" {
		role = roleMixed
	}
	return framework.Endpoint{
		Engine:      s.target.Engine,
		Address:     s.target.Address,
		Zone:        s.target.Zone,
		Incarnation: s.incarnation,
		Alive:       s.alive && s.reported,
		Leaving:     s.target.Draining || s.listedLeaving || now.Before(s.leavingUntil),
		Role:        role,
		Loaded:      s.loaded,
		Load:        s.load(now),
	}
}

// load estimates the engine's queue as of now.
func (s *state) load(now time.Time) framework.Load {
	estimate := s.queue.Load(now)
	estimate.ConcurrencyLimit = s.limit
	return estimate
}

// roleMixed is the role of an engine that both prefills and decodes.
const roleMixed = "mixed"

func convertLoaded(reported []protocol.LoadedModel) []framework.LoadedModel {
	loaded := make([]framework.LoadedModel, 0, len(reported))
	for _, model := range reported {
		loaded = append(loaded, framework.LoadedModel{
			Model: model.Model, Version: model.Version, Adapters: model.Adapters,
		})
	}
	return loaded
}

func equalLoaded(a, b []framework.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y framework.LoadedModel) bool {
		return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}
