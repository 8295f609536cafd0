package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// quarantines withholds requests under which back ends crash.
type quarantines struct {
	*guard.Guard
	engines  rollout.Engines
	backends *backend.Registry
}

var _ forward.Quarantine = (*quarantines)(nil)

// ObserveBroken implements forward.Quarantine.
func (q *quarantines) ObserveBroken(now time.Time, request *quarantine.Subject, at backend.Record, arriving time.Duration) {
	target := q.target(at)
	target.Arriving = arriving
	q.Guard.ObserveBroken(now, request, target)
}

// ObserveUnproven implements forward.Quarantine.
func (q *quarantines) ObserveUnproven(now time.Time, request *quarantine.Subject, at backend.Record) {
	q.Guard.ObserveUnproven(now, request, q.target(at))
}

// ObserveAbandoned implements forward.Quarantine.
func (q *quarantines) ObserveAbandoned(now time.Time, request *quarantine.Subject, at backend.Record) {
	q.Guard.ObserveAbandoned(now, request, q.target(at))
}

// ObserveUnreachable implements forward.Quarantine.
func (q *quarantines) ObserveUnreachable(now time.Time, at backend.Record) {
	q.Guard.ObserveUnreachable(now, q.target(at))
}

// target returns the incarnation of a record and how to probe it.
func (q *quarantines) target(at backend.Record) guard.Target {
	return guard.Target{Incarnation: at.Instance, Probe: func(ctx context.Context, brokenAt time.Time) guard.ProbeResult {
		return q.probe(ctx, at, brokenAt)
	}}
}

// probe asks a back end once whether its incarnation still runs. A refused connection proves
// nothing while an older attempt is open there: a crash breaks all connections.
func (q *quarantines) probe(ctx context.Context, at backend.Record, brokenAt time.Time) guard.ProbeResult {
	_, err := q.engines.Report(ctx, at)
	switch {
	case err == nil:
		return guard.ProbeAlive
	case errors.Is(err, rollout.ErrOtherInstance):
		return guard.ProbeEnded
	case errors.Is(err, syscall.ECONNREFUSED) && !q.backends.InFlightBefore(at.Instance, brokenAt):
		return guard.ProbeRefused
	default:
		return guard.ProbeInconclusive
	}
}
