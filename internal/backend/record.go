// Package backend holds what a router believes of the back ends that serve
// requests: engines that run models, and applications. It chooses the one for
// each attempt.
//
// Registry is a state machine without I/O or clock: its inputs are the list of
// back ends, what was sent to them and what they answered, each with a time.
// It is guarded by a mutex, because requests end in any goroutine.
package backend

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
)

// Record is what the list of back ends says of one.
type Record struct {
	// Instance names one life of the back end.
	Instance ident.Incarnation
	Service  ident.Service
	// Address is host:port.
	Address string
	Zone    ident.Zone
	// Release is the version of its software, empty if it tells none.
	Release ident.Release
	// Slots is the number of requests worked on at once.
	Slots int
	// Draining back ends get no new work.
	Draining bool
	// Models holds the version of each model's weights.
	Models map[ident.Model]int
	// Revision rises with every write of the record.
	Revision uint64
}

// Choice is the back end for one attempt.
type Choice struct {
	Record
	// Version is the version of the requested model's weights there, as
	// believed; 0 if the request names no model.
	Version int
	// Home says that the back end ranks first for the prompt.
	Home bool
	// HomeZone is the zone of the back end that does, whichever was chosen; it is
	// empty if the prompt has no home.
	HomeZone ident.Zone
	// Distance is how far the back end is from this router.
	Distance region.Distance
	// Predicted is the expected time to the first byte of the answer.
	Predicted time.Duration
	// Queued is the part of Predicted that is due to other attempts of this router.
	Queued time.Duration
	// PeerQueueWait is the time for which requests that other routers saw waiting there put off a
	// new one.
	PeerQueueWait time.Duration
	// Lateness is by how much answers of the back end lately came later than predicted.
	Lateness time.Duration
	// Congestion is by how much answers of the whole service come late on the mean,
	// in units of 100 ms.
	Congestion float64
	// Candidates is the number of back ends that were compared.
	Candidates int
	// PredictedUncached is the expected time to the first byte of the answer of a back end that is
	// idle and has nothing of the prompt cached.
	PredictedUncached time.Duration
	// Releases are those that the query allowed.
	Releases Releases
	// Limit is what the back end takes from all routers; its Rate is 0 if it names none.
	Limit Limit
	// AllLimited says that all back ends that were compared name limits, LimitSkips is the number
	// of those that were passed over since theirs are used up.
	AllLimited bool
	LimitSkips int
	// BackoffSkips and Leaving are the numbers of back ends that were passed over since they said
	// that they want rest, or leave. Instead is why the choice did not fall on one of them that
	// was expected to be faster; it is empty if none was.
	BackoffSkips, DrainingSkips int
	FasterSkip                  SkipReason
	// RecentBackoff says that the back end asked for rest lately, and that there are others.
	RecentBackoff bool
}

// Limit is one that a back end names.
type Limit struct {
	// Rate is in requests a second; 0 means that there is none.
	Rate float64
	// Sequence is the higher, the newer the limit is.
	Sequence uint64
}

const (
	// overloadedFrom is the congestion from which requests are refused that would
	// wait for long.
	overloadedFrom = 0.7
	// overloadedPart is the part of the time left that a request may then be
	// expected to wait, as a divisor.
	overloadedPart = 40
)

// Wait returns the expected time until the back end begins to read the prompt.
func (c *Choice) Wait() time.Duration { return c.Queued + c.Lateness + c.PeerQueueWait }

// Overloaded reports whether a request that has some time left should rather be
// refused than sent: its service answers late on the whole, and even the best back
// end would let it wait for a good part of that time. Under overload such requests
// are mostly given up by their clients after an engine has read their prompts, and
// that work delays all others. Requests with little time go first, as they are the
// first to be given up; the length of a prompt does not count, so that long ones are
// served as often as short ones.
func (c *Choice) Overloaded(left time.Duration) bool {
	return c.Congestion >= overloadedFrom && c.Wait()*overloadedPart > left
}

// Expiry is the time after which no request may begin on a version older than
// Version.
type Expiry struct {
	Version int
	At      time.Time
	// Uncertain says that the version was met when this router started: it may
	// have been named long before, so that At may be too late.
	Uncertain bool
}

// Query describes the attempt that a back end is wanted for.
type Query struct {
	Service ident.Service
	// Model is empty for requests that run no model.
	Model ident.Model
	// Expiries tell until when a request may begin on an older version of the
	// model than the one named, oldest first.
	Expiries []Expiry
	// HomeKey ranks back ends by the shared part of the prompt; 0 means that
	// nothing is shared.
	HomeKey uint64
	// RegionKey draws the region of the home; 0 means that HomeKey does.
	RegionKey uint64
	// SpreadKey orders back ends of equal cost.
	SpreadKey uint64
	// SharedTokens and OwnTokens are the lengths of the prompt's shared and
	// unshared parts.
	SharedTokens, OwnTokens int
	// Excluded back ends were tried before.
	Excluded []ident.Incarnation
	// Expected is the usual time for the work of the request, used for
	// requests that run no model.
	Expected time.Duration
	// Releases bounds where the attempt may go while a service is moved to another
	// release.
	Releases Releases
	// AvoidRecentBackoff passes over back ends that asked for rest lately, if there are others: no repeat
	// is to spare, and they may refuse again.
	AvoidRecentBackoff bool
	// leavingServes is how long after its first word a back end that leaves may be chosen.
	leavingServes time.Duration
}

func (q *Query) excludes(instance ident.Incarnation) bool {
	return slices.Contains(q.Excluded, instance)
}

// Outcome says how an attempt ended.
type Outcome uint8

const (
	// Answered is a whole answer of the back end, whatever its status.
	Answered Outcome = iota + 1
	// Refused is an explicit refusal before execution because it is full.
	Refused
	// Misdirected is a refusal because another back end has the address.
	Misdirected
	// WrongVersion is a refusal because of the version of the weights.
	WrongVersion
	// Unreachable is an attempt of which no byte left.
	Unreachable
	// Broken is an attempt that broke off, or was answered with bytes that are
	// no answer.
	Broken
	// Silent is an attempt given up because nothing came.
	Silent
	// Withdrawn is an attempt of which no byte left, since the back end wanted no new work by
	// then.
	Withdrawn
	// Abandoned is an attempt whose client left, or whose time was over.
	Abandoned
	// Failed is an answer of the back end that says that its work failed.
	Failed
)

// outcomeNames are the names of outcomes in logs.
var outcomeNames = map[Outcome]string{
	Answered: "answered", Refused: "refused", Misdirected: "misdirected", WrongVersion: "wrong_version",
	Unreachable: "unreachable", Broken: "broken", Silent: "silent", Withdrawn: "withdrawn", Abandoned: "abandoned", Failed: "failed",
}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }
