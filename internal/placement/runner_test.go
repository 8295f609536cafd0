package placement

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
)

// loads is an endpoint.LoadReader whose engines report when they are told to.
type loads struct{ answers atomic.Bool }

func (l *loads) Load(_ context.Context, _ string) (protocol.LoadReport, error) {
	if !l.answers.Load() {
		return protocol.LoadReport{}, errors.New("no answer")
	}
	return reportOf("life"), nil
}

// startRunner runs a duty over two engines until the test ends. Inside a
// synctest bubble a goroutine that does not end fails the test.
func startRunner(t *testing.T, observer *loads, maxOpen int) *Runner {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	poller := endpoint.NewPoller(observer, time.Second, 16)
	duty := NewRunner(RunnerConfig{
		MaxOpen: maxOpen, PollInterval: 250 * time.Millisecond, PollsPerTick: 8, PollTick: 50 * time.Millisecond,
		OnChange: func(endpoint.Change) {}, OnSnapshotDue: func(ident.Engine) {}, OnMessage: func(directory.Envelope) {},
	}, newTestCore(t, 1), poller)
	poller.Start(ctx, 2)
	go duty.Run(ctx)
	t.Cleanup(func() {
		stop()
		poller.Wait()
	})
	return duty
}

func TestRunnerPlacesAndTakesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		observer := &loads{}
		observer.answers.Store(true)
		duty := startRunner(t, observer, 16)
		first, err := duty.Place(t.Context(), jobOf("r1", time.Second))
		is.NoErr(err)
		second, err := duty.Place(t.Context(), jobOf("r2", time.Second))
		is.NoErr(err)
		is.True(first.Candidate.Endpoint.Engine != second.Candidate.Endpoint.Engine) // one each

		_, err = duty.Place(t.Context(), jobOf("r3", time.Second))
		is.True(fault.Is(err, fault.DeadlineExceeded)) // both full until the hold ended
		duty.RecordEnd(first.Job.Key, Result{Incarnation: "life", TimeToFirstToken: time.Millisecond})
		third, err := duty.Place(t.Context(), jobOf("r4", time.Second))
		is.NoErr(err)
		is.Equal(third.Candidate.Endpoint.Engine, first.Candidate.Endpoint.Engine)
	})
}

func TestAJobWhoseCallerLeftHoldsNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		observer := &loads{}
		duty := startRunner(t, observer, 16)
		leaving, leave := context.WithCancel(t.Context())
		go func() {
			time.Sleep(20 * time.Millisecond)
			leave()
		}()
		_, err := duty.Place(leaving, jobOf("r1", time.Minute))
		is.True(fault.Is(err, fault.DeadlineExceeded))
		is.Equal(fault.From(err).Ran, fault.RanNo)
		observer.answers.Store(true)
		time.Sleep(time.Second)
		_, err = duty.Place(t.Context(), jobOf("r2", time.Second))
		is.NoErr(err)
		_, err = duty.Place(t.Context(), jobOf("r3", time.Second))
		is.NoErr(err)
	})
}
