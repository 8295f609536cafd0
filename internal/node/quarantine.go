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

// Broke implements forward.Quarantine.
func (q *quarantines) Broke(now time.Time, request *quarantine.Subject, at backend.Record) {
	q.Guard.Broke(now, request, q.target(at))
}

// Left implements forward.Quarantine.
func (q *quarantines) Left(now time.Time, request *quarantine.Subject, at backend.Record) {
	q.Guard.Left(now, request, q.target(at))
}

// Unreached implements forward.Quarantine.
func (q *quarantines) Unreached(now time.Time, at backend.Record) {
	q.Guard.Unreached(now, q.target(at))
}

// target returns the life of a back end that a record names.
func (q *quarantines) target(at backend.Record) guard.Place {
	return guard.Place{Life: at.Instance, Look: func(ctx context.Context, brokenAt time.Time) guard.Sign {
		return q.probe(ctx, at, brokenAt)
	}}
}

// look asks a back end once what became of its life. While older attempts of this router are open
// there, its process runs: a crash breaks all connections.
func (q *quarantines) probe(ctx context.Context, at backend.Record, brokenAt time.Time) guard.Sign {
	_, err := q.engines.Report(ctx, at)
	switch {
	case err == nil:
		return guard.SignAlive
	case errors.Is(err, rollout.ErrOtherInstance):
		return guard.SignEnded
	case errors.Is(err, syscall.ECONNREFUSED) && !q.backends.InFlightSince(at.Instance, brokenAt):
		return guard.SignRefused
	default:
		return guard.SignNone
	}
}
