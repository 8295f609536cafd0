// Package status declares the read-only JSON document of /status.json.
package status

import "github.com/fieldpond/fieldpond/internal/ident"

// Path is the HTTP path of a router's status.
const Path = "/status.json"

// Router is the state of one router and its view of the others.
type Router struct {
	Node ident.Node `json:"node"`
	Zone ident.Zone `json:"zone"`
	// State is "starting", "serving" or "leaving".
	State        string   `json:"state"`
	FleetVersion uint64   `json:"fleet_version"`
	FleetDigest  string   `json:"fleet_digest"`
	Members      []Member `json:"members"`
	Engines      []Engine `json:"engines"`
	// Applications are the application back ends of the fleet file.
	Applications []Application `json:"applications"`
	Queue        Queue         `json:"queue"`
	Decisions    Decisions     `json:"decisions"`
	Claims       Claims        `json:"claims"`
	Gossip       Gossip        `json:"gossip"`
	// Control lists the groups of engines that are controlled under one lease each.
	Control []ControlGroup `json:"control"`
	// Rings are the bounded queues between goroutines.
	Rings []Ring `json:"rings"`
}

// States of a member, as defined by membership.
const (
	MemberAlive   = "alive"
	MemberSuspect = "suspect"
)

// Member is a router as observed by the answering one, which is listed too.
type Member struct {
	Node    ident.Node `json:"node"`
	Zone    ident.Zone `json:"zone"`
	Address string     `json:"address"`
	// State is "alive", "suspect", "leaving" or "dead".
	State        string `json:"state"`
	FleetVersion uint64 `json:"fleet_version"`
}

// Engine is an engine as observed by this router.
type Engine struct {
	Engine      ident.Engine      `json:"engine"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Alive       bool              `json:"alive"`
	Draining    bool              `json:"leaving"`
	// Running and Waiting count the engine's requests.
	Running             int `json:"running"`
	Waiting             int `json:"waiting"`
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// OwnInFlight counts this router's attempts, bounded by ConcurrencyLimit.
	OwnInFlight      int      `json:"own_in_flight"`
	ConcurrencyLimit int      `json:"concurrency_limit"`
	Loaded           []Loaded `json:"loaded"`
}

// Application is an application back end as observed by this router.
type Application struct {
	Application ident.Application `json:"application"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Alive       bool              `json:"alive"`
	Draining    bool              `json:"leaving"`
	// Running counts all requests on the application, OwnInFlight this router's.
	Running     int `json:"running"`
	OwnInFlight int `json:"own_in_flight"`
}

// Loaded is a model version that an engine can serve.
type Loaded struct {
	Model   ident.Model        `json:"model"`
	Version ident.ModelVersion `json:"version"`
}

// Queue counts requests in the router.
type Queue struct {
	// Waiting counts requests not yet placed, InFlight those on an engine.
	Waiting  int `json:"waiting"`
	InFlight int `json:"in_flight"`
	// ByPriority splits Waiting, most urgent first, without empty priorities.
	ByPriority []PriorityDepth `json:"by_priority"`
}

// PriorityDepth counts the waiting requests of one priority.
type PriorityDepth struct {
	Priority int `json:"priority"`
	Waiting  int `json:"waiting"`
}

// Claims counts the claims of non-repeatable requests since the start.
type Claims struct {
	// Granted counts claims won by this router, AlreadyClaimed those held by
	// another router or an earlier request, Refused those without an answer from
	// the table service.
	Granted        uint64 `json:"granted"`
	AlreadyClaimed uint64 `json:"shown"`
	Refused        uint64 `json:"refused"`
	// Waiting counts claims whose answer is pending.
	Waiting int `json:"waiting"`
}

// Gossip counts the datagrams between routers since the start.
type Gossip struct {
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
	// Refused counts datagrams that were not authentic or malformed, Unsent those
	// that could not be sent.
	Refused uint64 `json:"refused"`
	Unsent  uint64 `json:"unsent"`
}

// ControlGroup is a group of engines whose versions, adapters and roles are
// reconciled with the fleet file by the router that holds the lease.
type ControlGroup struct {
	Lease string `json:"lease"`
	// Held is whether this router holds the lease; Fence is then its fence.
	Held  bool   `json:"held"`
	Fence uint64 `json:"fence"`
	// Holder is the last observed holder, outdated by a few seconds at most; empty
	// if nobody holds the lease or this router is not a contender.
	Holder     ident.Node   `json:"holder"`
	Contenders []ident.Node `json:"contenders"`
	// Engines is the size of the group. Settled counts engines that have loaded
	// exactly what the file requires, Loading the weight loads in progress; both
	// are 0 unless this router holds the lease.
	Engines int `json:"engines"`
	Settled int `json:"settled"`
	Loading int `json:"loading"`
	// Orders counts orders issued by this router, Retried those sent again after
	// a lost answer, Refused those that an engine refused.
	Orders  uint64 `json:"orders"`
	Retried uint64 `json:"repeated"`
	Refused uint64 `json:"refused"`
	// PostponedUnloads counts checks that postponed an unload of the last warm
	// engine, StaleFences the times that a newer fence was encountered.
	PostponedUnloads uint64 `json:"put_off"`
	StaleFences      uint64 `json:"stale_fences"`
}

// Ring is one bounded queue between goroutines.
type Ring struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	// Dropped counts items lost because the ring was full.
	Dropped uint64 `json:"dropped"`
}

// Decisions counts the router's decisions since its start.
type Decisions struct {
	Placed  uint64 `json:"placed"`
	Refused uint64 `json:"refused"`
	Held    uint64 `json:"held"`
	// Parked counts requests that waited for the prefix directory.
	Parked uint64 `json:"parked"`
	// PromptTokens and CachedTokens sum what engines reported, CreditedTokens
	// sums the cached tokens expected at placement.
	PromptTokens   uint64 `json:"prompt_tokens"`
	CreditedTokens uint64 `json:"credited_tokens"`
	CachedTokens   uint64 `json:"cached_tokens"`
	// BeliefHigh counts answers with fewer cached tokens than expected,
	// BeliefLow those with more, BeliefRight the others.
	BeliefHigh  uint64 `json:"belief_high"`
	BeliefLow   uint64 `json:"belief_low"`
	BeliefRight uint64 `json:"belief_right"`
}
