package forward

import (
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// stallGapFactor multiplies a route's gap target into the wait for the next event
// before a resumable stream is continued elsewhere.
const stallGapFactor = 4

var errEventGap = errors.New("an event of the stream is missing")

// stream passes on events, each complete and in order. The head of the first
// answer is passed on with its first event.
func (a *attempt) stream(reply *Reply) *failure {
	events := newEventReader(reply.Body, a.forwarder.held)
	defer events.close()
	timeout := a.stallTimeout()
	for {
		next, err := events.next()
		if err == io.EOF && reply.Unframed && a.firstByteAt.IsZero() {
			return a.streamFailure(errUnframedEmpty)
		}
		if err == io.EOF {
			return a.streamEnded(reply)
		}
		if err != nil {
			return a.streamFailure(err)
		}
		a.recordReceived()
		a.reportProgress(clock.Now())
		a.resetIdleTimer(timeout)
		if next.hasID && a.hasLastEvent {
			if next.id <= a.lastEventNumber {
				continue
			}
			if next.id > a.lastEventNumber+1 && a.events > 0 {
				return a.streamFailure(errEventGap)
			}
		}
		if err := a.passEvent(reply, &next, !events.buffered()); err != nil {
			return &failure{ran: fault.RanYes, outcome: backend.Abandoned, cause: err}
		}
	}
}

// stallTimeout returns how long the next event is awaited, or 0 if only the request's
// deadline bounds the wait.
func (a *attempt) stallTimeout() time.Duration {
	if a.idleTimer == nil {
		return 0
	}
	return max(stallGapFactor*a.route.GapTarget, time.Second)
}

// resetIdleTimer restarts the idle timer for the next event, unless it has already fired.
func (a *attempt) resetIdleTimer(timeout time.Duration) {
	if timeout > 0 && a.idleTimer.Stop() {
		a.idleTimer.Reset(timeout)
	}
}

func (a *attempt) passEvent(reply *Reply, next *event, flush bool) error {
	a.recordOrigin()
	if !a.headSent {
		a.headSent = true
		a.sink.Head(reply.Status, reply.Header, -1)
	}
	if err := a.sink.Write(next.raw); err != nil {
		return err
	}
	a.events++
	if next.hasID {
		a.lastEventNumber, a.hasLastEvent = next.id, true
		a.lastEventID = strconv.FormatInt(next.id, 10)
	} else if next.hasContent {
		a.unnumbered.Store(true)
	}
	if flush {
		return a.sink.Flush()
	}
	return nil
}

// streamEnded records the proven end of a stream.
func (a *attempt) streamEnded(reply *Reply) *failure {
	if !a.headSent {
		a.headSent = true
		a.sink.Head(reply.Status, reply.Header, -1)
	}
	a.recordStep(StepAnswered, func(step *Step) { step.Status = reply.Status })
	return nil
}

// streamFailure returns the failure of a stream that broke off; what was passed on stays valid.
func (a *attempt) streamFailure(err error) *failure {
	return &failure{ran: fault.RanUnknown, outcome: backend.Broken, cause: err}
}
