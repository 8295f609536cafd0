package node

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// regionCheckInterval is shorter than the time for which a lost region is skipped.
const regionCheckInterval = 500 * time.Millisecond

// logLostRegions logs the lost regions whenever they change, until ctx ends.
func (n *Node) logLostRegions(ctx context.Context) {
	var before []ident.Region
	wait.Every(ctx, regionCheckInterval, func() {
		lost := n.backends.UnreachableRegions(clock.Now())
		if !slices.Equal(lost, before) {
			log.WithFields(log.Fields{"lost": lost, "before": before}).Warn("regions_lost")
		}
		before = lost
	})
}

// logSuspensions regularly checks for pauses of this process, in addition to the checks before
// decisions, and logs suspensions of the machine, until ctx ends.
func logSuspensions(ctx context.Context) {
	before := clock.Suspended()
	defer clock.DetectFreezes()()
	wait.Every(ctx, clock.SyncInterval, func() {
		clock.Sync()
		if total := clock.Suspended(); total > before {
			log.WithFields(log.Fields{"suspended_ms": (total - before).Milliseconds()}).Warn("machine_was_suspended")
			before = total
		}
	})
}
