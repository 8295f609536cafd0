package node

import "time"

// storeClock relates the store's own steady time to this router's clock, which goes on while
// the process is paused: the store told its time at askedAt or later.
type storeClock struct {
	// storeTime is 0 if it is not known.
	storeTime time.Duration
	askedAt   time.Time
}

// earliest returns the earliest moment here at which the store can have given an answer that
// was asked for at a time, given its own time then. The moment at which the answer was read
// says nothing: a process that was paused reads it late. The one at which it was asked for is
// safe, but an answer that is held back is given up to 10 s after that.
func (m storeClock) earliest(askedAt time.Time, storeTime time.Duration, now time.Time) time.Time {
	if m.storeTime == 0 || storeTime == 0 {
		return askedAt
	}
	earliest := m.askedAt.Add(storeTime - m.storeTime)
	switch {
	case earliest.Before(askedAt):
		return askedAt
	case earliest.After(now):
		return now
	}
	return earliest
}
