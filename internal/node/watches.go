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

// regionInterval is the time between two looks at which regions are lost; it is shorter
// than a region is passed over.
const regionInterval = 500 * time.Millisecond

// logLostRegions logs which regions are lost, whenever that changes, until ctx ends.
func (n *Node) logLostRegions(ctx context.Context) {
	var before []ident.Region
	wait.Every(ctx, regionInterval, func() {
		lost := n.backends.UnreachableRegions(clock.Now())
		if !slices.Equal(lost, before) {
			log.WithFields(log.Fields{"lost": lost, "before": before}).Warn("regions_lost")
		}
		before = lost
	})
}

// logSuspensions looks whether this process stood still, beside the looks that are made before
// decisions, and logs suspensions of the machine, until ctx ends.
func logSuspensions(ctx context.Context) {
	before := clock.Suspended()
	defer clock.Watch()()
	wait.Every(ctx, clock.WatchInterval, func() {
		clock.Sync()
		if total := clock.Suspended(); total > before {
			log.WithFields(log.Fields{"suspended_ms": (total - before).Milliseconds()}).Warn("machine_was_suspended")
			before = total
		}
	})
}
