package node

import (
	"context"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

// engineCalls sends reports and orders to engines, except to those that are backing off. All
// calls other than requests go through it.
type engineCalls struct {
	engines  rollout.Engines
	backends *backend.Registry
}

var _ rollout.Engines = (*engineCalls)(nil)

// Order implements rollout.Engines.
func (c *engineCalls) Order(ctx context.Context, order *rollout.Order) rollout.Result {
	if !c.backends.AllowCall(clock.Sync(), order.Target.Instance) {
		return rollout.NotSent
	}
	return c.engines.Order(ctx, order)
}

// Report implements rollout.Engines.
func (c *engineCalls) Report(ctx context.Context, target backend.Record) (*rollout.Report, error) {
	if !c.backends.AllowCall(clock.Sync(), target.Instance) {
		return nil, rollout.ErrBackoff
	}
	return c.engines.Report(ctx, target)
}
