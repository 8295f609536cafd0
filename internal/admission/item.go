// Package admission queues requests, limits concurrency and bounds retries.
//
// All of it is state machines without I/O: no clock, goroutine, lock or global random source.
// Callers pass the time and serialise access.
package admission

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// PoolKey groups items with the same candidate back ends. If one of them
// cannot be dispatched for want of capacity, none can.
type PoolKey string

// Item is a waiting request.
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
	// MaxHold is the longest time that the item waits after Offer.
	MaxHold time.Duration
}

// Refused is an item that was not run, with the fault for its caller.
type Refused struct {
	Item  Item
	Fault *fault.Fault
}

// Action is what happens to an item in Pump.
type Action int

const (
	// Dispatched means the item was sent to a back end and leaves the queue.
	Dispatched Action = iota
	// PoolBlocked means no back end of the pool has capacity: the item stays,
	// and no other item of its pool is tried in this Pump.
	PoolBlocked
	// ItemBlocked means the item stays, and no other item of its tenant, class and pool is
	// tried in this round of Pumps.
	ItemBlocked
	// Rejected means the item is refused with the result's fault.
	Rejected
)

// Result is what Pump's decide function returns.
type Result struct {
	Action Action
	// Fault is returned to the caller when Action is Rejected.
	Fault *fault.Fault
}

// entry is a queued item with its positions in the queue's structures.
type entry struct {
	item           Item
	expires        time.Time
	sequence       uint64
	flow           *flow
	previous, next *entry
	expiryIndex    int
}
