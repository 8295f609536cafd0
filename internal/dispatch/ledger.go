package dispatch

import "github.com/fieldpond/fieldpond/internal/fault"

// RunLedger records the attempts of one request and says what may be told of
// its execution. "No" may be said only if no attempt left this process, or
// every attempt that left was refused explicitly before execution.
type RunLedger struct {
	left     int
	refused  int
	executed bool
}

// Left records that an attempt may have left this process. It is called before
// the first byte can be written.
func (l *RunLedger) Left() { l.left++ }

// Refused records that the last attempt to leave was refused explicitly before
// execution, or was shown not to have left after all.
func (l *RunLedger) Refused() { l.refused++ }

// Executed records proof that a back end executed the request, in part at least.
func (l *RunLedger) Executed() { l.executed = true }

// Settle records the end of an attempt from its error's statement.
func (l *RunLedger) Settle(ran fault.Ran) {
	switch ran {
	case fault.RanNo:
		l.Refused()
	case fault.RanYes:
		l.Executed()
	}
}

// Ran returns what is known about execution.
func (l *RunLedger) Ran() fault.Ran {
	if l.executed {
		return fault.RanYes
	}
	if l.left > l.refused {
		return fault.RanUnknown
	}
	return fault.RanNo
}
