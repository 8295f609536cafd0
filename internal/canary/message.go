package canary

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// maxTallies bounds the tallies of a report, and with them its bytes: a tally takes
	// about 45 (benchmark).
	maxTallies = 64
	// maxNameBytes bounds the names in a message, so that what a stranger sends takes
	// little memory.
	maxNameBytes = 256
)

// Permit allows one router's Gate to send requests to the target of an order. Permits may
// be lost, repeated or late.
type Permit struct {
	Order Order `cbor:"1,keyasint"`
	// Fence is that of the holder's lease. Permits with an older one than was seen are
	// dropped.
	Fence  uint64 `cbor:"2,keyasint"`
	Phase  Phase  `cbor:"3,keyasint"`
	Reason string `cbor:"4,keyasint,omitempty"`
	// Incarnation and Clock are those of the newest report that the holder has of the router.
	// A permit allows nothing to another life, nor when Clock is longer ago than a
	// permit is valid.
	Incarnation uint64        `cbor:"5,keyasint,omitempty"`
	Clock       time.Duration `cbor:"6,keyasint,omitempty"`
	// MaxSends is the number of requests that this life may have sent to the target in all
	// while the phase is Observing.
	MaxSends uint64 `cbor:"7,keyasint,omitempty"`
	// Fraction is the part of the requests that are to go to the target while Sends allows it,
	// so that they are spread over the time.
	Fraction float64 `cbor:"12,keyasint,omitempty"`
	// Halted says that nothing may be sent to the target for now, whatever the phase: a
	// verdict against it is being written.
	Halted bool `cbor:"8,keyasint,omitempty"`
	// MaxBackends and Seed name the back ends of the target that are in use, as in
	// backend.Releases.
	MaxBackends int    `cbor:"9,keyasint,omitempty"`
	Seed        uint64 `cbor:"10,keyasint,omitempty"`
	// Proved are the releases that served before the target.
	Proved []ident.Release `cbor:"11,keyasint,omitempty"`
}

// sound reports whether the permit may be looked at: a stranger may send anything.
func (p *Permit) sound() bool {
	if len(p.Order.Service) > maxNameBytes || len(p.Order.Target) > maxNameBytes {
		return false
	}
	if !(p.Fraction >= 0 && p.Fraction <= 1) {
		return false
	}
	return p.Order.Target != "" && p.Phase >= Observing && p.Phase <= RolledBack && p.MaxBackends >= 0
}

// Report tells the holder what one life of a router has seen of a service since it learned
// of the order. All counts are cumulative, so that a report makes up for those that were
// lost before it.
type Report struct {
	Service ident.Service `cbor:"1,keyasint"`
	// Revision is that of the order.
	Revision uint64 `cbor:"2,keyasint"`
	// Incarnation is that of the router, Clock its own time, which only it interprets.
	Incarnation uint64        `cbor:"3,keyasint"`
	Clock       time.Duration `cbor:"4,keyasint"`
	// Phase is the one that the router acts upon: Promoting only while a permit for it
	// is valid.
	Phase Phase `cbor:"5,keyasint"`
	// PermitLeft is the time for which the newest permit remains valid.
	PermitLeft time.Duration `cbor:"6,keyasint,omitempty"`
	// Requests is the number of requests for the service, Sent the number of attempts
	// that went to the target.
	Requests uint64 `cbor:"7,keyasint,omitempty"`
	Sent     uint64 `cbor:"8,keyasint,omitempty"`
	// OtherRuns is the number of runs that are under way on releases other than the
	// target, also those that began before the order.
	OtherRuns uint64  `cbor:"9,keyasint,omitempty"`
	Tallies   []Tally `cbor:"10,keyasint,omitempty"`
}

// Tally counts answers of a route by the back ends that gave them.
type Tally struct {
	_     struct{} `cbor:",toarray"`
	Route string
	// Group is 0 for all back ends of other releases together, and otherwise stands for
	// one back end of the target, or for a few of them once there are many.
	Group uint32
	// Answers counts answers, Failures those of them that say that the work failed.
	Answers, Failures uint64
	// Times tells how long the answers took that are no failures.
	Times Histogram
}

// sound reports whether the report may be counted.
func (r *Report) sound() bool {
	if len(r.Service) > maxNameBytes || len(r.Tallies) > maxTallies {
		return false
	}
	for index := range r.Tallies {
		if !r.Tallies[index].sound() {
			return false
		}
	}
	return r.Phase <= RolledBack && r.Sent <= maxCount && r.Requests <= maxCount && r.OtherRuns <= maxCount
}

// maxCount is the largest count that is taken from a message: sums of it over all routers
// cannot overflow, and no router serves as many requests in the course of a rollout.
const maxCount = 1 << 40

// sound reports whether the tally may be counted.
func (t *Tally) sound() bool {
	if len(t.Route) > maxNameBytes || len(t.Times) > timeBins {
		return false
	}
	return t.Answers <= maxCount && t.Failures <= t.Answers && t.Times.total() <= t.Answers
}
