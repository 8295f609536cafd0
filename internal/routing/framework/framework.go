// Package framework declares the types of a routing decision: the snapshot, the
// request, the result, and the Filter, Scorer and Picker plug-ins.
//
// Everything here is pure: no clock, socket, goroutine or global random
// source. Equal inputs give equal decisions on every router.
package framework

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Endpoint is one router's view of one engine at the time of a decision.
type Endpoint struct {
	Engine      ident.Engine
	Address     string
	Zone        ident.Zone
	Incarnation ident.Incarnation
	// Alive is false once the engine is believed dead.
	Alive bool
	// Draining is true once the engine is known to accept no new requests.
	Draining bool
	// Role is "mixed", "prefill" or "decode".
	Role string
	// Loaded lists the model versions that the engine can serve now.
	Loaded []LoadedModel
	// Load is the last report aged to the time of the decision.
	Load Load
}

// LoadedModel is one model version with its adapters.
type LoadedModel struct {
	Model    ident.Model
	Version  ident.ModelVersion
	Adapters []ident.Adapter
}

// Load estimates an engine's queue at the time of a decision.
type Load struct {
	// ReportAge is how old the underlying report is.
	ReportAge time.Duration
	// Running and Waiting count requests on the engine, own dispatches since
	// the report included.
	Running, Waiting int
	// MaxRunning is the engine's batch limit; zero means unknown.
	MaxRunning int
	// QueuedPrefillTokens estimates the prompt tokens not yet prefilled, own
	// dispatches since the report included.
	QueuedPrefillTokens float64
	// PrefillPerToken is the time to prefill one token.
	PrefillPerToken time.Duration
	// OwnInFlight counts this router's own unanswered attempts on the engine.
	OwnInFlight int
	// ConcurrencyLimit is the adaptive limit on OwnInFlight; zero means none.
	ConcurrencyLimit int
}

// Request is the part of a request that a decision depends on.
type Request struct {
	ID       ident.Request
	Tenant   ident.Tenant
	Service  ident.Service
	Class    ident.Class
	Priority int
	Model    ident.Model
	// Versions lists the permitted versions, the preferred one first.
	Versions []ident.ModelVersion
	Adapter  ident.Adapter
	// Zones is the set of zones where the tenant's data may be.
	Zones map[ident.Zone]bool
	// Chains holds the prompt's block hashes under each permitted version.
	Chains map[ident.ModelVersion]prefix.Chain
	// BlockTokens is the size of a block in tokens.
	BlockTokens int
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// RecomputationWeight is the service's weight of recomputed prefill time.
	RecomputationWeight float64
	// Excluded lists engines that already refused or failed this request.
	Excluded map[ident.Engine]bool
	// Waited is how long the request has been held.
	Waited time.Duration
	// BypassReserve lets the request use capacity reserved for more urgent classes.
	BypassReserve bool
	// HomeZone is the zone of the deciding router.
	HomeZone ident.Zone
}

// Credits estimates how many leading blocks of a chain each engine has cached.
// Implementations must be keyed by incarnation.
type Credits interface {
	// Credit returns the expected number of leading blocks of chain that the
	// given incarnation of the engine has cached.
	Credit(engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain) float64
}

// Snapshot is the input state of a decision, which does not modify it.
type Snapshot struct {
	Now time.Time
	// Endpoints lists the candidate engines, best only those of the request's
	// model, grouped by zone.
	Endpoints []Endpoint
	// Generation identifies the engines of Endpoints with their zones and
	// order, and the fleet version. Equal generations let a scheduler reuse
	// results computed from these alone; zero means unknown.
	Generation uint64
	Credits    Credits
	// Hop is the one-way network time to an endpoint of the given zone.
	Hop func(zone ident.Zone) time.Duration
}

// Candidate is an endpoint under consideration, with the computed predictions.
type Candidate struct {
	Endpoint *Endpoint
	// Version is the model version the endpoint would serve the request with.
	Version ident.ModelVersion
	// CreditTokens is the expected number of cached prompt tokens.
	CreditTokens float64
	// Wait, Prefill and Hop add up to the predicted time to first token.
	Wait, Prefill, Hop time.Duration
	// Cost is the sum of all scorers' costs; smaller is better.
	Cost time.Duration
}

// TimeToFirstToken returns the predicted time to first token.
func (c *Candidate) TimeToFirstToken() time.Duration { return c.Wait + c.Prefill + c.Hop }

// Filter removes candidates that must not serve the request.
type Filter interface {
	// Name is the filter's name in counters and traces.
	Name() string
	// Filter returns the candidates that remain, in the same order.
	Filter(request *Request, snapshot *Snapshot, candidates []Candidate) []Candidate
}

// Scorer adds to the cost of candidates.
type Scorer interface {
	// Name is the scorer's name in counters and traces.
	Name() string
	// Score adds its cost, in time, to each candidate's Cost.
	Score(request *Request, snapshot *Snapshot, candidates []Candidate)
}

// Picker chooses one of the scored candidates.
type Picker interface {
	// Name is the picker's name in counters and traces.
	Name() string
	// Pick returns the index of the chosen candidate; there is at least one.
	Pick(request *Request, snapshot *Snapshot, candidates []Candidate) int
}

// Action is the outcome of a decision.
type Action int

const (
	// Dispatch sends the request to Decision.Chosen.
	Dispatch Action = iota
	// Hold keeps the request until capacity frees or its hold time ends.
	Hold
	// Refuse rejects the request at once; it did not run.
	Refuse
)

// ReasonHome is the reason of a Hold although an engine has room: waiting for one
// that has the prefix cached costs less than recomputing it.
const ReasonHome = "home"

// Decision is the result of scheduling one request.
type Decision struct {
	Action Action
	// Chosen is set for Dispatch.
	Chosen Candidate
	// Reason is a short machine-readable reason for Hold and Refuse, such as
	// the name of the filter that left no candidate, or ReasonHome.
	Reason string
	// BestCreditTokens is the largest credit among permitted candidates.
	BestCreditTokens float64
	// MoveFrom names an engine to export the prefix from before dispatch, or
	// is empty. Both engines are permitted to the tenant.
	MoveFrom ident.Engine
}

// Scheduler decides where requests run. Experiment policies implement it too.
type Scheduler interface {
	// Name is the policy's name.
	Name() string
	// Schedule decides about one request on one snapshot.
	Schedule(request *Request, snapshot *Snapshot) Decision
}
