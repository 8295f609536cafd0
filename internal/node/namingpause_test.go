package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// pausedAfterNews is a source whose process stands still between an answer that tells
// something new and the next step, as often as is left.
type pausedAfterNews struct {
	*zoneRouter
	left  *atomic.Int32
	pause time.Duration
	// loses says that the connection does not outlive the pause.
	loses bool
	// deaf says that changes are never told.
	deaf bool
}

func (p *pausedAfterNews) paused(ctx context.Context, news bool) bool {
	if !news || p.left.Add(-1) < 0 {
		return false
	}
	wait.For(context.WithoutCancel(ctx), p.pause)
	return true
}

func (p *pausedAfterNews) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	if p.deaf {
		return Changes{}, fault.New(fault.RateLimited, "refused")
	}
	changes, err := p.zoneRouter.Changes(ctx, after, hold)
	if p.paused(ctx, err == nil && names(changes.Published, 3)) && p.loses {
		return Changes{}, fault.New(fault.StoreUnavailable, "no answer")
	}
	return changes, err
}

func (p *pausedAfterNews) Configuration(ctx context.Context) (Reading, error) {
	reading, err := p.zoneRouter.Configuration(ctx)
	p.paused(ctx, p.deaf && reading.Models[model] == 3)
	return reading, err
}

func names(named []PublishedWeights, version int) bool {
	for _, one := range named {
		if one.Version == version {
			return true
		}
	}
	return false
}

// The process is paused after the store has answered. A version counts from the moment at
// which the store told it, not from the one at which the process went on.
func TestAnAnswerThatIsReadLateMakesNoVersionYounger(t *testing.T) {
	const pause = 5 * time.Second
	tests := []struct {
		name   string
		source pausedAfterNews
		named  []int
		within time.Duration
	}{
		{"a change that was told", pausedAfterNews{pause: pause}, []int{3, 2}, 20 * time.Millisecond},
		{"a change that was told for longer than a question may take", pausedAfterNews{pause: 2 * watchHold}, []int{3, 2}, 20 * time.Millisecond},
		{"an answer that was lost meanwhile", pausedAfterNews{pause: 2 * watchHold, loses: true}, []int{3, 2}, watchTolerance},
		{"a row", pausedAfterNews{pause: pause, deaf: true}, []int{3}, 700 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newNamedZone()
				z.beforeStart = func(_ context.Context, running *zoneRouter) {
					source := tt.source
					source.zoneRouter, source.left = running, &atomic.Int32{}
					source.left.Store(1)
					running.follower.source = &source
				}
				first := z.start(t.Context(), "a")
				time.Sleep(15 * time.Second)
				z.store.name(tt.named...)
				namedAt := time.Now()
				time.Sleep(tt.source.pause + 3*time.Second)
				is.Equal(first.newest().Version, 3)
				is.True(!first.newest().SeenAtStart)
				is.True(first.newest().SeenAt.Sub(namedAt) <= tt.within)
				is.True(namedAt.Sub(first.newest().SeenAt) <= watchHold)
			})
		})
	}
}

// A router starts, its first read of the naming rows gets no answer, and it is paused before
// it reads them again: what they tell is as old as it is.
func TestNamingRowsThatAreReadAfterAPauseTellTheAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		z.start(t.Context(), "a")
		time.Sleep(3 * time.Second)
		z.store.name(3)
		namedAt := time.Now()
		time.Sleep(time.Second)
		z.kill("a")
		lists := &atomic.Int32{}
		lists.Store(1)
		z.namingTable = &refusingTable{fakeStore: z.store, noList: namingPrefix, failLists: lists}
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			left := &atomic.Int32{}
			left.Store(1)
			running.follower.source = &pausedAfterNews{zoneRouter: running, left: left, pause: 5 * time.Second}
		}
		started := z.start(t.Context(), "b")
		time.Sleep(10 * time.Second)
		is.Equal(started.newest().Version, 3)
		is.True(!started.newest().SeenAtStart)
		is.True(started.newest().SeenAt.Sub(namedAt).Abs() <= 20*time.Millisecond)
	})
}

func TestTheEarliestMomentOfAnAnswer(t *testing.T) {
	start := time.Now()
	read := storeMoment{storeTime: time.Minute, askedAt: start}
	tests := []struct {
		name      string
		read      storeMoment
		askedAt   time.Duration
		storeTime time.Duration
		earliest  time.Duration
	}{
		{"held back", read, time.Second, time.Minute + 4*time.Second, 4 * time.Second},
		{"given before the read", read, -3 * time.Second, time.Minute - time.Second, -time.Second},
		{"given before it was asked for, by a slow read", read, 5 * time.Second, time.Minute + 4*time.Second, 5 * time.Second},
		{"a store whose clock is fast", read, time.Second, 2 * time.Minute, 9 * time.Second},
		{"no read", storeMoment{}, time.Second, time.Minute, time.Second},
		{"no time of the store", read, time.Second, 0, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.read.earliest(start.Add(tt.askedAt), tt.storeTime, start.Add(9*time.Second)), start.Add(tt.earliest))
		})
	}
}
