package canary

import (
	"net/netip"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// DirectorConfig is what a Director is made with.
type DirectorConfig struct {
	Bounds Bounds
	// Tick is the time between two permits to the same router; 0 means 250 ms.
	Tick time.Duration
}

// Action is something that the owner of a Director is to do. It is one of Fetch, Write and
// Tell.
type Action interface{ action() }

// Fetch asks for the row of a service's state, which is told by Director.Read; a service
// without one has a zero State of version 0, in which the service is set.
type Fetch struct{ Service ident.Service }

// Write asks to write the row of a state, with the operator's status in the same
// transaction, under the condition that the row is the one of Version (0: none yet). What
// came of it is told by Director.Written.
type Write struct {
	State   State
	Version uint64
}

// Tell asks to send a permit to a router, which may be this one.
type Tell struct {
	To     netip.AddrPort
	Permit *Permit
}

func (Fetch) action() {}
func (Write) action() {}
func (Tell) action()  {}

// WriteResult is what came of a Write. It is one of Stored, Conflict and Unanswered.
type WriteResult interface{ writeResult() }

// Stored says that the row was written and has a new version.
type Stored struct{ Version uint64 }

// Conflict says that the row was not of the version that was asked for, or that the lease
// is not held any more: nothing was written.
type Conflict struct{}

// Unanswered says that nothing is known of the write: it may have been done.
type Unanswered struct{}

func (Stored) writeResult()     {}
func (Conflict) writeResult()   {}
func (Unanswered) writeResult() {}

// Director directs all rollouts while its router holds the lease for them. It is not safe
// for concurrent use.
type Director struct {
	cfg   DirectorConfig
	hooks hooks
}

// NewDirector returns a director that holds no lease.
func NewDirector(cfg DirectorConfig) *Director { return &Director{cfg: cfg} }

// Hold says that the lease is held under a fence, or is not held any more if that is 0.
func (d *Director) Hold(now time.Time, fence uint64) {}

// Observe takes in the orders, all back ends and all routers as they were read, and the
// store's own time at that moment. It is called whether the lease is held or not, so that
// a new holder knows since when an order can have been there.
func (d *Director) Observe(now time.Time, storeNow time.Duration, orders []Order, engines []backend.Record, routers []netip.AddrPort) {
}

// Read takes in the row of a service's state as it lies in the store.
func (d *Director) Read(now time.Time, state State, version uint64) {}

// Reported takes in a report of a router.
func (d *Director) Reported(now time.Time, from netip.AddrPort, report *Report) {}

// Step returns what is to be done now. It is called a few times in each tick.
func (d *Director) Step(now time.Time) []Action { return nil }

// Written takes in what came of the Write of a service's state.
func (d *Director) Written(now time.Time, service ident.Service, result WriteResult) {}
