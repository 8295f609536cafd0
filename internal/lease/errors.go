package lease

import "github.com/fieldpond/fieldpond/internal/fault"

// The sentinel errors of this package.
var (
	// ErrNotHeld means that this node does not hold the lease, or not any more.
	ErrNotHeld = fault.New(fault.Conflict, "the lease is not held").
			WithRemedy("stop acting; this node contends for the lease again automatically")
	// ErrNotNow means that the lease is held, but no action may begin now.
	ErrNotNow = fault.New(fault.Conflict, "the lease does not allow an action now").
			WithRemedy("wait for the next renewal, or for the end of the quiet time after the last holder")
	// ErrMalformedRow means that the lease row was not written by this program.
	ErrMalformedRow = fault.New(fault.Internal, "the lease row cannot be read").
			WithRemedy("no action needed: the row is taken over like that of a dead holder")
)
