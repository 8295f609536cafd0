package forward

import (
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// failure is the result of an attempt that gave no final answer.
type failure struct {
	// ran is whether the back end ran the request; notSent is true if it never received it.
	ran     fault.Ran
	notSent bool
	outcome backend.Outcome
	cause   error
	// connectionLimit is true if all connections allowed to the back end were in use.
	connectionLimit bool
	// newVersion is true if the back end refused because of its version and is now
	// assumed to have a newer one.
	newVersion bool
	// reply is an answer to pass on if no better one follows.
	reply *bufferedReply
}

// free drops the answer.
func (f *failure) free() {
	if f.reply != nil {
		f.reply.held.Free()
	}
}
