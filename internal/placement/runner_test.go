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

// loadReader is an endpoint.LoadReader whose engines report while available is set.
type loadReader struct{ available atomic.Bool }

func (l *loadReader) Load(_ context.Context, _ string) (protocol.LoadReport, error) {
	if !l.available.Load() {
		return protocol.LoadReport{}, errors.New("no answer")
	}
	return newReport("i1"), nil
}

// startRunner starts a Runner with two engines; it stops when the test ends. In
// a synctest bubble a goroutine that does not end fails the test.
func startRunner(t *testing.T, reader *loadReader, maxOpen int) *Runner {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	poller := endpoint.NewPoller(reader, time.Second, 16)
	runner := NewRunner(RunnerConfig{
		MaxOpen: maxOpen, PollInterval: 250 * time.Millisecond, PollsPerTick: 8, PollTick: 50 * time.Millisecond,
		OnChange: func(endpoint.Change) {}, OnSnapshotDue: func(ident.Engine) {}, OnMessage: func(directory.Envelope) {},
	}, newTestCore(t, 1), poller)
	poller.Start(ctx, 2)
	go runner.Run(ctx)
	t.Cleanup(func() {
		stop()
		poller.Wait()
	})
	return runner
}

func TestRunnerPlacesUpToTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader := &loadReader{}
		reader.available.Store(true)
		runner := startRunner(t, reader, 16)
		first, err := runner.Place(t.Context(), newJob("r1", time.Second))
		is.NoErr(err)
		second, err := runner.Place(t.Context(), newJob("r2", time.Second))
		is.NoErr(err)
		is.True(first.Candidate.Endpoint.Engine != second.Candidate.Endpoint.Engine) // one each

		_, err = runner.Place(t.Context(), newJob("r3", time.Second))
		is.True(fault.Is(err, fault.DeadlineExceeded)) // both full until the hold ended
		runner.RecordEnd(first.Job.Key, Result{Incarnation: "i1", TimeToFirstToken: time.Millisecond})
		third, err := runner.Place(t.Context(), newJob("r4", time.Second))
		is.NoErr(err)
		is.Equal(third.Candidate.Endpoint.Engine, first.Candidate.Endpoint.Engine)
	})
}

func TestCanceledJobHoldsNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader := &loadReader{}
		runner := startRunner(t, reader, 16)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(20 * time.Millisecond)
			cancel()
		}()
		_, err := runner.Place(ctx, newJob("r1", time.Minute))
		is.True(fault.Is(err, fault.DeadlineExceeded))
		is.Equal(fault.From(err).Ran, fault.RanNo)
		reader.available.Store(true)
		time.Sleep(time.Second)
		_, err = runner.Place(t.Context(), newJob("r2", time.Second))
		is.NoErr(err)
		_, err = runner.Place(t.Context(), newJob("r3", time.Second))
		is.NoErr(err)
	})
}
