package node

// The retry slack is divided by the number of routers. Restarts must not raise what all routers
// use together, neither by low counts nor by a new share for each incarnation.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// A stopping router still serves and must be counted until it ends.
func TestStoppingRouterIsCountedUntilItEnds(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	store.reading.Revision = 1
	config, stop, ended := startNode(t, store, 0)
	waitForReadyStatus(t, config, 200)
	reader := &routerList{table: store, timeout: time.Second}
	counted := func() int {
		_, routers, err := reader.read(t.Context())
		is.NoErr(err)
		return routers
	}
	for range 400 {
		if counted() == 1 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	stop()
	waitForReadyStatus(t, config, 503)
	is.Equal(counted(), 1)
	is.Equal(getStatus(t, config.FrontAddress, "/"), 200)
	is.NoErr(<-ended)
	is.Equal(counted(), 0)
}

// totalSlack is the retry slack of all routers of a slackFleet.
const totalSlack = 54

// slackWindow is the window of the retry slack.
var slackWindow = admission.WindowConfig{Window: zoneSharers.Window}

// slackFleet is a zone whose routers use their whole share of the retry slack.
type slackFleet struct {
	*zone

	granting sync.Mutex
	grants   []time.Time
}

// startRouter starts an incarnation of a router; end kills it.
func (f *slackFleet) startRouter(t *testing.T, node ident.Node) (running *zoneRouter, end func()) {
	ctx, cancel := context.WithCancel(t.Context())
	running = f.start(ctx, node)
	go f.useSlack(ctx, running)
	return running, func() {
		f.kill(node)
		cancel()
	}
}

// useSlack records all retries that the router's share of the slack allows.
func (f *slackFleet) useSlack(ctx context.Context, running *zoneRouter) {
	budget := admission.NewWindowBudget(slackWindow, time.Now())
	wait.Every(ctx, 50*time.Millisecond, func() {
		now := time.Now()
		sharers := running.follower.replica.Sharers()
		for sharers > 0 && budget.Allow(now, float64(totalSlack)/float64(sharers)) {
			f.granting.Lock()
			f.grants = append(f.grants, now)
			f.granting.Unlock()
		}
	})
}

// restart ends a router as a planned stop does, after it has served for a while, and starts it
// again.
func (f *slackFleet) restart(t *testing.T, running *zoneRouter, end func(), serves, pause time.Duration) {
	time.Sleep(serves)
	end()
	running.follower.routerList.leave(t.Context())
	time.Sleep(pause)
	f.startRouter(t, running.node)
}

// maxInWindow returns the largest number of retries in one window.
func (f *slackFleet) maxInWindow() int {
	f.granting.Lock()
	defer f.granting.Unlock()
	slices.SortFunc(f.grants, time.Time.Compare)
	most, first := 0, 0
	for last, at := range f.grants {
		for at.Sub(f.grants[first]) > slackWindow.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// requireWithinSlack fails if a window had more retries than the slack, or if the slack was not
// used.
func (f *slackFleet) requireWithinSlack(t *testing.T) {
	t.Helper()
	most := f.maxInWindow()
	t.Logf("at most %d retries in a window, %d are allowed", most, totalSlack)
	is := is.New(t)
	is.True(most <= totalSlack)
	is.True(most > totalSlack*3/4)
}

func TestRollingRestartStaysWithinSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &slackFleet{zone: newZone()}
		var restarts []func()
		for _, node := range []ident.Node{"a", "b", "c", "d", "e", "f", "g"} {
			running, end := f.startRouter(t, node)
			restarts = append(restarts, func() { f.restart(t, running, end, 6*time.Second, 700*time.Millisecond) })
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		for _, restart := range restarts {
			go restart()
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		f.requireWithinSlack(t)
	})
}

func TestRepeatedRestartsStayWithinSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &slackFleet{zone: newZone()}
		for _, node := range []ident.Node{"a", "b", "c"} {
			f.startRouter(t, node)
		}
		_, end := f.startRouter(t, "d")
		time.Sleep(time.Minute)
		for range 8 {
			end()
			time.Sleep(500 * time.Millisecond)
			_, end = f.startRouter(t, "d")
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		f.requireWithinSlack(t)
	})
}

// A router must have no share of the slack until all have counted it for a window.
func TestRouterGetsShareOfSlackAfterWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		config := Config{
			Forward: forward.Config{Retries: admission.WindowConfig{Window: 10 * time.Second}},
			Follow:  FollowConfig{RouterListInterval: 5 * time.Second, Chain: upstream.Config{StaleAfter: time.Second}},
		}
		replica := New(config, Ports{Source: newFakeStore()}).follower.replica
		count := func() { replica.observeRouterCount(time.Now(), 7) }
		count()
		is.Equal(replica.Sharers(), 0)
		replica.joined(upstream.Peer{})
		for range 3 {
			time.Sleep(5 * time.Second)
			count()
			is.Equal(replica.Sharers(), 0)
		}
		time.Sleep(time.Second - time.Nanosecond)
		is.Equal(replica.Sharers(), 0)
		time.Sleep(time.Nanosecond)
		is.Equal(replica.Sharers(), 7)
	})
}

// randomFleet is a fleet whose routers are started and ended at random.
type randomFleet struct {
	slackFleet
	random *rand.Rand
	// ends are the functions that end the running routers.
	ends [12]func()
}

func (f *randomFleet) startAt(t *testing.T, index int) {
	running, end := f.startRouter(t, ident.Node(fmt.Sprint("n", index)))
	f.ends[index] = func() {
		planned := f.random.IntN(2) == 0
		if planned {
			time.Sleep(time.Duration(f.random.IntN(8000)) * time.Millisecond)
		}
		end()
		if planned {
			running.follower.routerList.leave(t.Context())
		}
	}
}

// change ends a router that is up, or starts one that is not.
func (f *randomFleet) change(t *testing.T) {
	index := f.random.IntN(len(f.ends))
	if end := f.ends[index]; end != nil {
		f.ends[index] = nil
		end()
	} else {
		f.startAt(t, index)
	}
	if f.random.IntN(3) > 0 {
		time.Sleep(time.Duration(f.random.IntN(20000)) * time.Millisecond)
	}
}

// Random starts, kills and planned stops must not raise the retries above the slack.
func TestRandomRestartsStayWithinSlack(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &randomFleet{slackFleet: slackFleet{zone: newZone()}, random: rand.New(rand.NewPCG(seed, 1))}
				for index := range 7 {
					f.startAt(t, index)
				}
				time.Sleep(time.Minute)
				for range 40 {
					f.change(t)
				}
				time.Sleep(time.Minute)
				f.requireWithinSlack(t)
			})
		})
	}
}
