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

// quarantines keeps requests from back ends under which these crash, as forward.Quarantine.
type quarantines struct {
	*guard.Guard
	engines  rollout.Engines
	backends *backend.Registry
}

var _ forward.Quarantine = (*quarantines)(nil)

// ObserveBroken implements forward.Quarantine.
func (q *quarantines) ObserveBroken(now time.Time, request *quarantine.Subject, at backend.Record) {
	q.Guard.ObserveBroken(now, request, q.place(at))
}

// ObserveAbandoned implements forward.Quarantine.
func (q *quarantines) ObserveAbandoned(now time.Time, request *quarantine.Subject, at backend.Record) {
	q.Guard.ObserveAbandoned(now, request, q.place(at))
}

// ObserveUnreachable implements forward.Quarantine.
func (q *quarantines) ObserveUnreachable(now time.Time, at backend.Record) {
	q.Guard.ObserveUnreachable(now, q.place(at))
}

// place returns the life of a back end that a record names.
func (q *quarantines) place(at backend.Record) guard.Target {
	return guard.Target{Incarnation: at.Instance, Probe: func(ctx context.Context, brokeAt time.Time) guard.ProbeResult {
		return q.look(ctx, at, brokeAt)
	}}
}

// look asks a back end once what became of its life. While older attempts of this router are open
// there, its process runs: a crash breaks all connections.
func (q *quarantines) look(ctx context.Context, at backend.Record, brokeAt time.Time) guard.ProbeResult {
	_, err := q.engines.Report(ctx, at)
	switch {
	case err == nil:
		return guard.ProbeAlive
	case errors.Is(err, rollout.ErrOtherInstance):
		return guard.ProbeEnded
	case errors.Is(err, syscall.ECONNREFUSED) && !q.backends.InFlightBefore(at.Instance, brokeAt):
		return guard.ProbeRefused
	default:
		return guard.ProbeInconclusive
	}
}
