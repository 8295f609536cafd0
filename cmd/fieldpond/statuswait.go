package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
)

// waitInterval is the time between two polls of the routers.
const waitInterval = 250 * time.Millisecond

// statusWaiter polls routers until all live ones have a version in force.
type statusWaiter struct {
	routers *routersClient
	// progress receives one line whenever the state of the wait changes.
	progress func(line string)
}

// wait returns the number of live routers once each has version or a later one
// in force, or a Timeout fault that names those that lagged in the last
// complete poll; the end of ctx may interrupt one.
func (w *statusWaiter) wait(ctx context.Context, version fleet.Version) (int, error) {
	var missing string
	for {
		results := w.routers.fetchAll(ctx)
		versions := collectVersions(results)
		lagging := versions.lagging(uint64(version))
		if len(versions) > 0 && len(lagging) == 0 {
			return len(versions), nil
		}
		if current := missingText(lagging, describeFailures(results)); ctx.Err() == nil && current != missing {
			missing = current
			w.progress(fmt.Sprintf("waiting for version %d on %d live routers%s", version, len(versions), missing))
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return 0, fault.New(fault.Timeout, "version %d is accepted, but not confirmed in force on every router%s", version, missing).
				WithRan(fault.RanYes)
		}
	}
}

// missingText names the routers that lag and those that did not answer.
func missingText(lagging, failures []string) string {
	var text string
	if len(lagging) > 0 {
		text += "; lagging: " + strings.Join(lagging, ", ")
	}
	if len(failures) > 0 {
		text += "; without an answer: " + strings.Join(failures, "; ")
	}
	return text
}
