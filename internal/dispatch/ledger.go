package dispatch

import "github.com/fieldpond/fieldpond/internal/fault"

// RunLedger records the attempts of one request and says what may be told of
// its execution. "No" may be said only if no attempt left this process, or
// every attempt that left was refused explicitly before execution.
type RunLedger struct {
	sent     int
	refused  int
	executed bool
}

// RecordSent records that an attempt may have left this process. It is called before
// the first byte can be written.
func (l *RunLedger) RecordSent() { l.sent++ }

// RecordRefused records that the last attempt to leave was refused explicitly before
// execution, or was shown not to have left after all.
func (l *RunLedger) RecordRefused() { l.refused++ }

// RecordExecuted records proof that a back end executed the request, in part at least.
func (l *RunLedger) RecordExecuted() { l.executed = true }

// RecordEnded records the end of an attempt from its error's statement.
func (l *RunLedger) RecordEnded(ran fault.Ran) {
	switch ran {
	case fault.RanNo:
		l.RecordRefused()
	case fault.RanYes:
		l.RecordExecuted()
	}
}

// Ran returns what is known about execution.
func (l *RunLedger) Ran() fault.Ran {
	if l.executed {
		return fault.RanYes
	}
	if l.sent > l.refused {
		return fault.RanUnknown
	}
	return fault.RanNo
}
