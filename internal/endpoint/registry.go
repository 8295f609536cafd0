// Package endpoint tracks the engines of the fleet file: the incarnation of each, whether it is
// alive or draining, what it has loaded, and the current length of its queue.
//
// Registry is a state machine without I/O: its inputs are events and a time. Poller reads the
// load reports of the engines.
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

// failuresUntilDead is the number of consecutive failed reports after which an engine counts as
// dead. One lost report must not discard what is known of its cache.
const failuresUntilDead = 3

// maxRetired is the number of past incarnations that are remembered, so that their late answers
// do not count as new incarnations.
const maxRetired = 8

// viewMaxAge is how long a view of the endpoints is reused, so that a node with hundreds of
// engines need not visit all of them for each decision. Loads are off by at most this age, far
// less than the lag of the reports.
const viewMaxAge = 5 * time.Millisecond

// Target is an engine as listed in the fleet file.
type Target struct {
	Engine  ident.Engine
	Address string
	Zone    ident.Zone
	// Draining is whether the file takes the engine out of service.
	Draining bool
	// PrefillPerToken is assumed until the engine has reported its own.
	PrefillPerToken time.Duration
}

// ChangeKind is what changed about an engine.
type ChangeKind int

const (
	// ChangeIncarnation means that the engine has a new incarnation, with an empty cache.
	ChangeIncarnation ChangeKind = iota
	// ChangeRevived means that an engine that counted as dead answers again in the same
	// incarnation.
	ChangeRevived
	// ChangeDead means that the engine counts as dead.
	ChangeDead
	// ChangeDraining is the first sign that the engine is draining.
	ChangeDraining
	// ChangeLoaded means that the set of loaded model versions changed.
	ChangeLoaded
	// ChangeRemoved means that the engine is no longer in the fleet file.
	ChangeRemoved
)

// Change is one change of the state of an engine.
type Change struct {
	Kind        ChangeKind
	Engine      ident.Engine
	Incarnation ident.Incarnation
}

// Registry tracks the state of engines. It is used by one goroutine.
type Registry struct {
	engines map[ident.Engine]*state
	order   []*state
	// view is the result of Endpoints, rebuilt when it is older than viewMaxAge; entries with
	// viewStale set are rebuilt on the next call.
	view       []framework.Endpoint
	viewAt     time.Time
	generation uint64
}

// state is what is known of one engine.
type state struct {
	target      Target
	viewStale   bool
	incarnation ident.Incarnation
	retired     []ident.Incarnation
	// retiredReports counts reports of past incarnations since the last one of the current
	// incarnation.
	retiredReports int
	reported       bool
	alive          bool
	failures       int
	drainingUntil  time.Time
	listedDraining bool
	role           string
	loaded         []framework.LoadedModel
	// queue estimates the engine's queue; each incarnation starts with a new one.
	queue         *load.Tracker
	limit         int
	lastCandidate time.Time
	lastPolled    time.Time
}

// AttemptKey identifies one attempt of one request.
type AttemptKey = load.AttemptKey

// NewRegistry returns a registry without engines.
func NewRegistry() *Registry {
	return &Registry{engines: make(map[ident.Engine]*state)}
}

// Configure applies the engines of a fleet file. The state of engines that keep their address
// is kept.
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

// findForChange returns the state of an engine that is about to change, or nil, and marks its
// view as stale.
func (r *Registry) findForChange(engine ident.Engine) *state {
	known := r.engines[engine]
	if known != nil {
		known.viewStale = true
	}
	return known
}

// ObserveReport records a load report that arrived at now.
func (r *Registry) ObserveReport(now time.Time, engine ident.Engine, report protocol.LoadReport) []Change {
	known := r.findForChange(engine)
	if known == nil {
		return nil
	}
	if slices.Contains(known.retired, report.Incarnation) && !known.retiredIsCurrent() {
		return nil
	}
	known.retiredReports = 0
	changes := known.markAlive(engine, report.Incarnation)
	loaded := convertLoaded(report.Loaded)
	if !equalLoaded(loaded, known.loaded) {
		changes = append(changes, Change{ChangeLoaded, engine, report.Incarnation})
	}
	known.loaded = loaded
	known.role = report.Role
	known.queue.RecordReport(now, report)
	known.reported = true
	if report.Draining {
		changes = append(changes, known.markDraining(now, engine)...)
	}
	return changes
}

// ObserveReportFailure records that a report could not be read.
func (r *Registry) ObserveReportFailure(engine ident.Engine) []Change {
	known := r.findForChange(engine)
	if known == nil {
		return nil
	}
	known.failures++
	if known.failures < failuresUntilDead {
		return nil
	}
	return known.markDead(engine)
}

// ObserveUnreachable records that a connection to the engine was refused or reset before a byte
// was exchanged. The engine counts as dead until its next report.
func (r *Registry) ObserveUnreachable(engine ident.Engine) []Change {
	known := r.findForChange(engine)
	if known == nil {
		return nil
	}
	return known.markDead(engine)
}

// ObserveIncarnation records the incarnation that an answer or a refusal of the engine carried.
func (r *Registry) ObserveIncarnation(engine ident.Engine, incarnation ident.Incarnation) []Change {
	known := r.findForChange(engine)
	if known == nil || incarnation == "" || slices.Contains(known.retired, incarnation) {
		return nil
	}
	return known.markAlive(engine, incarnation)
}

// Dead reports whether the engine answered once and counts as dead now.
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

// Sent records that an attempt with this many tokens to prefill was sent to the engine.
func (r *Registry) Sent(now time.Time, engine ident.Engine, key AttemptKey, prefillTokens int) {
	known := r.findForChange(engine)
	if known == nil {
		return
	}
	known.queue.Dispatched(now, key, float64(prefillTokens))
}

// FirstToken records that the engine has prefilled the attempt's prompt.
func (r *Registry) FirstToken(now time.Time, engine ident.Engine, key AttemptKey) {
	if known := r.findForChange(engine); known != nil {
		known.queue.FirstToken(now, key)
	}
}

// Ended records the end of an attempt, whatever its outcome.
func (r *Registry) Ended(now time.Time, engine ident.Engine, key AttemptKey) {
	if known := r.findForChange(engine); known != nil {
		known.queue.Finished(now, key)
	}
}

// HasAddress reports whether the current fleet file has the engine at this address. Answers
// from any other address are no evidence about the engine.
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

// AwaitingReports reports whether there was no fleet file yet, or an engine in one of the zones
// has neither reported nor failed to often enough to count as dead. A router that has just
// started holds requests until then, instead of refusing them.
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

// Endpoints returns the state of every engine at the given time, sorted by name. The slice is
// reused by the next call.
func (r *Registry) Endpoints(now time.Time) []framework.Endpoint {
	rebuild := len(r.view) != len(r.order) || now.Sub(r.viewAt) > viewMaxAge || now.Before(r.viewAt)
	if rebuild {
		r.view = slices.Grow(r.view[:0], len(r.order))[:len(r.order)]
		r.viewAt = now
	}
	for index, known := range r.order {
		if rebuild || known.viewStale {
			r.view[index] = known.endpoint(now)
			known.viewStale = false
		}
	}
	return r.view
}

// markAlive records that the engine answered in the given incarnation.
func (s *state) markAlive(engine ident.Engine, incarnation ident.Incarnation) []Change {
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
	s.drainingUntil = time.Time{}
	s.reported = false
	s.loaded = nil
	s.role = ""
	s.queue = load.NewTracker(s.target.PrefillPerToken)
	return []Change{{ChangeIncarnation, engine, incarnation}}
}

// retire remembers the incarnation that is being replaced.
func (s *state) retire() {
	if s.incarnation == "" {
		return
	}
	s.retired = append(s.retired, s.incarnation)
	if len(s.retired) > maxRetired {
		s.retired = s.retired[1:]
	}
}

// retiredIsCurrent counts a report of a past incarnation, and reports whether there were so
// many in a row that it is the current one: two incarnations were observed in the wrong order.
// Without this the engine would be lost permanently.
func (s *state) retiredIsCurrent() bool {
	s.retiredReports++
	if s.retiredReports < failuresUntilDead {
		return false
	}
	s.retired = nil
	return true
}

func (s *state) markDead(engine ident.Engine) []Change {
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
		Draining:    s.target.Draining || s.listedDraining || now.Before(s.drainingUntil),
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
