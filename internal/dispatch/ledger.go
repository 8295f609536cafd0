package dispatch

import "github.com/fieldpond/fieldpond/internal/fault"

// RunLedger records the attempts of one request and derives whether it ran. The
// result is RanNo only if no attempt was sent, or every attempt that was sent was
// refused explicitly before execution.
type RunLedger struct {
	sent     int
	refused  int
	executed bool
}

// RecordSent records that an attempt may have been sent. It is called before the
// first byte can be written.
func (l *RunLedger) RecordSent() { l.sent++ }

// RecordRefused records that the last attempt was refused explicitly before
// execution, or proven not to have been sent.
func (l *RunLedger) RecordRefused() { l.refused++ }

// RecordExecuted records proof that a back end executed the request at least in part.
func (l *RunLedger) RecordExecuted() { l.executed = true }

// RecordEnded records the end of an attempt by the Ran of its error.
func (l *RunLedger) RecordEnded(ran fault.Ran) {
	switch ran {
	case fault.RanNo:
		l.RecordRefused()
	case fault.RanYes:
		l.RecordExecuted()
	}
}

// Ran returns whether the request ran, as far as is known.
func (l *RunLedger) Ran() fault.Ran {
	if l.executed {
		return fault.RanYes
	}
	if l.sent > l.refused {
		return fault.RanUnknown
	}
	return fault.RanNo
}
