package rollout

import (
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Order asks one engine to load a version of a model's weights. It is carried out only if the
// engine has accepted exactly Sequence orders before.
type Order struct {
	Target   backend.Record
	Model    ident.Model
	Version  int
	Sequence uint64
	Fence    uint64
}

// Result is the outcome of an order.
type Result uint8

const (
	// Accepted orders are carried out, or already were.
	Accepted Result = iota + 1
	// Conflicting orders were refused for another order in progress or sequence number.
	Conflicting
	// Outdated orders carried a fence older than one that the engine has seen.
	Outdated
	// Gone orders were sent to an engine that is no longer at its address.
	Gone
	// Unanswered orders may have been accepted, or may be later.
	Unanswered
	// NotSent orders did not leave this process.
	NotSent
)

// resultNames are the names of results in logs and metrics.
var resultNames = map[Result]string{
	Accepted: "accepted", Conflicting: "conflicting", Outdated: "outdated", Gone: "gone",
	Unanswered: "unanswered", NotSent: "not_sent",
}

// String implements fmt.Stringer.
func (r Result) String() string { return resultNames[r] }

// ErrOtherInstance means that another engine answered at the target's address, so that the target
// has ended.
var ErrOtherInstance = errors.New("another engine answers at the address")

// ErrBackoff means that no report was requested, since the engine asked this router to back off.
var ErrBackoff = errors.New("the engine asked for back-off")

// Report is an engine's report on itself.
type Report struct {
	Versions map[ident.Model]int
	Busy     bool
	Sequence uint64
	// Queued is the number of waiting requests, Active that of running ones.
	Queued, Active int
}

// Action is one exchange for the Controller to make: an order to send or a report to read.
type Action struct {
	// Order is nil if the report of Target is to be read.
	Order  *Order
	Target backend.Record
	// Quiesced is true if the target quiesced before the order, so that routers were notified.
	Quiesced bool
}
