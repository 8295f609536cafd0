// Package status declares what a router tells operators on /status.json. It
// is read only: there is no command to a single machine.
package status

import "github.com/fieldpond/fieldpond/internal/ident"

// Path is where a router serves its state.
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
	// Control tells of each group of engines that is ordered under one lease.
	Control []ControlGroup `json:"control"`
	// Rings are the bounded queues between the duties of the process.
	Rings []Ring `json:"rings"`
}

// The states of a member, as membership names them.
const (
	MemberAlive   = "alive"
	MemberSuspect = "suspect"
)

// Member is a router as the answering one sees it; itself is among them.
type Member struct {
	Node    ident.Node `json:"node"`
	Zone    ident.Zone `json:"zone"`
	Address string     `json:"address"`
	// State is "alive", "suspect", "leaving" or "dead".
	State        string `json:"state"`
	FleetVersion uint64 `json:"fleet_version"`
}

// Engine is an engine as this router sees it.
type Engine struct {
	Engine      ident.Engine      `json:"engine"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Alive       bool              `json:"alive"`
	Draining    bool              `json:"leaving"`
	// Running and Waiting count requests on the engine.
	Running             int `json:"running"`
	Waiting             int `json:"waiting"`
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// OwnInFlight counts this router's attempts, ConcurrencyLimit bounds them.
	OwnInFlight      int      `json:"own_in_flight"`
	ConcurrencyLimit int      `json:"concurrency_limit"`
	Loaded           []Loaded `json:"loaded"`
}

// Application is an application back end as this router sees it.
type Application struct {
	Application ident.Application `json:"application"`
	Zone        ident.Zone        `json:"zone"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Alive       bool              `json:"alive"`
	Draining    bool              `json:"leaving"`
	// Running counts requests on the application, OwnInFlight this router's.
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
	// Waiting requests have no place yet; InFlight ones are on an engine.
	Waiting  int `json:"waiting"`
	InFlight int `json:"in_flight"`
	// ByPriority splits Waiting, the most urgent priority first. Priorities
	// without a waiting request are left out.
	ByPriority []PriorityDepth `json:"by_priority"`
}

// PriorityDepth counts the waiting requests of one priority.
type PriorityDepth struct {
	Priority int `json:"priority"`
	Waiting  int `json:"waiting"`
}

// Claims counts the claims of non-repeatable requests since the start.
type Claims struct {
	// Granted were won by this router, Shown were another's or an earlier
	// sending's, Refused ended without an answer of the table.
	Granted        uint64 `json:"granted"`
	AlreadyClaimed uint64 `json:"shown"`
	Refused        uint64 `json:"refused"`
	// Waiting claims have no answer of the table yet.
	Waiting int `json:"waiting"`
}

// Gossip counts the datagrams between routers since the start.
type Gossip struct {
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
	// Refused datagrams were not authentic or malformed; Unsent ones could not
	// be sent.
	Refused uint64 `json:"refused"`
	Unsent  uint64 `json:"unsent"`
}

// ControlGroup is a group of engines whose versions, adapters and roles one
// router at a time, the holder of the lease, brings into line with the file.
type ControlGroup struct {
	Lease string `json:"lease"`
	// Held says whether this router is the holder; Fence is its fence then.
	Held  bool   `json:"held"`
	Fence uint64 `json:"fence"`
	// Holder is the holder as this router last saw it, some seconds late at
	// most; empty if nobody holds the lease or this router is no contender.
	Holder     ident.Node   `json:"holder"`
	Contenders []ident.Node `json:"contenders"`
	// Engines is the size of the group. Settled counts its engines that have
	// loaded what the file says and nothing that is to go, Loading the loads of
	// weights under way; both are known to the holder only.
	Engines int `json:"engines"`
	Settled int `json:"settled"`
	Loading int `json:"loading"`
	// Orders were issued by this router, Repeated are those issued again after a
	// lost answer, Refused those that an engine refused.
	Orders  uint64 `json:"orders"`
	Retried uint64 `json:"repeated"`
	Refused uint64 `json:"refused"`
	// PostponedUnloads counts looks at unloads that would have taken the last warm engine
	// away, StaleFences times a newer fence than this router's was met.
	PostponedUnloads uint64 `json:"put_off"`
	StaleFences      uint64 `json:"stale_fences"`
}

// Ring is one bounded queue between two duties.
type Ring struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	// Dropped counts items lost because the ring was full.
	Dropped uint64 `json:"dropped"`
}

// Decisions counts what the router decided since it started.
type Decisions struct {
	Placed  uint64 `json:"placed"`
	Refused uint64 `json:"refused"`
	Held    uint64 `json:"held"`
	// Parked counts requests that waited for the prefix directory.
	Parked uint64 `json:"parked"`
	// PromptTokens and CachedTokens add up what engines answered with,
	// CreditedTokens what was believed.
	PromptTokens   uint64 `json:"prompt_tokens"`
	CreditedTokens uint64 `json:"credited_tokens"`
	CachedTokens   uint64 `json:"cached_tokens"`
	// BeliefHigh counts answers with fewer cached tokens than believed,
	// BeliefLow those with more, BeliefRight the others.
	BeliefHigh  uint64 `json:"belief_high"`
	BeliefLow   uint64 `json:"belief_low"`
	BeliefRight uint64 `json:"belief_right"`
}
