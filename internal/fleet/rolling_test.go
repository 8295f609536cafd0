package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const rollingNodes = 6

// rollingCluster is a cluster whose routers can be replaced one by one.
type rollingCluster struct {
	*cluster
	t    *testing.T
	stop []context.CancelFunc
	// operators waits for running applies.
	operators sync.WaitGroup
}

func newRollingCluster(t *testing.T) *rollingCluster {
	r := &rollingCluster{cluster: newCluster(rollingNodes), t: t, stop: make([]context.CancelFunc, rollingNodes)}
	r.staleBody = smallFile("one")
	r.apply(t, "one")
	for index := range r.members {
		r.replace(index)
	}
	time.Sleep(5 * time.Second)
	return r
}

// replace stops a router and starts another in its place, without its state.
func (r *rollingCluster) replace(index int) {
	if r.stop[index] != nil {
		r.stop[index]()
	}
	ctx, stop := context.WithCancel(r.t.Context())
	r.stop[index] = stop
	r.start(ctx, r.members[index])
}

// race lets two operators apply different files at the same time, with retries.
func (r *rollingCluster) race(round int) {
	for _, operator := range []string{"a", "b"} {
		r.operators.Go(func() {
			for attempt := range 5 {
				_, err := Apply(r.t.Context(), r.table, smallFile(fmt.Sprint(operator, round, "-", attempt)), ApplyOptions{})
				if err == nil {
					return
				}
			}
		})
	}
}

// TestAcceptedFileIsAdoptedAndNeverReverts guards against routers that miss an
// accepted file, or adopt one that was not accepted or is older.
func TestAcceptedFileIsAdoptedAndNeverReverts(t *testing.T) {
	cases := []struct {
		name string
		// acrossRestarts is set if the table always answers, so that even a restart
		// must not revert a version.
		acrossRestarts bool
		run            func(r *rollingCluster)
	}{
		{"concurrent applies, store slow", false, func(r *rollingCluster) {
			r.table.setDelay(900 * time.Millisecond)
			for round := range 3 {
				r.race(round)
				time.Sleep(2 * time.Second)
			}
		}},
		{"concurrent applies, store slow, then down", false, func(r *rollingCluster) {
			r.table.setDelay(1500 * time.Millisecond)
			r.race(0)
			r.operators.Wait()
			time.Sleep(4 * time.Second) // until one router has read it
			r.table.setMode(down)
			r.race(1)
		}},
		{"store down soon after an apply", false, func(r *rollingCluster) {
			r.apply(r.t, "two")
			time.Sleep(2 * time.Second) // until one poller has read it
			r.table.setMode(down)
		}},
		{"store down at once after an apply, then restored", false, func(r *rollingCluster) {
			r.apply(r.t, "two")
			r.table.setMode(down)
			time.Sleep(time.Minute)
			r.table.setMode(works)
		}},
		{"all routers replaced during applies", true, func(r *rollingCluster) {
			for index := range r.members {
				r.apply(r.t, fmt.Sprint("file-", index))
				r.replace(index)
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"all routers replaced while the store is slow", false, func(r *rollingCluster) {
			r.table.setDelay(1500 * time.Millisecond)
			for index := range r.members {
				r.race(index)
				r.replace(index)
				time.Sleep(time.Second)
			}
		}},
		{"router partitioned during three versions", false, func(r *rollingCluster) {
			r.setPartitioned("node-3")
			for version := range 3 {
				r.apply(r.t, fmt.Sprint("file-", version))
				time.Sleep(2 * time.Second)
			}
			r.setPartitioned("")
		}},
		{"peer serves an old file as its newest", true, func(r *rollingCluster) {
			r.setStale("node-0")
			r.table.setDelay(300 * time.Millisecond) // the peer answers first
			for index := range r.members {
				r.apply(r.t, fmt.Sprint("file-", index))
				r.replace(index)
				time.Sleep(time.Second)
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRollingCluster(t)
				test.run(r)
				r.operators.Wait()
				time.Sleep(8 * time.Second)
				r.checkAdoptions(test.acrossRestarts)
			})
		})
	}
}

// checkAdoptions requires that all routers have the last accepted file and adopted
// only accepted ones, each newer than the last of the incarnation or, acrossRestarts,
// none older than the router's last.
func (r *rollingCluster) checkAdoptions(acrossRestarts bool) {
	check := is.New(r.t)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	accepted := map[FileRef]bool{}
	for index, entry := range r.table.model.heads {
		accepted[entry.Ref] = true
		check.Equal(entry.Ref.Version, Version(index+1)) // each version is one file
	}
	last := r.table.model.heads[len(r.table.model.heads)-1].Ref
	check.True(len(r.table.model.heads) > 1)
	for address, syncer := range r.syncers {
		if syncer.CurrentRef() != last {
			r.t.Errorf("%s has %v in force, last accepted %v", address, syncer.CurrentRef(), last)
		}
	}
	for address, incarnations := range r.adopted {
		last := FileRef{}
		for _, refs := range incarnations {
			if !acrossRestarts {
				last = FileRef{}
			}
			for _, ref := range refs {
				check.True(accepted[ref])
				if ref.Version < last.Version || (ref == last && !acrossRestarts) {
					r.t.Errorf("%s went from %v to %v", address, last, ref)
				}
				last = ref
			}
		}
	}
}

func (c *cluster) setPartitioned(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.partitioned = address
}

func (c *cluster) setStale(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stale = address
}

func (f *fakeTable) setDelay(delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = delay
}
