package rollout

import (
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Order asks one engine to take a version of a model's weights. It is carried
// out only if the engine has taken Sequence orders before.
type Order struct {
	Target   backend.Record
	Model    ident.Model
	Version  int
	Sequence uint64
	Fence    uint64
}

// Result is what an engine answered to an order.
type Result uint8

const (
	// Accepted orders are carried out, or hold already.
	Accepted Result = iota + 1
	// Conflicting orders met another one, or another sequence number.
	Conflicting
	// Outdated orders carried an older fence than the engine has seen.
	Outdated
	// Gone is an order to an engine that is no longer at its address.
	Gone
	// Unanswered orders may have been taken, or may be taken later.
	Unanswered
	// NotSent orders never left this process.
	NotSent
)

// resultNames are the names of results in logs and metrics.
var resultNames = map[Result]string{
	Accepted: "accepted", Conflicting: "conflicting", Outdated: "outdated", Gone: "gone",
	Unanswered: "unanswered", NotSent: "not_sent",
}

// String implements fmt.Stringer.
func (r Result) String() string { return resultNames[r] }

// ErrOtherInstance says that another engine answered at the address of the one asked for,
// which has therefore ended.
var ErrOtherInstance = errors.New("another engine answers at the address")

// ErrBackoff says that a report was not asked for, since the engine wants nothing now.
var ErrBackoff = errors.New("the engine wants rest")

// Report is what an engine told about itself.
type Report struct {
	Versions map[ident.Model]int
	Busy     bool
	Sequence uint64
	// Queued is the number of requests that wait for a place, Active that of those
	// that have one.
	Queued, Active int
}

// Action is one thing for the shell to do: an order, or a report to read.
type Action struct {
	// Order is nil if the report of Target is to be read.
	Order  *Order
	Target backend.Record
	// Quiesced says that routers were told before to send the target no new work.
	Quiesced bool
}
