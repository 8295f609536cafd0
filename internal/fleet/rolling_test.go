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

// rollingNodes is the number of routers in the cases below.
const rollingNodes = 6

// rollingCluster is a cluster whose routers can be replaced one by one.
type rollingCluster struct {
	*cluster
	t    *testing.T
	stop []context.CancelFunc
	// operators counts applies under way.
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

// replace ends a router and starts another in its place, with nothing kept.
func (r *rollingCluster) replace(index int) {
	if r.stop[index] != nil {
		r.stop[index]()
	}
	ctx, stop := context.WithCancel(r.t.Context())
	r.stop[index] = stop
	r.start(ctx, r.members[index])
}

// race lets two operators apply different files at the same time, and tries
// until each was accepted once.
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

// TestAnAcceptedFileIsInForceAndNeverReverts judges what every life of every
// router put in force by the table's own list of accepted files.
func TestAnAcceptedFileIsInForceAndNeverReverts(t *testing.T) {
	cases := []struct {
		name string
		// acrossLives says that the table answers all the time, so that even a
		// restart must not bring back an older version.
		acrossLives bool
		run         func(r *rollingCluster)
	}{
		{"two operators race, the store slow", false, func(r *rollingCluster) {
			r.table.setDelay(900 * time.Millisecond)
			for round := range 3 {
				r.race(round)
				time.Sleep(2 * time.Second)
			}
		}},
		{"two operators race, the store slow, then down", false, func(r *rollingCluster) {
			r.table.setDelay(1500 * time.Millisecond)
			r.race(0)
			r.operators.Wait()
			time.Sleep(4 * time.Second) // one router has read it
			r.table.setMode(down)
			r.race(1)
		}},
		{"the store down right after an apply", false, func(r *rollingCluster) {
			r.apply(r.t, "two")
			time.Sleep(2 * time.Second) // one poller has read it
			r.table.setMode(down)
		}},
		{"the store down at once after an apply, and back", false, func(r *rollingCluster) {
			r.apply(r.t, "two")
			r.table.setMode(down)
			time.Sleep(time.Minute)
			r.table.setMode(works)
		}},
		{"every router replaced during the applies", true, func(r *rollingCluster) {
			for index := range r.members {
				r.apply(r.t, fmt.Sprint("file-", index))
				r.replace(index)
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"every router replaced while the store is slow", false, func(r *rollingCluster) {
			r.table.setDelay(1500 * time.Millisecond)
			for index := range r.members {
				r.race(index)
				r.replace(index)
				time.Sleep(time.Second)
			}
		}},
		{"a router cut off across three versions", false, func(r *rollingCluster) {
			r.setPartitioned("node-3")
			for version := range 3 {
				r.apply(r.t, fmt.Sprint("file-", version))
				time.Sleep(2 * time.Second)
			}
			r.setPartitioned("")
		}},
		{"a peer that offers an old file as the newest", true, func(r *rollingCluster) {
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
				r.checkAdoptions(test.acrossLives)
			})
		})
	}
}

// checkAdoptions requires that all routers have the file accepted last, and that no life
// of any put a file in force that was not accepted or not newer than the last;
// or, acrossLives, that no router did, restarts included.
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
			r.t.Errorf("%s has %v in force, accepted last was %v", address, syncer.CurrentRef(), last)
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
