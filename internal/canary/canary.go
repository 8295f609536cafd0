// Package canary moves a service to back ends of a new release, on request and under
// guard: the new release gets few requests until its answers have been judged against
// those of the releases that served before.
//
// One router, the holder of the lease for orders, directs a rollout (Director). Every
// router asks its own Gate where an attempt may go, counts what came of it, and reports
// that to the holder. Without a permit of the holder that is young enough a Gate lets
// nothing go to a release that has not been proved.
//
// Director and Gate are state machines without I/O or clock: their inputs are orders,
// states, messages and a time.
package canary

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Order is an operator's request to move a service to a release.
type Order struct {
	Service ident.Service `cbor:"1,keyasint"`
	Target  ident.Release `cbor:"2,keyasint"`
	// Duration is the time from the order to the deadline of its verdict.
	Duration time.Duration `cbor:"3,keyasint"`
	// Revision is that of the order's row; one that is written anew has a higher one.
	Revision uint64 `cbor:"4,keyasint"`
}

// Phase is how far a rollout has come.
type Phase uint8

const (
	// Observing gives the target a bounded share of the requests.
	Observing Phase = iota + 1
	// Promoting gives the target all new requests, while what runs on other releases
	// comes to its end. It can still be rolled back.
	Promoting
	// Succeeded is final: the other releases end at once.
	Succeeded
	// RolledBack is final: the target gets nothing any more.
	RolledBack
)

// phaseNames are the names of phases in logs and metrics.
var phaseNames = map[Phase]string{
	Observing: "observing", Promoting: "promoting", Succeeded: "succeeded", RolledBack: "rolled back",
}

// String implements fmt.Stringer.
func (p Phase) String() string { return phaseNames[p] }

// Final reports whether the phase never changes.
func (p Phase) Final() bool { return p == Succeeded || p == RolledBack }

// State is what is kept in the store of the newest rollout of a service. A successor of
// the holder goes on from it.
type State struct {
	Order Order `cbor:"1,keyasint"`
	Phase Phase `cbor:"2,keyasint"`
	// Reason says in a few words what decided a final phase.
	Reason string `cbor:"3,keyasint,omitempty"`
	// OrderedAt is the store's own time before which the order was not written.
	OrderedAt time.Duration `cbor:"4,keyasint"`
	// Ceiling is the number of requests that the holders so far may have permitted to
	// go to the target: a permit is granted only below the ceiling that is kept.
	Ceiling uint64 `cbor:"5,keyasint"`
	// Fence is that of the lease under which the state was written.
	Fence uint64 `cbor:"6,keyasint"`
	// Proved are the releases that served before the target.
	Proved []ident.Release `cbor:"7,keyasint,omitempty"`
}

// Snapshot is what the store tells of rollouts, as it was read.
type Snapshot struct {
	Orders []Order `cbor:"1,keyasint,omitempty"`
	States []State `cbor:"2,keyasint,omitempty"`
}

// Bounds are the figures within which a release that proves bad must stay.
type Bounds struct {
	// Share is the part of a service's requests from the order to its deadline that may
	// go to the target; Slack is the number of requests that may go there besides.
	Share, Slack float64
	// Rollback is the time after the 50th bad answer of the target from which nothing
	// may be sent there.
	Rollback time.Duration
}

// Enabled reports whether rollouts are guarded at all; without bounds they are not asked
// for, and no router spends anything on them.
func (b Bounds) Enabled() bool { return b.Share > 0 }
