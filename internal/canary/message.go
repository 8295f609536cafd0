package canary

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// maxTallies bounds the tallies of a report, and with them its size.
	maxTallies = 64
	// maxNameBytes bounds the memory used for names in messages of unauthenticated senders.
	maxNameBytes = 256
)

// Permit allows one router's Gate to send requests to the target of an order. Permits may
// be lost, duplicated or late.
type Permit struct {
	Order Order `cbor:"1,keyasint"`
	// Fence is that of the holder's lease. Permits with an older one than received before
	// are dropped.
	Fence  uint64 `cbor:"2,keyasint"`
	Phase  Phase  `cbor:"3,keyasint"`
	Reason string `cbor:"4,keyasint,omitempty"`
	// Incarnation and Clock are those of the newest report that the holder received from
	// the router. A permit allows nothing to another incarnation, nor when Clock is older
	// than its validity.
	Incarnation uint64        `cbor:"5,keyasint,omitempty"`
	Clock       time.Duration `cbor:"6,keyasint,omitempty"`
	// MaxSends is the total number of requests that this incarnation may send to the target
	// while Observing.
	MaxSends uint64 `cbor:"7,keyasint,omitempty"`
	// Fraction is the fraction of requests to send to the target within MaxSends, so that
	// they are spread over time.
	Fraction float64 `cbor:"12,keyasint,omitempty"`
	// Halted forbids sending to the target in any phase while a verdict against it is being
	// written.
	Halted bool `cbor:"8,keyasint,omitempty"`
	// MaxBackends and Seed select the target's back ends in use, as in backend.Releases.
	MaxBackends int    `cbor:"9,keyasint,omitempty"`
	Seed        uint64 `cbor:"10,keyasint,omitempty"`
	// Proved are the releases that served before the target.
	Proved []ident.Release `cbor:"11,keyasint,omitempty"`
}

// valid reports whether the permit's values are valid: its sender is not authenticated.
func (p *Permit) valid() bool {
	if len(p.Order.Service) > maxNameBytes || len(p.Order.Target) > maxNameBytes {
		return false
	}
	if !(p.Fraction >= 0 && p.Fraction <= 1) {
		return false
	}
	return p.Order.Target != "" && p.Phase >= Observing && p.Phase <= RolledBack && p.MaxBackends >= 0
}

// Report carries what one incarnation of a router has counted for a service since it
// received the order. All counts are cumulative, so that a report replaces lost ones.
type Report struct {
	Service ident.Service `cbor:"1,keyasint"`
	// Revision is that of the order.
	Revision uint64 `cbor:"2,keyasint"`
	// Incarnation is that of the router, Clock its own time, which only it interprets.
	Incarnation uint64        `cbor:"3,keyasint"`
	Clock       time.Duration `cbor:"4,keyasint"`
	// Phase is the one that the router acts upon: Promoting only while a permit for it is
	// valid.
	Phase Phase `cbor:"5,keyasint"`
	// PermitLeft is the time for which the newest permit remains valid.
	PermitLeft time.Duration `cbor:"6,keyasint,omitempty"`
	// Requests is the number of requests for the service, Sent the number of attempts sent
	// to the target.
	Requests uint64 `cbor:"7,keyasint,omitempty"`
	Sent     uint64 `cbor:"8,keyasint,omitempty"`
	// OtherRuns is the number of runs under way on releases other than the target,
	// including those that began before the order.
	OtherRuns uint64  `cbor:"9,keyasint,omitempty"`
	Tallies   []Tally `cbor:"10,keyasint,omitempty"`
}

// Tally counts answers of a route from one group of back ends.
type Tally struct {
	_     struct{} `cbor:",toarray"`
	Route string
	// Group is 0 for all back ends of other releases together; otherwise it identifies one
	// back end of the target, or several once there are many.
	Group uint32
	// Answers counts all answers, Failures those that report that the work failed.
	Answers, Failures uint64
	// Times counts the answers that are no failures by duration.
	Times Histogram
}

// valid reports whether the report's values are valid.
func (r *Report) valid() bool {
	if len(r.Service) > maxNameBytes || len(r.Tallies) > maxTallies {
		return false
	}
	for index := range r.Tallies {
		if !r.Tallies[index].valid() {
			return false
		}
	}
	return r.Phase <= RolledBack && r.Sent <= maxCount && r.Requests <= maxCount && r.OtherRuns <= maxCount
}

// maxCount is the largest count accepted from a message, so that sums over all routers
// cannot overflow.
const maxCount = 1 << 40

// valid reports whether the tally's values are valid.
func (t *Tally) valid() bool {
	if len(t.Route) > maxNameBytes || len(t.Times) > timeBins {
		return false
	}
	return t.Answers <= maxCount && t.Failures <= t.Answers && t.Times.total() <= t.Answers
}
