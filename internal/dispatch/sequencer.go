package dispatch

import (
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// CheckResult is the result of Sequencer.Check for one event.
type CheckResult string

const (
	// Accepted is the next event of the stream being read.
	Accepted CheckResult = "accepted"
	// Misrouted belongs to another request, incarnation or stream.
	Misrouted CheckResult = "crossed"
	// StaleAttempt belongs to another attempt of the same request.
	StaleAttempt CheckResult = "late"
	// Duplicate was accepted before, or follows the end.
	Duplicate CheckResult = "repeated"
	// Gap means that the next event was lost or reordered; the stream must be
	// resumed from Next.
	Gap CheckResult = "gap"
)

// Sequencer accepts exactly the events of one stream, each once, in order. It
// adopts the stream, and the incarnation if none was expected, from the first
// event that carries the request and the attempt.
type Sequencer struct {
	request     ident.Request
	attempt     ident.Attempt
	incarnation ident.Incarnation
	stream      ident.Stream
	next        uint64
	ended       bool
}

// NewSequencer returns a Sequencer for a generation that has not started.
func NewSequencer(request ident.Request, attempt ident.Attempt, incarnation ident.Incarnation) *Sequencer {
	return &Sequencer{request: request, attempt: attempt, incarnation: incarnation}
}

// NewResumedSequencer returns a Sequencer that continues at a position.
func NewResumedSequencer(position Position) *Sequencer {
	return &Sequencer{
		request:     position.Request,
		attempt:     position.Attempt,
		incarnation: position.Incarnation,
		stream:      position.Stream,
		next:        position.Next,
	}
}

// Check classifies an event and advances if it is accepted.
func (s *Sequencer) Check(event *protocol.StreamEvent) CheckResult {
	if event.RequestID != s.request {
		return Misrouted
	}
	if event.Attempt != s.attempt {
		return StaleAttempt
	}
	if !s.matchesStream(event) {
		return Misrouted
	}
	s.incarnation = event.Incarnation
	s.stream = event.Stream
	return s.checkOrder(event)
}

// matchesStream reports whether the event's incarnation and stream are the expected ones.
func (s *Sequencer) matchesStream(event *protocol.StreamEvent) bool {
	if event.Incarnation == "" || event.Stream == "" {
		return false
	}
	if s.incarnation != "" && event.Incarnation != s.incarnation {
		return false
	}
	return s.stream == "" || event.Stream == s.stream
}

func (s *Sequencer) checkOrder(event *protocol.StreamEvent) CheckResult {
	if s.ended || event.Sequence < s.next {
		return Duplicate
	}
	if event.Sequence > s.next {
		return Gap
	}
	s.next++
	s.ended = event.Kind == protocol.EventEnd || event.Kind == protocol.EventError
	return Accepted
}

// Next returns the sequence number of the next event.
func (s *Sequencer) Next() uint64 { return s.next }

// Ended reports whether the end or error event was accepted.
func (s *Sequencer) Ended() bool { return s.ended }

// StreamKnown reports whether the stream is known and can thus be resumed.
func (s *Sequencer) StreamKnown() bool { return s.stream != "" }

// Stream returns the stream, or "" before the first event.
func (s *Sequencer) Stream() ident.Stream { return s.stream }

// Incarnation returns the engine's incarnation, or "" if it is not known yet.
func (s *Sequencer) Incarnation() ident.Incarnation { return s.incarnation }
