package lease

import "github.com/fieldpond/fieldpond/internal/fault"

// The sentinel errors of this package.
var (
	// ErrNotHeld means: this holder does not hold the lease, or not any more.
	ErrNotHeld = fault.New(fault.Conflict, "the lease is not held").
			WithRemedy("stop acting; the lease is contended for again by itself")
	// ErrNotNow means: the lease is held, but no action may begin now.
	ErrNotNow = fault.New(fault.Conflict, "the lease does not allow an action now").
			WithRemedy("wait for the next renewal, or for the end of the quiet time after the last holder")
	// ErrMalformedRow means: the lease row was not written by this program.
	ErrMalformedRow = fault.New(fault.Internal, "the lease row cannot be read").
			WithRemedy("nothing need be done: the row is taken over like one of a dead holder")
)
