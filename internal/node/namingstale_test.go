package node

// Users' days showed requests begin on old weights again, 12.3 s after a newer version was
// acknowledged. Five of seven routers lost power, two stood still for 8.3 s, and the version was
// named in between. Then the five started, and pulled from one that had just gone on and knew what
// there was 8.7 s before. A router that had asked the store meanwhile met the version in its row,
// and told all others that it was named at that moment: since when it might have been named was
// taken at the question, when this router knew nothing, and that it knew nothing when the answer
// was there, when the peer had told it. The log proved it: version 2 with the peer's age, and 3 ms
// later version 3 with age 0, not met at a first look.

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

// scriptedRows is a source whose reads of the rows are played one by one; later ones go to the
// store. Its watch is never answered.
type scriptedRows struct {
	*zoneRouter

	mu    sync.Mutex
	reads []func() error
}

// script sets the next reads.
func (s *scriptedRows) script(reads ...func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = reads
}

// next returns the next read that is played, if there is one.
func (s *scriptedRows) next() func() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reads) == 0 {
		return func() error { return nil }
	}
	read := s.reads[0]
	s.reads = s.reads[1:]
	return read
}

func (s *scriptedRows) Configuration(ctx context.Context) (Reading, error) {
	if err := s.next()(); err != nil {
		return Reading{}, err
	}
	return s.zoneRouter.Configuration(ctx)
}

func (s *scriptedRows) Changes(context.Context, uint64, time.Duration) (Changes, error) {
	return Changes{}, fault.New(fault.RateLimited, "refused")
}

// A version that is found in its row counts from when all rows were last known, whoever told that,
// and whatever became of the questions since.
func TestAVersionCountsFromWhenItsRowWasLastKnown(t *testing.T) {
	const away = 8 * time.Second
	answered := func() error { return nil }
	unanswered := func() error { return fault.New(fault.StoreUnavailable, "no answer") }
	tests := []struct {
		name string
		// reads are those of a router that starts after the others were away; told has it told
		// by a peer what that knew before.
		reads func(told func()) []func() error
	}{
		{"told while the rows are asked for", func(told func()) []func() error {
			return []func() error{func() error { told(); return nil }}
		}},
		{"told after a question without an answer", func(told func()) []func() error {
			return []func() error{unanswered, func() error { told(); return nil }}
		}},
		{"told before questions without an answer", func(told func()) []func() error {
			return []func() error{func() error { told(); return unanswered() }, unanswered, unanswered, answered}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newNamedZone()
				first := z.start(t.Context(), "a")
				time.Sleep(10 * time.Second)
				z.kill("a")
				stale, knownAt := first.follower.replica.Update(time.Now(), &upstream.Pull{}), time.Now()
				time.Sleep(500 * time.Millisecond)
				z.store.name(3)
				namedAt := time.Now()
				time.Sleep(away)
				z.beforeStart = func(_ context.Context, running *zoneRouter) {
					told := func() { is.NoErr(running.follower.take(stale, knownAt)) }
					running.follower.source = &scriptedRows{zoneRouter: running, reads: tt.reads(told)}
				}
				started := z.start(t.Context(), "b")
				time.Sleep(3 * time.Second)
				is.Equal(started.newest().Version, 3)
				is.True(started.newest().SeenAt.Sub(namedAt) <= 0) // no request begins on version 2 for too long
				is.True(knownAt.Sub(started.newest().SeenAt) <= time.Second)
			})
		})
	}
}

// A router that stood still, and whose first question after that gets no answer, does not know what
// was named meanwhile either.
func TestAQuestionWithoutAnAnswerAfterAPauseKnowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newNamedZone()
		source := &scriptedRows{}
		z.beforeStart = func(_ context.Context, running *zoneRouter) {
			source.zoneRouter = running
			running.follower.source = source
		}
		running := z.start(t.Context(), "a")
		time.Sleep(10 * time.Second)
		var namedAt atomic.Pointer[time.Time]
		source.script(
			func() error {
				// The process stands still right after this answer.
				time.AfterFunc(time.Second, func() {
					z.store.name(3)
					now := time.Now()
					namedAt.Store(&now)
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
		is.True(running.newest().SeenAt.Sub(*namedAt.Load()) <= 0)
	})
}
