package dispatch

import "github.com/fieldpond/fieldpond/internal/fault"

// Event is an event of the request state chart (charts/request.yaml).
type Event string

// The events that dispatch fires.
const (
	EventCheckPassed    Event = "check_passed"
	EventAdmitted       Event = "admitted"
	EventClaimWon       Event = "claim_won"
	EventClaimLost      Event = "claim_lost"
	EventClaimFailed    Event = "claim_failed"
	EventAttemptSent    Event = "attempt_sent"
	EventAttemptRefused Event = "attempt_refused"
	EventAttemptLost    Event = "attempt_lost"
	EventStreamStarted  Event = "stream_started"
	EventStreamBroken   Event = "stream_broken"
	EventStreamResumed  Event = "stream_resumed"
	EventCompleted      Event = "completed"
	EventRunFailed      Event = "run_failed"
	EventGaveUp         Event = "gave_up"
	EventCallerGone     Event = "caller_gone"
)

// Chart is one instance of the request chart. It counts and reports events
// that are not valid in its state; they do not change the request's answer.
type Chart interface {
	Fire(event Event)
}

// finalEvent returns the event that ends the chart of a request that failed.
func finalEvent(failure *fault.Fault) Event {
	if failure.Ran == fault.RanYes {
		return EventRunFailed
	}
	return EventGaveUp
}
