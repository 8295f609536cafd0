package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const guardedDuration = 14 * time.Second

// Whatever goes wrong in between, a good release takes over before the deadline and a bad
// one is rolled back, within the bounds of exposure, with one verdict, and without a run
// cut off.
func TestARolloutUnderFailure(t *testing.T) {
	tests := []struct {
		name string
		// wrong happens after the order.
		wrong func(f *guardedFleet)
	}{
		{"nothing", func(*guardedFleet) {}},
		{"the holder is killed", func(f *guardedFleet) {
			time.Sleep(3 * time.Second)
			f.kill("r0")
			f.hold("", 0)
			time.Sleep(2 * time.Second)
			f.hold("r1", 2)
		}},
		{"two routers take themselves for the holder", func(f *guardedFleet) {
			time.Sleep(3 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.holders = map[ident.Node]uint64{"r0": 1, "r1": 2}
		}},
		{"answers to writes are lost", func(f *guardedFleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.loses = []writeFault{answerLost, callLost, answerLost, callLost}
		}},
		{"a write is done long after it was given up", func(f *guardedFleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.loses = []writeFault{callLost, doneLater, callLost, doneLater}
		}},
		{"states are read late", func(f *guardedFleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.blind = time.Now().Add(3 * time.Second)
		}},
		{"a router starts in the middle", func(f *guardedFleet) {
			time.Sleep(4 * time.Second)
			f.start(f.t.Context(), "late")
		}},
		{"a router is cut off from the others", func(f *guardedFleet) {
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
					f := newGuardedFleet(t, 8)
					f.failing, f.slow = release.failing, release.slow
					f.order(guardedDuration)
					tt.wrong(f)
					f.sleepUntil(guardedDuration + 6*time.Second)
					verdict := f.judge(guardedDuration, release.want == canary.RolledBack)
					is.New(t).Equal(verdict.String(), release.want.String())
				})
			})
		}
	}
}

// sleepUntil sleeps to a time after the order.
func (f *guardedFleet) sleepUntil(after time.Duration) {
	time.Sleep(time.Until(f.orderedAt.Add(after)))
}

// cutOff lets no datagram pass to or from a router.
func (f *guardedFleet) cutOff(node ident.Node, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[node] = cut
}

// A router that hears nothing of the holder sends nothing to a release that is not proved,
// a second after the last permit at the latest, and nothing to the old one after the end.
func TestARouterCutOffSendsNothingUnproved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newGuardedFleet(t, 8)
		f.order(guardedDuration)
		f.sleepUntil(4 * time.Second)
		is.True(f.sentTo("r5", f.orderedAt, time.Now()) > 0)
		f.cutOff("r5", true)
		f.sleepUntil(5100 * time.Millisecond)
		begun := time.Now()
		f.sleepUntil(guardedDuration + 6*time.Second)
		is.Equal(f.judge(guardedDuration, false), canary.Succeeded)
		is.True(f.sentTo("r5", f.verdictAt(), time.Now()) > 0) // the shared state told the verdict
		is.Equal(f.sentTo("r5", begun, f.verdictAt()), 0)
	})
}

// verdictAt returns when the operator was told of the verdict.
func (f *guardedFleet) verdictAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told[len(f.told)-1].at
}

// A router that starts in the middle sends nothing to the target before it has a permit.
func TestARouterThatStartsInTheMiddleWaitsForAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newGuardedFleet(t, 6)
		f.order(guardedDuration)
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
		is.True(served > 20) // it serves meanwhile
		f.cutOff("late", false)
		f.sleepUntil(guardedDuration + 6*time.Second)
		is.Equal(f.judge(guardedDuration, false), canary.Succeeded)
	})
}

// Without an order nothing is sent, read or written, nor once a verdict is known; and an
// order costs no call beyond the writes, and a read of states with that of the
// configuration.
func TestARolloutThatIsOverCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newGuardedFleet(t, 4)
		before := f.lives["r1"].canaries.gate.Report(time.Now(), "s")
		is.True(before == nil)
		is.True(!f.lives["r0"].canaries.busy(time.Now()))
		update := f.routers["r0"].follower.replica.Update(time.Now(), pullOfNothing())
		is.True(update.Configuration.Rollouts == nil) // nothing on the wire
		f.order(guardedDuration)
		f.sleepUntil(guardedDuration + 20*time.Second)
		is.Equal(f.judge(guardedDuration, false), canary.Succeeded)
		for node, life := range f.lives {
			if life.canaries.busy(time.Now()) {
				t.Errorf("%s still looks after the rollout", node)
			}
		}
		update = f.routers["r3"].follower.replica.Update(time.Now(), pullOfNothing())
		is.Equal(update.Configuration.Rollouts.Known.States[0].Phase, canary.Succeeded)
		f.mu.Lock()
		f.blind = time.Now().Add(time.Hour) // whoever reads a state from now on logs it
		f.mu.Unlock()
		lost := recordEvents(t)
		time.Sleep(10 * time.Second)
		is.Equal(lost("rollout_states_not_read"), 0)
	})
}

// A new release beside another one gets nothing until it is known that no order for it is
// on its way; a service of one release never waits.
func TestAReleaseWaitsForAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newGuardedFleet(t, 3)
		f.mu.Lock()
		f.refused = 0 // before the first list nothing can be served
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
		refused := f.refused
		f.mu.Unlock()
		is.True(!first.IsZero())                           // without an order it serves like any
		is.True(first.Sub(listedAt) > 10*time.Millisecond) // after a confirmation
		is.Equal(refused, 0)
	})
}

// An order that is withdrawn is rolled back, also by a holder that comes after that.
func TestAWithdrawnOrderIsRolledBack(t *testing.T) {
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
				f := newGuardedFleet(t, 6)
				f.order(guardedDuration)
				f.sleepUntil(3 * time.Second)
				f.store.change(func() { f.store.reading.Orders = nil })
				if tt.takeover {
					time.Sleep(1500 * time.Millisecond)
					f.hold("r2", 2)
				}
				f.sleepUntil(guardedDuration + 6*time.Second)
				is.New(t).Equal(f.judge(guardedDuration, true), canary.RolledBack)
			})
		})
	}
}

// An order that is written again while its rollout runs goes on under the earlier deadline.
func TestAnOrderThatIsWrittenAgainGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newGuardedFleet(t, 6)
		f.order(guardedDuration)
		f.sleepUntil(3 * time.Second)
		f.store.change(func() {
			f.store.version++
			f.store.reading.Orders = []canary.Order{{Service: "s", Target: newRelease, Duration: time.Minute, Revision: f.store.version}}
		})
		f.sleepUntil(guardedDuration + 6*time.Second)
		is.Equal(f.judge(guardedDuration, false), canary.Succeeded)
		is.True(!f.routers["r4"].follower.replica.currentRollouts().pending())
	})
}

// An order for another release ends the one that runs, and has a verdict of its own.
func TestAnOrderForAnotherReleaseBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newGuardedFleet(t, 6)
		f.order(guardedDuration)
		f.sleepUntil(3 * time.Second)
		f.store.change(func() {
			f.store.version++
			f.store.reading.Orders = []canary.Order{{Service: "s", Target: "v3", Duration: guardedDuration, Revision: f.store.version}}
		})
		f.list(oldRelease, newRelease, "v3")
		f.sleepUntil(guardedDuration + 9*time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		verdicts := map[ident.Release]canary.Phase{}
		for _, told := range f.told {
			target := told.state.Order.Target
			is.True(!verdicts[target].Final() || verdicts[target] == told.state.Phase) // a verdict stays
			verdicts[target] = told.state.Phase
		}
		is.Equal(verdicts, map[ident.Release]canary.Phase{newRelease: canary.RolledBack, "v3": canary.Succeeded})
	})
}

func TestGuardsAllocateNothingForARequest(t *testing.T) {
	is := is.New(t)
	c := newCanaries(guardedBounds, &canaries{metrics: newMetrics(func() reading { return reading{} })})
	record := recordsOf(oldRelease)
	c.applyList(time.Now(), record)
	c.setRollouts(time.Now(), nil)
	now := time.Now()
	ask := canary.ChooseRequest{Service: "s", Route: "route", First: true}
	allocs := testing.AllocsPerRun(500, func() {
		releases := c.Choose(now, ask)
		if releases.Restricted() {
			t.Error("a service of one release is bounded")
		}
		c.Ended(now, c.Sent(now, "s", record[0]), canary.Sample{Route: "route", Outcome: canary.Answered})
	})
	is.Equal(allocs, 0.0)
}
