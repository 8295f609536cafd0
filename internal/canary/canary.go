// Package canary rolls a service over to back ends of a new release on an operator's order:
// the new release gets few requests until its answers compare well with those of the
// releases that served before.
//
// One router, the holder of the lease for orders, directs a rollout (Director). Each router
// has a Gate that restricts where attempts may go, counts their outcomes and reports them
// to the holder. Without a valid permit a Gate sends nothing to an unproved release.
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
	// Revision is that of the order's row; an order that is written again has a higher one.
	Revision uint64 `cbor:"4,keyasint"`
}

// Phase is the progress of a rollout.
type Phase uint8

const (
	// Observing gives the target a bounded share of the requests.
	Observing Phase = iota + 1
	// Promoting gives the target all new requests while runs on other releases finish. It
	// can still be rolled back.
	Promoting
	// Succeeded is final: the other releases get no more requests.
	Succeeded
	// RolledBack is final: the target gets no more requests.
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

// State is the stored state of a service's newest rollout, from which a new holder
// continues.
type State struct {
	Order Order `cbor:"1,keyasint"`
	Phase Phase `cbor:"2,keyasint"`
	// Reason is a short explanation of a final phase.
	Reason string `cbor:"3,keyasint,omitempty"`
	// OrderedAt is the store's own time before which the order was not written.
	OrderedAt time.Duration `cbor:"4,keyasint"`
	// Ceiling is the number of requests that all holders so far may have permitted to go to
	// the target. No permit exceeds it.
	Ceiling uint64 `cbor:"5,keyasint"`
	// Fence is that of the lease under which the state was written.
	Fence uint64 `cbor:"6,keyasint"`
	// Proved are the releases that served before the target.
	Proved []ident.Release `cbor:"7,keyasint,omitempty"`
}

// Snapshot holds the orders and states as read from the store.
type Snapshot struct {
	Orders []Order `cbor:"1,keyasint,omitempty"`
	States []State `cbor:"2,keyasint,omitempty"`
}

// Bounds limit the exposure of a rollout.
type Bounds struct {
	// Share is the fraction of a service's requests between order and deadline that may go
	// to the target; Slack is the number of requests allowed in addition.
	Share, Slack float64
	// Rollback is the time after the target's 50th bad answer from which nothing may be
	// sent there.
	Rollback time.Duration
}

// Enabled reports whether rollouts are guarded; without bounds the gate counts nothing.
func (b Bounds) Enabled() bool { return b.Share > 0 }
