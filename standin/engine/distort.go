package engine

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/standin/faultplan"
)

// distortions are the faults that connections simulate.
type distortions struct {
	duplicate bool
	swap      bool
	loseEnd   bool
	// cutAfter is the number of events after which a connection is cut; zero means never.
	cutAfter int
}

// distort publishes the active distortions and cuts connections when a cut fault
// begins. Called by the model goroutine.
func (s *Server) distort(elapsed time.Duration) {
	current := &distortions{}
	_, current.duplicate = s.plan.Active(s.name, faultplan.DuplicateChunks, elapsed)
	_, current.swap = s.plan.Active(s.name, faultplan.SwapChunks, elapsed)
	_, current.loseEnd = s.plan.Active(s.name, faultplan.LoseEnd, elapsed)
	if cut, active := s.plan.Active(s.name, faultplan.Cut, elapsed); active {
		current.cutAfter = cut.Parameters.Events
		if cut.At != s.lastCut {
			s.lastCut = cut.At
			s.cuts.wake()
		}
	}
	s.distortions.Store(current)
}

// distorter rewrites the events of one connection.
type distorter struct {
	source func() *distortions
	// held is a chunk to be sent after its successor.
	held *protocol.StreamEvent
	sent int
}

// transform returns the events to send in place of the event, and whether the
// connection then ends: cut aborts it, lost closes it without the end event.
func (d *distorter) transform(event protocol.StreamEvent) (out []protocol.StreamEvent, cut, lost bool) {
	current := d.source()
	isChunk := event.Kind == protocol.EventChunk
	switch {
	case event.Kind == protocol.EventEnd && current.loseEnd:
		return d.release(), false, true
	case isChunk && current.swap && d.held == nil:
		d.held = &event
		return nil, false, false
	case isChunk:
		out = append(out, event)
		out = append(out, d.release()...)
	default:
		out = append(d.release(), event)
	}
	if isChunk && current.duplicate {
		out = append(out, event)
	}
	d.sent += len(out)
	return out, current.cutAfter > 0 && d.sent >= current.cutAfter, false
}

func (d *distorter) release() []protocol.StreamEvent {
	if d.held == nil {
		return nil
	}
	released := []protocol.StreamEvent{*d.held}
	d.held = nil
	return released
}
