// Package admission decides who waits, for how long, and who goes next.
//
// Everything in it is a state machine without I/O: no clock, goroutine, lock
// or global random source. Times come in as arguments; the caller serialises
// access.
package admission

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// PoolKey groups items with the same candidate back ends. If one of them
// cannot be dispatched for want of capacity, none can.
type PoolKey string

// Item is a request that waits.
type Item struct {
	ID     ident.Request
	Tenant ident.Tenant
	// Priority is that of the item's class; 0 is the most urgent.
	Priority int
	// Weight is the tenant's share; zero counts as 1.
	Weight float64
	// Cost is the predicted work in prefill tokens; below 1 counts as 1.
	Cost float64
	Pool PoolKey
	// MaxHold is the longest the item waits, from Offer on.
	MaxHold time.Duration
}

// Refused is an item that was given up, not run, and what to answer.
type Refused struct {
	Item  Item
	Fault *fault.Fault
}

// Action says what became of an item in Pump.
type Action int

const (
	// Dispatched means the item went to a back end; it leaves the queue.
	Dispatched Action = iota
	// PoolBlocked means no back end of the pool has capacity: the item stays,
	// and no other item of its pool is tried in this Pump.
	PoolBlocked
	// ItemBlocked means this one item is held: it stays, and no other item of
	// its tenant, class and pool is tried in this round of Pumps.
	ItemBlocked
	// Rejected means the item is refused with the verdict's fault.
	Rejected
)

// Result is the answer of Pump's decide function.
type Result struct {
	Action Action
	// Fault is the answer to the caller when Action is Rejected.
	Fault *fault.Fault
}

// entry is an item in the queue and its place in the queue's structures.
type entry struct {
	item           Item
	expires        time.Time
	sequence       uint64
	flow           *flow
	previous, next *entry
	expiryIndex    int
}
