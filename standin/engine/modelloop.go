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

// maxPause is the longest pause of the model duty; faults begin and streams
// expire at most this late.
const maxPause = 20 * time.Millisecond

// Bounds of the retained streams and the pause between looks at them.
const (
	maxStreams    = 4096
	sweepInterval = 100 * time.Millisecond
)

// maxFaults bounds the faults that may be planned and injected at once.
const maxFaults = 1024

// command is a piece of work for the model duty.
type command struct {
	run  func(now time.Time)
	done chan struct{}
}

// do lets the model duty run a piece of work and waits for it. The error is a
// *fault.Fault; of kind Overloaded only if the work will never run.
func (s *Server) do(ctx context.Context, run func(now time.Time)) error {
	sent := command{run: run, done: make(chan struct{})}
	if !s.commands.Push(sent) {
		return fault.New(fault.Overloaded, "the engine's command ring is full").WithRetryAfter(time.Second)
	}
	select {
	case <-sent.done:
		return nil
	case <-s.stopped:
		return fault.New(fault.Leaving, "the engine has stopped").WithRan(fault.RanUnknown)
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Timeout, "the caller went away").WithRan(fault.RanUnknown)
	}
}

// runModel is the model duty.
func (s *Server) runModel(ctx context.Context) {
	defer close(s.stopped)
	for {
		s.tick(time.Now())
		timer := time.NewTimer(s.pause(time.Now()))
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
	for next, ok := s.commands.Pop(); ok; next, ok = s.commands.Pop() {
		now := time.Now()
		next.run(now)
		s.deliver(now)
		close(next.done)
	}
}

// pause returns how long nothing can happen.
func (s *Server) pause(now time.Time) time.Duration {
	next, found := s.model.NextTime()
	if !found {
		return maxPause
	}
	return min(max(next.Sub(now), 0), maxPause)
}

// tick brings faults and the model up to now.
func (s *Server) tick(now time.Time) {
	s.applyFaults(now)
	s.deliver(now)
	s.expireStreams(now)
}

// deliver hands the model's outputs to streams, feed, truth log and fetches.
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
				s.options.Logger.WithField("engine", s.name).Error("weight fetch was dropped: ring is full")
			}
		case output.Truth != nil:
			s.truth.Append(*output.Truth)
		}
	}
}

// expireStreams cancels generations without a reader and forgets old streams.
// Above maxStreams every ended stream without a reader counts as old.
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

// applyFaults brings the faults of the plan into force, or ends them.
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
	_, conditions.Draining = active(faultplan.Leave)
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

// crash drops every connection and everything the engine held.
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
	id := ident.Incarnation(ident.NewUnique())
	s.model.Restart(now, id)
	s.incarnation.Store(newIncarnation(id))
	s.network.Push(networkUp)
	s.options.Logger.WithField("engine", s.name).Warn("engine is back, empty")
}

// inject adds a fault that begins now. It returns false if there are too many.
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
