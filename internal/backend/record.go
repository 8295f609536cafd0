// Package backend tracks the state of the back ends that serve requests, engines that run
// models and applications, and chooses one for each attempt.
//
// Registry is a state machine without I/O or clock: its inputs are the instance list, what was
// sent to back ends and what they answered, each with a time. It is guarded by a mutex, because
// requests end in any goroutine.
package backend

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

// Record is one entry of the instance list.
type Record struct {
	// Instance is the incarnation of the back end.
	Instance ident.Incarnation
	Service  ident.Service
	// Address is host:port.
	Address string
	Zone    ident.Zone
	// Release is the version of its software, empty if it reports none.
	Release ident.Release
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining back ends get no new work.
	Draining bool
	// Models holds the version of each model's weights.
	Models map[ident.Model]int
	// Revision rises with every write of the record.
	Revision uint64
}

// Choice is the back end chosen for one attempt.
type Choice struct {
	Record
	// Version is the expected version of the requested model's weights there; 0 if the request
	// names no model.
	Version int
	// Home is whether the back end ranks first for the prompt.
	Home bool
	// HomeZone is the zone of the prompt's home, whichever was chosen; empty if the prompt has
	// no home.
	HomeZone ident.Zone
	// Distance is how far the back end is from this router.
	Distance region.Distance
	// Predicted is the expected time to the first byte of the answer.
	Predicted time.Duration
	// Queued is the part of Predicted that is due to other attempts of this router.
	Queued time.Duration
	// PeerQueueWait is the expected delay by requests that peers reported waiting there.
	PeerQueueWait time.Duration
	// Lateness is how much later than predicted recent answers of the back end came.
	Lateness time.Duration
	// Congestion is the mean lateness of recent answers of the whole service, in units of 100
	// ms.
	Congestion float64
	// Candidates is the number of back ends that were compared.
	Candidates int
	// PredictedUncached is the expected time to the first byte at an idle back end with nothing
	// of the prompt cached.
	PredictedUncached time.Duration
	// Releases are those that the query allowed.
	Releases Releases
	// Limit is the limit of the back end over all routers; its Rate is 0 if it has none.
	Limit Limit
	// AllLimited is whether all back ends that were compared have limits, LimitSkips the number
	// of those skipped since theirs are used up.
	AllLimited bool
	LimitSkips int
	// BackoffSkips and DrainingSkips are the numbers of back ends skipped since they are
	// backing off or draining. FasterSkip is why one that was expected to be faster was
	// skipped; it is empty if none was.
	BackoffSkips, DrainingSkips int
	FasterSkip                  SkipReason
	// ReleaseChanged is whether the list has named several releases of this incarnation.
	ReleaseChanged bool
	// RecentBackoff is whether the back end recently backed off, and there are others.
	RecentBackoff bool
}

// Limit is a limit that a back end advertised.
type Limit struct {
	// Rate is in requests a second; 0 means no limit.
	Rate float64
	// Sequence is higher for newer limits.
	Sequence uint64
}

const (
	// overloadedFrom is the congestion from which requests that would wait for long are
	// refused.
	overloadedFrom = 0.7
	// overloadedDivisor is the share of the time left, as a divisor, that such a request may be
	// expected to wait.
	overloadedDivisor = 40
)

// Wait returns the expected time until the back end begins to prefill the prompt.
func (c *Choice) Wait() time.Duration { return c.Queued + c.Lateness + c.PeerQueueWait }

// Overloaded reports whether a request with some time left should be refused rather than sent:
// its service is congested, and even the best back end would let it wait for a good part of
// that time. Clients mostly abandon such requests after an engine has prefilled their prompts,
// which delays all others. Requests with little time left are refused first, as their clients
// give up first; the length of a prompt does not count, so that long ones are served as often
// as short ones.
func (c *Choice) Overloaded(left time.Duration) bool {
	return c.Congestion >= overloadedFrom && c.Wait()*overloadedDivisor > left
}

// Expiry is the time after which no request may begin on a version older than
// Version.
type Expiry struct {
	Version int
	At      time.Time
	// Uncertain is whether the version was already published when this router started, so that
	// At may be too late.
	Uncertain bool
}

// Query describes an attempt that needs a back end.
type Query struct {
	// Routers is the number of routers that share the back ends. With 0 those of a service that
	// has not answered are not bounded by their room.
	Routers int
	Service ident.Service
	// Model is empty for requests that run no model.
	Model ident.Model
	// Expiries bound when requests may begin on older versions of the model, oldest first.
	Expiries []Expiry
	// HomeKey ranks back ends by the shared part of the prompt; 0 means that
	// nothing is shared.
	HomeKey uint64
	// RegionKey selects the region of the home; if it is 0, HomeKey does.
	RegionKey uint64
	// SpreadKey orders back ends of equal cost.
	SpreadKey uint64
	// SharedTokens and OwnTokens are the lengths of the prompt's shared and
	// unshared parts.
	SharedTokens, OwnTokens int
	// Excluded back ends were tried before.
	Excluded []ident.Incarnation
	// Expected is the usual time for the work of a request that runs no model.
	Expected time.Duration
	// Releases restricts where the attempt may go during the rollout of another release.
	Releases Releases
	// Continues is whether the attempt continues a stream that began at Release, so that it may
	// only go to a back end of that.
	Continues bool
	Release   ident.Release
	// AvoidNewReleases skips releases that were listed less than ReleaseSettleTime ago, if there are
	// others.
	AvoidNewReleases bool
	// AvoidRecentBackoff skips back ends that recently backed off, if there are others: they
	// may refuse again, and no retry is to spare.
	AvoidRecentBackoff bool
	// drainServeTime is how long after its drain began a back end may be chosen.
	drainServeTime time.Duration
}

func (q *Query) excludes(instance ident.Incarnation) bool {
	return slices.Contains(q.Excluded, instance)
}

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Answered is a complete answer of the back end, whatever its status.
	Answered Outcome = iota + 1
	// Refused is an explicit refusal before execution because the back end is full.
	Refused
	// Misdirected is a refusal because another back end has the address.
	Misdirected
	// WrongVersion is a refusal because of the version of the weights.
	WrongVersion
	// Unreachable is an attempt of which no byte was sent.
	Unreachable
	// Broken is an attempt whose connection broke, or whose answer was invalid.
	Broken
	// Silent is an attempt given up because nothing was received.
	Silent
	// Withdrawn is an attempt of which no byte was sent, since the back end was draining or
	// backing off by then.
	Withdrawn
	// Abandoned is an attempt whose client disconnected, or whose time was over.
	Abandoned
	// Failed is an answer that reports that the back end's work failed.
	Failed
)

// outcomeNames are the names of outcomes in logs.
var outcomeNames = map[Outcome]string{
	Answered: "answered", Refused: "refused", Misdirected: "misdirected", WrongVersion: "wrong_version",
	Unreachable: "unreachable", Broken: "broken", Silent: "silent", Withdrawn: "withdrawn", Abandoned: "abandoned", Failed: "failed",
}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }
