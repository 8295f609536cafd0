package node

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// check checks the invariants of a rollout, and returns the final phase.
func (f *canaryFleet) check(duration time.Duration, bad bool) canary.Phase {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	final, finals := canary.Phase(0), 0
	for _, report := range f.reported {
		if report.state.Phase.Final() {
			finals++
			final = report.state.Phase
			if after := report.at.Sub(f.orderedAt); after > duration {
				f.t.Errorf("the final state came %v after the order", after)
			}
		}
	}
	if finals != 1 {
		f.t.Errorf("%d final states: %v", finals, f.reported)
	}
	if len(f.reported) == 0 || f.reported[0].state.Phase != canary.Observing {
		f.t.Errorf("the first state reported to the operator is not observing: %v", f.reported)
	}
	if bad {
		f.checkExposure(duration)
	}
	if final == canary.Succeeded {
		f.checkSwitch()
	}
	return final
}

// checkExposure checks how many requests a bad target got, and that none came later than the
// rollback time after its 50th bad answer.
func (f *canaryFleet) checkExposure(duration time.Duration) {
	sent, all := 0, 0
	for _, one := range f.arrivals {
		if one.at.Before(f.orderedAt) || one.at.After(f.orderedAt.Add(duration)) {
			continue
		}
		all++
		if one.release == newRelease {
			sent++
		}
	}
	if most := canaryBounds.Share*float64(all) + canaryBounds.Slack; float64(sent) > most {
		f.t.Errorf("%d of %d requests went to the bad release, more than %.0f", sent, all, most)
	}
	slices.SortFunc(f.badAt, time.Time.Compare)
	if len(f.badAt) < 50 {
		return
	}
	for _, one := range f.arrivals {
		if late := one.at.Sub(f.badAt[49]); one.release == newRelease && late > canaryBounds.Rollback {
			f.t.Errorf("%s sent to the bad release %v after its 50th bad answer", one.node, late)
			return
		}
	}
}

// partitionedDelay is the time within which a router partitioned from the holder learns of a
// final state from the shared state: two reads of the configuration, and two pulls.
const partitionedDelay = 2 * time.Second

// checkSwitch checks that nothing went to the old release after the final state.
func (f *canaryFleet) checkSwitch() {
	last := f.reported[len(f.reported)-1].at
	for _, one := range f.arrivals {
		allowed := time.Duration(0)
		if f.partitionedNodes[one.node] {
			allowed = partitionedDelay
		}
		if one.release == oldRelease && one.at.Sub(last) > allowed {
			f.t.Errorf("%s sent to the old release %v after the final state", one.node, one.at.Sub(last))
			return
		}
	}
}

// sentTo returns how many requests a router sent to the target between two times.
func (f *canaryFleet) sentTo(node ident.Node, from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, one := range f.arrivals {
		if one.node == node && one.release == newRelease && one.at.After(from) && one.at.Before(to) {
			count++
		}
	}
	return count
}
