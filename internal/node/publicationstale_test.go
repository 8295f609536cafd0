package node

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// scriptedReads is a source whose next reads of the rows follow a script; later ones go to the
// store. Its watch is always refused.
type scriptedReads struct {
	*zoneRouter

	mu    sync.Mutex
	reads []func() error
}

// script sets the next reads.
func (s *scriptedReads) script(reads ...func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = reads
}

// next returns the next read of the script, or one that succeeds.
func (s *scriptedReads) next() func() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reads) == 0 {
		return func() error { return nil }
	}
	read := s.reads[0]
	s.reads = s.reads[1:]
	return read
}

func (s *scriptedReads) Configuration(ctx context.Context) (Reading, error) {
	if err := s.next()(); err != nil {
		return Reading{}, err
	}
	return s.zoneRouter.Configuration(ctx)
}

func (s *scriptedReads) Changes(context.Context, uint64, time.Duration) (Changes, error) {
	return Changes{}, fault.New(fault.RateLimited, "refused")
}

// A version found in its row must count from when the rows were last known, also if that was
// reported by a peer during the read. Otherwise requests start on older weights for too long.
func TestVersionAgeCountsFromLastKnownRows(t *testing.T) {
	const downtime = 8 * time.Second
	answered := func() error { return nil }
	unanswered := func() error { return fault.New(fault.StoreUnavailable, "no answer") }
	tests := []struct {
		name string
		// reads are those of a router that starts after the others were down; applyStale applies
		// the state that a peer had before.
		reads func(applyStale func()) []func() error
	}{
		{"applied during a read", func(applyStale func()) []func() error {
			return []func() error{func() error { applyStale(); return nil }}
		}},
		{"applied after a failed read", func(applyStale func()) []func() error {
			return []func() error{unanswered, func() error { applyStale(); return nil }}
		}},
		{"applied before failed reads", func(applyStale func()) []func() error {
			return []func() error{func() error { applyStale(); return unanswered() }, unanswered, unanswered, answered}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newPublishedZone()
				first := z.start(t.Context(), "a")
				time.Sleep(10 * time.Second)
				z.kill("a")
				stale, knownAt := first.follower.replica.Update(time.Now(), &upstream.Pull{}), time.Now()
				time.Sleep(500 * time.Millisecond)
				z.store.publish(3)
				publishedAt := time.Now()
				time.Sleep(downtime)
				z.beforeStart = func(_ context.Context, running *zoneRouter) {
					applyStale := func() { is.NoErr(running.follower.apply(stale, knownAt)) }
					running.follower.source = &scriptedReads{zoneRouter: running, reads: tt.reads(applyStale)}
				}
				started := z.start(t.Context(), "b")
				time.Sleep(3 * time.Second)
				is.Equal(started.newest().Version, 3)
				is.True(started.newest().SeenAt.Sub(publishedAt) <= 0) // no request starts on version 2 for too long
				is.True(knownAt.Sub(started.newest().SeenAt) <= time.Second)
			})
		})
	}
}

// A failed first read after a pause must not make the time of the pause count as known.
func TestFailedReadAfterPauseLeavesRowsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newPublishedZone()
		source := &scriptedReads{}
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			source.zoneRouter = running
			running.follower.source = source
		}
		running := z.start(t.Context(), "a")
		time.Sleep(10 * time.Second)
		var publishedAt atomic.Pointer[time.Time]
		source.script(
			func() error {
				// The process is paused right after this answer.
				time.AfterFunc(time.Second, func() {
					z.store.publish(3)
					now := time.Now()
					publishedAt.Store(&now)
				})
				return nil
			},
			func() error {
				time.Sleep(8 * time.Second)
				return fault.New(fault.StoreUnavailable, "no answer")
			},
			func() error { return fault.New(fault.StoreUnavailable, "no answer") },
		)
		time.Sleep(15 * time.Second)
		is.Equal(running.newest().Version, 3)
		is.True(running.newest().SeenAt.Sub(*publishedAt.Load()) <= 0)
	})
}
