package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/faultboard"
	"github.com/fieldpond/fieldpond/standin/platform"
)

// versionWatch records the fleet file version that each router reports.
type versionWatch struct {
	t     *testing.T
	c     *harness.Cluster
	mutex sync.Mutex
	last  map[string]uint64
}

// watchVersions polls every router until the test ends and fails the test if a
// version decreases, even across a restart.
func watchVersions(t *testing.T, c *harness.Cluster) *versionWatch {
	watch := &versionWatch{t: t, c: c, last: map[string]uint64{}}
	ctx, stop := context.WithCancel(t.Context())
	var work sync.WaitGroup
	for _, router := range c.Routers {
		work.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				if state, answered := routerStatus(ctx, c, router); answered && state.FleetVersion > 0 {
					watch.observe(router, state.FleetVersion)
				}
			}
		})
	}
	t.Cleanup(func() {
		stop()
		work.Wait()
	})
	return watch
}

func (w *versionWatch) observe(router string, version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if version < w.last[router] {
		w.t.Errorf("%s went from version %d to %d", router, w.last[router], version)
	}
	w.last[router] = version
}

// await waits until every router has reported the version or a newer one.
func (w *versionWatch) await(version uint64) {
	w.t.Helper()
	w.c.Await(fmt.Sprintf("version %d is in force everywhere", version), func() bool {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for _, router := range w.c.Routers {
			if w.last[router] < version {
				return false
			}
		}
		return true
	})
}

// operators applies fleet files and counts the reported outcomes.
type operators struct {
	t     *testing.T
	c     *harness.Cluster
	mutex sync.Mutex
	// accepted holds the names of the files reported as accepted, by version;
	// unknownOutcomes counts applies without a reported version.
	accepted        map[uint64]string
	unknownOutcomes int
}

// apply applies a file of the given name once and returns whether the command
// reported it accepted.
func (o *operators) apply(name string) bool {
	document := *o.c.Document
	document.Name = name
	output, err := o.c.RunApply(&document, "--output", "json", "--timeout", "5s")
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var applied struct {
		Version uint64 `json:"version"`
	}
	if err != nil || json.Unmarshal([]byte(output), &applied) != nil {
		o.unknownOutcomes++
		return false
	}
	if other, reported := o.accepted[applied.Version]; reported {
		o.t.Errorf("%s and %s were both reported as version %d", name, other, applied.Version)
	}
	o.accepted[applied.Version] = name
	return true
}

// applyConcurrently lets two operators apply at once until each file is accepted.
func (o *operators) applyConcurrently(label string) {
	concurrently(2, func(number int) {
		for try := range 20 {
			if o.apply(fmt.Sprintf("%s-%d-%d", label, number, try)) {
				return
			}
		}
	})
}

// headCommits counts the accepted files in the table's truth log.
func headCommits(c *harness.Cluster) uint64 {
	count := uint64(0)
	for _, commit := range c.History() {
		for _, write := range commit.Writes {
			if write.Key == fleet.HeadKey {
				count++
			}
		}
	}
	return count
}

// Guards against an accepted file that is lost or reverts on a router under
// concurrent applies, store faults, frozen and replaced routers.
func TestAcceptedFilesNeverRevertOnRealRouters(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Config{Routers: 3, Engines: 1, Applications: 1})
	watch := watchVersions(t, c)
	ops := &operators{t: t, c: c, accepted: map[uint64]string{1: "proofs"}}
	slow := faultboard.Fault{Service: platform.ServiceTable, Kind: platform.FaultSlow, DurationMillis: lastingMillis, DelayMillis: 200}
	lossy := faultboard.Fault{
		Service: platform.ServiceTable, Kind: platform.FaultLoseAnswer, DurationMillis: lastingMillis, Probability: 0.5, OnlyWrites: true,
	}
	steps := []struct {
		name string
		run  func(t *testing.T)
	}{
		{"two operators race", func(*testing.T) { ops.applyConcurrently("race") }},
		{"two operators race, the store slow", func(*testing.T) {
			c.Inject(harness.Platform, slow)
			ops.applyConcurrently("slow")
		}},
		{"answers of applies lost", func(*testing.T) {
			c.Inject(harness.Platform, lossy)
			ops.applyConcurrently("lossy")
		}},
		{"the store down", func(t *testing.T) {
			c.Inject(harness.Platform, lastingFault(platform.ServiceTable, platform.FaultOutage))
			is.New(t).True(!ops.apply("down"))
		}},
		{"a router frozen across three versions", func(*testing.T) {
			c.Freeze(c.Routers[1])
			for version := range 3 {
				ops.applyConcurrently(fmt.Sprint("frozen", version))
			}
			c.Resume(c.Routers[1])
		}},
		{"every router replaced during applies", func(*testing.T) {
			for index, router := range c.Routers {
				var work sync.WaitGroup
				work.Go(func() { ops.applyConcurrently(fmt.Sprint("rolling", index)) })
				c.Kill(router)
				c.Restart(router)
				work.Wait()
			}
		}},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			step.run(t)
			c.ClearFaults(harness.Platform)
			watch.await(headCommits(c))
		})
	}
	check := is.New(t)
	accepted := headCommits(c)
	reported := uint64(len(ops.accepted))
	check.True(reported <= accepted)                             // no file was reported accepted that was not
	check.True(accepted <= reported+uint64(ops.unknownOutcomes)) // and no file was accepted without an apply
	check.True(accepted > 12)                                    // the concurrent applies took place
	for version := range ops.accepted {
		check.True(version <= accepted)
	}
}
