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

// errCallerGone means that the caller left or was too slow; it is never sent.
var errCallerGone = errors.New("caller gone")

// streamReader reads one stream of one engine incarnation to its end, resuming it as needed.
type streamReader struct {
	dispatcher *Dispatcher
	address    string
	sequencer  *Sequencer
	// firstTimeout bounds the wait for the first chunk.
	firstTimeout time.Duration
	// onEvent receives each accepted event; its error means that the caller is gone.
	onEvent func(event *protocol.StreamEvent) error
	// onBroken is called when the stream breaks, once for every connection.
	onBroken func()
	chunks   int
	// idleResumes counts consecutive resumes that brought no event.
	idleResumes int
}

// run returns the end event. Its error is errCallerGone, or a *fault.Fault if
// the stream cannot be resumed on this incarnation.
func (r *streamReader) run(ctx context.Context, stream engine.EventStream) (*protocol.StreamEvent, error) {
	for {
		end, err := r.consume(ctx, stream)
		stream.Close()
		if end != nil || errors.Is(err, errCallerGone) {
			return end, err
		}
		if ctx.Err() != nil {
			return nil, errCallerGone
		}
		r.onBroken()
		if !r.sequencer.StreamKnown() || r.sequencer.Ended() {
			return nil, err
		}
		stream, err = r.resume(ctx)
		if err != nil {
			return nil, err
		}
	}
}

// consume reads one connection until the end event (returned), a break, a gap or a stall.
func (r *streamReader) consume(ctx context.Context, stream engine.EventStream) (*protocol.StreamEvent, error) {
	var stalled atomic.Bool
	timer := time.AfterFunc(r.eventTimeout(), func() {
		stalled.Store(true)
		stream.Close()
	})
	defer timer.Stop()
	defer context.AfterFunc(ctx, stream.Close)()
	for {
		event, err := stream.Next()
		if stalled.Load() {
			r.dispatcher.Counters.Stalls.Add(1)
			return nil, fault.New(fault.BackendLost, "no event arrived in time").WithRan(fault.RanUnknown)
		}
		if err != nil {
			return nil, streamFault(err)
		}
		switch result := r.sequencer.Check(&event); result {
		case Accepted:
		case Gap:
			r.dispatcher.Counters.Gaps.Add(1)
			return nil, fault.New(fault.BackendLost, "an event of the stream was lost").WithRan(fault.RanYes)
		default:
			r.dispatcher.countDropped(result)
			continue
		}
		timer.Stop()
		r.idleResumes = 0
		end, err := r.deliver(&event)
		if end != nil || err != nil {
			return end, err
		}
		timer.Reset(r.eventTimeout())
	}
}

// deliver passes an accepted event to onEvent, and returns it if it ends the stream.
func (r *streamReader) deliver(event *protocol.StreamEvent) (*protocol.StreamEvent, error) {
	if event.Kind == protocol.EventError {
		return nil, fault.New(fault.BackendLost, "the engine aborted the stream").WithRan(fault.RanYes)
	}
	if event.Kind == protocol.EventChunk {
		r.chunks++
	}
	if err := r.onEvent(event); err != nil {
		return nil, errors.Wrap(errCallerGone, err.Error())
	}
	if event.Kind == protocol.EventEnd {
		return event, nil
	}
	return nil, nil
}

// eventTimeout returns the bound of the wait for the next event. It is short after
// a resume, since the engine sends at once what it has already generated.
func (r *streamReader) eventTimeout() time.Duration {
	if r.idleResumes > 0 {
		return r.dispatcher.config.ResumeTimeout
	}
	if r.chunks == 0 && r.firstTimeout > 0 {
		return r.firstTimeout
	}
	return r.dispatcher.config.StallTimeout
}

// streamFault converts the error of an open stream to a fault. EOF without an
// end event is a broken stream too.
func streamFault(err error) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.BackendLost, "the stream closed without its end event").WithRan(fault.RanUnknown)
	}
	return fault.From(err)
}

// resume reopens the stream at its next event. It returns a fault if the engine
// refuses, or after MaxIdleResumes resumes that brought no event.
func (r *streamReader) resume(ctx context.Context) (engine.EventStream, error) {
	for {
		if r.idleResumes >= r.dispatcher.config.MaxIdleResumes {
			return nil, fault.New(fault.BackendLost, "the stream could not be resumed").WithRan(fault.RanUnknown)
		}
		if r.idleResumes > 0 && !wait.For(ctx, r.dispatcher.config.ResumeDelay) {
			return nil, errCallerGone
		}
		r.idleResumes++
		r.dispatcher.Counters.Resumes.Add(1)
		stream, err := r.dispatcher.openStream(ctx, r.dispatcher.config.ResumeTimeout, func(ctx context.Context) (engine.EventStream, error) {
			return r.dispatcher.Engines.Resume(ctx, r.address, engine.ResumeTarget{
				Incarnation: r.sequencer.Incarnation(),
				Stream:      r.sequencer.Stream(),
				From:        r.sequencer.Next(),
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

// openStream opens a stream within limit; the stream then stays open until ctx ends
// or it is closed.
func (d *Dispatcher) openStream(ctx context.Context, limit time.Duration, call func(context.Context) (engine.EventStream, error)) (engine.EventStream, error) {
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
	return &cancellingStream{EventStream: stream, cancel: cancel}, nil
}

// cancellingStream cancels its context when it is closed.
type cancellingStream struct {
	engine.EventStream
	cancel context.CancelFunc
}

// Close implements engine.EventStream.
func (s *cancellingStream) Close() {
	s.EventStream.Close()
	s.cancel()
}

func (d *Dispatcher) countDropped(result CheckResult) {
	switch result {
	case Misrouted:
		d.Counters.Misrouted.Add(1)
	case StaleAttempt:
		d.Counters.StaleAttempt.Add(1)
	case Duplicate:
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

// isBadRequest reports whether a back end refused the request as invalid, as
// every other one would.
func isBadRequest(err error) bool {
	refusal := refusalOf(err)
	return refusal != nil && refusal.Kind == protocol.RefusalBadRequest
}

// asBadRequest returns a fault of the request, not of the back end.
func asBadRequest(err error) *fault.Fault {
	return fault.Wrap(err, fault.BadRequest, "the back end rejected the request as invalid").
		WithRemedy("shorten the prompt, reduce max_tokens or correct the body; the limits are those of the back end")
}
