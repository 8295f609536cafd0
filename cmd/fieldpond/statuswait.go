package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
)

// waitInterval is the time between two rounds of questions.
const waitInterval = 250 * time.Millisecond

// statusWaiter asks routers until all live ones have a version in force.
type statusWaiter struct {
	routers *routersClient
	// progress is told in one line whenever the state of the wait changes.
	progress func(line string)
}

// wait returns the number of live routers once each has version or a later one
// in force, or a Timeout fault that names those that lag.
func (w *statusWaiter) wait(ctx context.Context, version fleet.Version) (int, error) {
	var told string
	for {
		answers := w.routers.ask(ctx)
		seen := versionsOf(answers)
		lagging := seen.lagging(uint64(version))
		if len(seen) > 0 && len(lagging) == 0 {
			return len(seen), nil
		}
		line := fmt.Sprintf("waiting: version %d in force on %d of %d live routers", version, len(seen)-len(lagging), len(seen)) +
			whoLacks(lagging, failuresOf(answers))
		if line != told && ctx.Err() == nil {
			w.progress(line)
			told = line
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return 0, fault.New(fault.Timeout, "version %d is accepted, but not yet known to be in force everywhere%s",
				version, whoLacks(lagging, failuresOf(answers))).WithRan(fault.RanYes)
		}
	}
}

// whoLacks names the routers that lag and those that did not answer.
func whoLacks(lagging, failures []string) string {
	var text string
	if len(lagging) > 0 {
		text += "; lagging: " + strings.Join(lagging, ", ")
	}
	if len(failures) > 0 {
		text += "; without an answer: " + strings.Join(failures, "; ")
	}
	return text
}
