package engine

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/faultplan"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// maxPause is the longest pause of the model goroutine: the maximum delay until
// faults begin and streams expire.
const maxPause = 20 * time.Millisecond

// Bound of the retained streams and the interval between checks for expiry.
const (
	maxStreams    = 4096
	sweepInterval = 100 * time.Millisecond
)

// maxFaults bounds the faults that may be planned and injected at once.
const maxFaults = 1024

// command is a function to run on the model goroutine; done is closed after it ran.
type command struct {
	run  func(now time.Time)
	done chan struct{}
}

// do runs a function on the model goroutine and waits for it. The error is a
// *fault.Fault; it is of kind Overloaded only if the function will never run.
func (s *Server) do(ctx context.Context, run func(now time.Time)) error {
	sent := command{run: run, done: make(chan struct{})}
	if !s.commands.Push(sent) {
		return fault.New(fault.Overloaded, "the engine's command ring is full").WithRetryAfter(time.Second)
	}
	select {
	case <-sent.done:
		return nil
	case <-s.stopped:
		return fault.New(fault.ShuttingDown, "the engine has stopped").WithRan(fault.RanUnknown)
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Timeout, "the caller cancelled or timed out").WithRan(fault.RanUnknown)
	}
}

// runModel is the loop of the model goroutine.
func (s *Server) runModel(ctx context.Context) {
	defer close(s.stopped)
	for {
		s.tick(time.Now())
		timer := time.NewTimer(s.timeToNextEvent(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.commands.Ready():
			s.runCommands()
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (s *Server) runCommands() {
	for received, ok := s.commands.Pop(); ok; received, ok = s.commands.Pop() {
		now := time.Now()
		received.run(now)
		s.deliver(now)
		close(received.done)
	}
}

// timeToNextEvent returns the time until the next model event, at most maxPause.
func (s *Server) timeToNextEvent(now time.Time) time.Duration {
	next, found := s.model.NextTime()
	if !found {
		return maxPause
	}
	return min(max(next.Sub(now), 0), maxPause)
}

// tick advances faults, model and stream expiry to now.
func (s *Server) tick(now time.Time) {
	s.applyFaults(now)
	s.deliver(now)
	s.expireStreams(now)
}

// deliver passes the model's outputs to streams, feed, truth log and weight fetches.
func (s *Server) deliver(now time.Time) {
	current := s.incarnation.Load()
	for _, output := range s.model.Advance(now) {
		switch {
		case output.Event != nil:
			current.streamFor(output.Event.Stream, now).append(*output.Event, now)
		case output.Batch != nil:
			current.feed.append(output.Batch.Events)
		case output.Fetch != nil:
			if !s.fetches.Push(*output.Fetch) {
				s.options.Logger.WithField("engine", s.name).Error("weight fetch dropped: ring is full")
			}
		case output.Truth != nil:
			s.truth.Append(*output.Truth)
		}
	}
}

// expireStreams cancels generations without a reader after the grace period and
// removes ended ones after the retention time, at once above maxStreams.
func (s *Server) expireStreams(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	streams := s.incarnation.Load().listStreams()
	retention := s.options.Retention
	if len(streams) > maxStreams {
		retention = 0
	}
	for stream, kept := range streams {
		ended, quiet := kept.idleFor(now)
		switch {
		case ended && quiet > retention:
			s.incarnation.Load().remove(stream)
		case !ended && quiet > s.options.Grace:
			s.model.Cancel(now, stream)
		}
	}
	s.deliver(now)
}

// applyFaults applies the active faults of the plan and ends the others.
func (s *Server) applyFaults(now time.Time) {
	elapsed := now.Sub(s.started)
	if _, crashed := s.plan.Active(s.name, faultplan.Crash, elapsed); crashed {
		s.crash(now)
		return
	}
	if !s.model.Alive() {
		s.restart(now)
	}
	conditions := s.options.Model.Conditions()
	active := func(kind faultplan.Kind) (faultplan.Parameters, bool) {
		entry, on := s.plan.Active(s.name, kind, elapsed)
		return entry.Parameters, on
	}
	_, conditions.Stalled = active(faultplan.Stall)
	_, conditions.RefuseFull = active(faultplan.RefuseFull)
	_, conditions.Draining = active(faultplan.Drain)
	if slow, on := active(faultplan.Slow); on {
		conditions.SlowFactor = max(slow.Factor, 1)
	}
	if loss, on := active(faultplan.EventLoss); on {
		conditions.EventLoss = loss.Probability
	}
	if delay, on := active(faultplan.EventDelay); on {
		conditions.EventDelay = time.Duration(delay.Delay)
	}
	if lag, on := active(faultplan.LoadLag); on {
		conditions.LoadLag = time.Duration(lag.Delay)
	}
	s.model.SetConditions(now, conditions)
	s.distort(elapsed)
}

// crash ends the incarnation and drops all connections.
func (s *Server) crash(now time.Time) {
	if !s.model.Alive() {
		return
	}
	s.deliver(now)
	s.model.Crash(now)
	s.deliver(now)
	close(s.incarnation.Load().crashed)
	s.network.Push(networkDown)
	s.options.Logger.WithField("engine", s.name).Warn("engine crashed")
}

func (s *Server) restart(now time.Time) {
	id := ident.Incarnation(ident.NewUniqueID())
	s.model.Restart(now, id)
	s.incarnation.Store(newIncarnation(id))
	s.network.Push(networkUp)
	s.options.Logger.WithField("engine", s.name).Warn("engine restarted with an empty cache")
}

// inject adds a fault that begins now. It returns false above maxFaults.
func (s *Server) inject(now time.Time, added faultplan.Fault) bool {
	elapsed := now.Sub(s.started)
	added.At = faultplan.Duration(elapsed)
	s.plan.Prune(elapsed)
	if len(s.plan.Faults) >= maxFaults {
		return false
	}
	s.plan.Add(added)
	s.applyFaults(now)
	return true
}

// Truth returns the truth log.
func (s *Server) Truth() *truth.Log { return s.truth }

func seedOf(name string) uint64 { return xxhash.Sum64String(name) }
