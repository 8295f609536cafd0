package dispatch

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// ResumeJob is a stream that a caller resumes, maybe at another router. Only the
// position of the request is known.
type ResumeJob struct {
	Position Position
	// Address is the engine's, looked up after the tenant's zones were checked.
	Address string
}

// Resume sends the rest of a stream to the sink. The engine must be the same
// incarnation: the prompt and text of the request are not known here, so the
// generation cannot be continued elsewhere, and regenerating it would give the
// caller a second answer after a part of the first.
func (d *Dispatcher) Resume(ctx context.Context, job ResumeJob, sink Sink) (Completion, error) {
	d.KeepStream(job.Position.Stream)
	position := job.Position
	sequencer := NewResumedSequencer(position)
	reader := &streamReader{
		dispatcher: d,
		address:    job.Address,
		sequencer:  sequencer,
		onBroken:   func() {},
		onEvent: func(event *protocol.StreamEvent) error {
			if event.Kind != protocol.EventChunk {
				return nil
			}
			position.Next = sequencer.Next()
			position.EmittedBytes += len(event.Text)
			position.EmittedTokens += event.Tokens
			return sink.Chunk(Chunk{Text: event.Text, Position: position})
		},
	}
	end, err := d.resumeAndRead(ctx, reader)
	if errors.Is(err, errCallerGone) {
		d.cancelStream(job.Address, position.Stream, d.config.ResumeGrace)
	}
	if err != nil {
		return Completion{}, fault.Wrap(err, fault.StreamBroken, "the stream could not be resumed on engine %s", position.Engine).
			WithRan(fault.RanYes).WithRetryAfter(d.config.RetryAfter)
	}
	return Completion{
		FinishReason: end.FinishReason,
		Version:      position.Version,
		Usage: protocol.Usage{
			PromptTokens:     position.PromptTokens,
			CachedTokens:     position.CachedTokens,
			CompletionTokens: position.EmittedTokens,
		},
	}, nil
}

func (d *Dispatcher) resumeAndRead(ctx context.Context, reader *streamReader) (*protocol.StreamEvent, error) {
	stream, err := reader.resume(ctx)
	if err != nil {
		return nil, err
	}
	// The engine may not have generated its first token yet.
	reader.idleResumes = 0
	return reader.run(ctx, stream)
}
