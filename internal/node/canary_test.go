package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const canaryDuration = 14 * time.Second

// During faults a good release is promoted before the deadline and a bad one is rolled back,
// within the bounds of exposure, with one final state and without breaking a request.
func TestRolloutDuringFaults(t *testing.T) {
	tests := []struct {
		name string
		// fault happens after the order.
		fault func(f *canaryFleet)
	}{
		{"nothing", func(*canaryFleet) {}},
		{"the holder is killed", func(f *canaryFleet) {
			time.Sleep(3 * time.Second)
			f.kill("r0")
			f.setHolder("", 0)
			time.Sleep(2 * time.Second)
			f.setHolder("r1", 2)
		}},
		{"two routers believe to hold the lease", func(f *canaryFleet) {
			time.Sleep(3 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.holders = map[ident.Node]uint64{"r0": 1, "r1": 2}
		}},
		{"answers to writes are lost", func(f *canaryFleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.writeFaults = []writeFault{answerLost, callLost, answerLost, callLost}
		}},
		{"a write is applied long after its timeout", func(f *canaryFleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.writeFaults = []writeFault{callLost, writtenLater, callLost, writtenLater}
		}},
		{"states are unreadable for 3 s", func(f *canaryFleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.statesUnreadableUntil = time.Now().Add(3 * time.Second)
		}},
		{"a router starts in the middle", func(f *canaryFleet) {
			time.Sleep(4 * time.Second)
			f.start(f.t.Context(), "late")
		}},
		{"a router is partitioned from the others", func(f *canaryFleet) {
			time.Sleep(3 * time.Second)
			f.cutOff("r3", true)
		}},
	}
	releases := []struct {
		name          string
		failing, slow float64
		want          canary.Phase
	}{
		{"good", 0, 1, canary.Succeeded},
		{"failing", 0.3, 1, canary.RolledBack},
		{"slow", 0, 5, canary.RolledBack},
		{"very slow", 0, 16, canary.RolledBack},
	}
	for _, tt := range tests {
		for _, release := range releases {
			t.Run(tt.name+", the release is "+release.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCanaryFleet(t, 8)
					f.failing, f.slow = release.failing, release.slow
					f.order(canaryDuration)
					tt.fault(f)
					f.sleepUntil(canaryDuration + 6*time.Second)
					phase := f.check(canaryDuration, release.want == canary.RolledBack)
					is.New(t).Equal(phase.String(), release.want.String())
				})
			})
		}
	}
}

// sleepUntil sleeps until a time after the order.
func (f *canaryFleet) sleepUntil(after time.Duration) {
	time.Sleep(time.Until(f.orderedAt.Add(after)))
}

// cutOff sets whether datagrams to and from a router are lost.
func (f *canaryFleet) cutOff(node ident.Node, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitionedNodes[node] = cut
}

// A router partitioned from the holder sends nothing to an unproved release from a second
// after its last permit, and nothing to the old one after the end.
func TestPartitionedRouterSendsNothingUnproved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCanaryFleet(t, 8)
		f.order(canaryDuration)
		f.sleepUntil(4 * time.Second)
		is.True(f.sentTo("r5", f.orderedAt, time.Now()) > 0)
		f.cutOff("r5", true)
		f.sleepUntil(5100 * time.Millisecond)
		begun := time.Now()
		f.sleepUntil(canaryDuration + 6*time.Second)
		is.Equal(f.check(canaryDuration, false), canary.Succeeded)
		is.True(f.sentTo("r5", f.finalStateAt(), time.Now()) > 0) // the final state came with the shared state
		is.Equal(f.sentTo("r5", begun, f.finalStateAt()), 0)
	})
}

// finalStateAt returns when the final state was reported to the operator.
func (f *canaryFleet) finalStateAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reported[len(f.reported)-1].at
}

// A router that starts during a rollout sends nothing to the target before it has a permit.
func TestNewRouterWaitsForPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCanaryFleet(t, 6)
		f.order(canaryDuration)
		f.sleepUntil(3 * time.Second)
		f.cutOff("late", true)
		f.start(t.Context(), "late")
		f.sleepUntil(6 * time.Second)
		is.Equal(f.sentTo("late", f.orderedAt, time.Now()), 0)
		f.mu.Lock()
		served := 0
		for _, one := range f.arrivals {
			if one.node == "late" {
				served++
			}
		}
		f.mu.Unlock()
		is.True(served > 20) // by the old release
		f.cutOff("late", false)
		f.sleepUntil(canaryDuration + 6*time.Second)
		is.Equal(f.check(canaryDuration, false), canary.Succeeded)
	})
}

// Without an order, and after the end of a rollout, nothing is sent and no state is read.
func TestIdleRolloutCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCanaryFleet(t, 4)
		before := f.canaryRouters["r1"].canaries.gate.Report(time.Now(), "s")
		is.True(before == nil)
		is.True(!f.canaryRouters["r0"].canaries.busy(time.Now()))
		update := f.routers["r0"].follower.replica.Update(time.Now(), fullPull())
		is.True(update.Configuration.Rollouts == nil) // nothing on the wire
		f.order(canaryDuration)
		f.sleepUntil(canaryDuration + 20*time.Second)
		is.Equal(f.check(canaryDuration, false), canary.Succeeded)
		for node, router := range f.canaryRouters {
			if router.canaries.busy(time.Now()) {
				t.Errorf("%s is still busy with the rollout", node)
			}
		}
		update = f.routers["r3"].follower.replica.Update(time.Now(), fullPull())
		is.Equal(update.Configuration.Rollouts.Known.States[0].Phase, canary.Succeeded)
		f.mu.Lock()
		f.statesUnreadableUntil = time.Now().Add(time.Hour) // a read of states is logged from now on
		f.mu.Unlock()
		lost := countEvents(t)
		time.Sleep(10 * time.Second)
		is.Equal(lost("rollout_states_not_read"), 0)
	})
}

// A new release beside another one gets nothing until a confirmation shows that there is no
// order for it; a service of one release never waits.
func TestNewReleaseWaitsForConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCanaryFleet(t, 3)
		f.mu.Lock()
		f.unserved = 0 // before the first list nothing can be served
		f.mu.Unlock()
		f.store.change(func() { f.store.down = true })
		time.Sleep(200 * time.Millisecond)
		f.store.change(func() { f.store.down = false })
		listedAt := time.Now()
		f.list(oldRelease, newRelease)
		time.Sleep(5 * time.Second)
		first := time.Time{}
		f.mu.Lock()
		for _, one := range f.arrivals {
			if one.release == newRelease && first.IsZero() {
				first = one.at
			}
		}
		refused := f.unserved
		f.mu.Unlock()
		is.True(!first.IsZero())                           // without an order it is used
		is.True(first.Sub(listedAt) > 10*time.Millisecond) // after a confirmation
		is.Equal(refused, 0)
	})
}

// A withdrawn order is rolled back, also by a holder that takes over later.
func TestWithdrawnOrderIsRolledBack(t *testing.T) {
	tests := []struct {
		name     string
		takeover bool
	}{
		{"by its holder", false},
		{"by the next one", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCanaryFleet(t, 6)
				f.order(canaryDuration)
				f.sleepUntil(3 * time.Second)
				f.store.change(func() { f.store.reading.Orders = nil })
				if tt.takeover {
					time.Sleep(1500 * time.Millisecond)
					f.setHolder("r2", 2)
				}
				f.sleepUntil(canaryDuration + 6*time.Second)
				is.New(t).Equal(f.check(canaryDuration, true), canary.RolledBack)
			})
		})
	}
}

// An order that is rewritten during its rollout keeps the earlier deadline.
func TestRewrittenOrderKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCanaryFleet(t, 6)
		f.order(canaryDuration)
		f.sleepUntil(3 * time.Second)
		f.store.change(func() {
			f.store.version++
			f.store.reading.Orders = []canary.Order{{Service: "s", Target: newRelease, Duration: time.Minute, Revision: f.store.version}}
		})
		f.sleepUntil(canaryDuration + 6*time.Second)
		is.Equal(f.check(canaryDuration, false), canary.Succeeded)
		is.True(!f.routers["r4"].follower.replica.currentRollouts().pending())
	})
}

// An order for another release ends the running rollout and gets a final state of its own.
func TestOrderForAnotherReleaseReplacesRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCanaryFleet(t, 6)
		f.order(canaryDuration)
		f.sleepUntil(3 * time.Second)
		f.store.change(func() {
			f.store.version++
			f.store.reading.Orders = []canary.Order{{Service: "s", Target: "v3", Duration: canaryDuration, Revision: f.store.version}}
		})
		f.list(oldRelease, newRelease, "v3")
		f.sleepUntil(canaryDuration + 9*time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		phases := map[ident.Release]canary.Phase{}
		for _, report := range f.reported {
			target := report.state.Order.Target
			is.True(!phases[target].Final() || phases[target] == report.state.Phase) // a final phase stays
			phases[target] = report.state.Phase
		}
		is.Equal(phases, map[ident.Release]canary.Phase{newRelease: canary.RolledBack, "v3": canary.Succeeded})
	})
}

func TestCanariesDoNotAllocatePerRequest(t *testing.T) {
	is := is.New(t)
	c := newCanaries(canaryBounds, &canaries{metrics: newMetrics(func() gaugeValues { return gaugeValues{} })})
	record := recordsOf(oldRelease)
	c.applyList(time.Now(), record)
	c.setRollouts(time.Now(), nil)
	now := time.Now()
	request := canary.ChooseRequest{Service: "s", Route: "route", First: true}
	allocs := testing.AllocsPerRun(500, func() {
		releases := c.Choose(now, request)
		if releases.Restricted() {
			t.Error("a service of one release is restricted")
		}
		c.Ended(now, c.Sent(now, "s", record[0]), canary.Sample{Route: "route", Outcome: canary.Answered})
	})
	is.Equal(allocs, 0.0)
}
