package dispatch

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// errCallerGone says that the caller left or was too slow; it is never sent.
var errCallerGone = errors.New("caller gone")

// flow reads one stream of one incarnation to its end, resuming it as needed.
type flow struct {
	dispatcher *Dispatcher
	address    string
	sequencer  *Sequencer
	// firstTimeout bounds the wait for the first chunk.
	firstTimeout time.Duration
	// accept takes each accepted event; its error means that the caller is gone.
	accept func(event *protocol.StreamEvent) error
	// broken is called when the stream breaks, once for every connection.
	broken func()
	chunks int
	// idle counts the resumes in a row that brought no event.
	idle int
}

// run returns the end event. Its error is errCallerGone, or a *fault.Fault if
// the stream cannot be read further on this incarnation.
func (f *flow) run(ctx context.Context, stream engine.EventStream) (*protocol.StreamEvent, error) {
	for {
		end, err := f.consume(ctx, stream)
		stream.Close()
		if end != nil || errors.Is(err, errCallerGone) {
			return end, err
		}
		if ctx.Err() != nil {
			return nil, errCallerGone
		}
		f.broken()
		if !f.sequencer.Bound() || f.sequencer.Ended() {
			return nil, err
		}
		stream, err = f.reopen(ctx)
		if err != nil {
			return nil, err
		}
	}
}

// consume reads until the end event (returned), a break, a gap or a stall.
func (f *flow) consume(ctx context.Context, stream engine.EventStream) (*protocol.StreamEvent, error) {
	var stalled atomic.Bool
	timer := time.AfterFunc(f.timeout(), func() {
		stalled.Store(true)
		stream.Close()
	})
	defer timer.Stop()
	defer context.AfterFunc(ctx, stream.Close)()
	for {
		event, err := stream.Next()
		if stalled.Load() {
			f.dispatcher.Counters.Stalls.Add(1)
			return nil, fault.New(fault.BackendLost, "no event arrived in time").WithRan(fault.RanUnknown)
		}
		if err != nil {
			return nil, streamFault(err)
		}
		switch verdict := f.sequencer.Check(&event); verdict {
		case Accepted:
		case Gap:
			f.dispatcher.Counters.Gaps.Add(1)
			return nil, fault.New(fault.BackendLost, "an event of the stream was lost").WithRan(fault.RanYes)
		default:
			f.dispatcher.countDropped(verdict)
			continue
		}
		timer.Stop()
		f.idle = 0
		end, err := f.take(&event)
		if end != nil || err != nil {
			return end, err
		}
		timer.Reset(f.timeout())
	}
}

// take handles one accepted event.
func (f *flow) take(event *protocol.StreamEvent) (*protocol.StreamEvent, error) {
	if event.Kind == protocol.EventError {
		return nil, fault.New(fault.BackendLost, "the engine gave up the stream").WithRan(fault.RanYes)
	}
	if event.Kind == protocol.EventChunk {
		f.chunks++
	}
	if err := f.accept(event); err != nil {
		return nil, errors.Wrap(errCallerGone, err.Error())
	}
	if event.Kind == protocol.EventEnd {
		return event, nil
	}
	return nil, nil
}

// timeout bounds the wait for the next event. After a resume it is short: what
// the engine has already made comes at once.
func (f *flow) timeout() time.Duration {
	if f.idle > 0 {
		return f.dispatcher.config.ResumeStall
	}
	if f.chunks == 0 && f.firstTimeout > 0 {
		return f.firstTimeout
	}
	return f.dispatcher.config.StallTimeout
}

// streamFault turns the error of an open stream into a fault. EOF without an
// end event is a break like any other.
func streamFault(err error) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.BackendLost, "the stream closed without its end event").WithRan(fault.RanUnknown)
	}
	return fault.From(err)
}

// reopen resumes the stream, with a bounded number of tries in a row that
// bring no event. Its fault says that the incarnation is gone for this stream.
func (f *flow) reopen(ctx context.Context) (engine.EventStream, error) {
	for {
		if f.idle >= f.dispatcher.config.ResumeTries {
			return nil, fault.New(fault.BackendLost, "the stream could not be resumed").WithRan(fault.RanUnknown)
		}
		if f.idle > 0 && !wait.For(ctx, f.dispatcher.config.ResumePause) {
			return nil, errCallerGone
		}
		f.idle++
		f.dispatcher.Counters.Resumes.Add(1)
		stream, err := f.dispatcher.open(ctx, f.dispatcher.config.ResumeStall, func(ctx context.Context) (engine.EventStream, error) {
			return f.dispatcher.Engines.Resume(ctx, f.address, engine.ResumeTarget{
				Incarnation: f.sequencer.Incarnation(),
				Stream:      f.sequencer.Stream(),
				From:        f.sequencer.Next(),
			})
		})
		if err == nil {
			return stream, nil
		}
		if ctx.Err() != nil {
			return nil, errCallerGone
		}
		if refusalOf(err) != nil {
			return nil, err
		}
	}
}

// open bounds the opening of a stream by limit; the stream itself lives as long
// as ctx or until it is closed.
func (d *Dispatcher) open(ctx context.Context, limit time.Duration, call func(context.Context) (engine.EventStream, error)) (engine.EventStream, error) {
	streamContext, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, cancel)
	stream, err := call(streamContext)
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	if !timer.Stop() {
		stream.Close()
		cancel()
		return nil, fault.New(fault.BackendLost, "the engine did not answer in time").WithRan(fault.RanUnknown)
	}
	return &openStream{EventStream: stream, cancel: cancel}, nil
}

// openStream frees its context when it is closed.
type openStream struct {
	engine.EventStream
	cancel context.CancelFunc
}

// Close implements engine.EventStream.
func (s *openStream) Close() {
	s.EventStream.Close()
	s.cancel()
}

func (d *Dispatcher) countDropped(verdict Verdict) {
	switch verdict {
	case Crossed:
		d.Counters.Misrouted.Add(1)
	case Late:
		d.Counters.StaleAttempt.Add(1)
	case Repeated:
		d.Counters.Duplicate.Add(1)
	}
}

// refusalOf returns the explicit refusal inside err, or nil.
func refusalOf(err error) *protocol.Refusal {
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		return &refused.Refusal
	}
	return nil
}

// misunderstood reports whether a back end refused the request itself, as all
// others of its kind will.
func misunderstood(err error) bool {
	refusal := refusalOf(err)
	return refusal != nil && refusal.Kind == protocol.RefusalBadRequest
}

// asBadRequest tells the caller that its request, not the back end, is at fault.
func asBadRequest(err error) *fault.Fault {
	return fault.Wrap(err, fault.BadRequest, "the back end cannot take the request").
		WithRemedy("shorten the prompt or max_tokens, or correct the body; the back end's limits bind")
}
