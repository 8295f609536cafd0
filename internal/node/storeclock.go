package node

import "time"

// storeClock relates the store's own monotonic time to this router's clock, which runs on while
// the process is paused: the store's time was storeTime at askedAt or later.
type storeClock struct {
	// storeTime is 0 if unknown.
	storeTime time.Duration
	askedAt   time.Time
}

// earliest returns the earliest local time at which the store can have sent an answer that was
// requested at askedAt and has the store's time storeTime. The time at which the answer was read
// may be too late, as the process may have been paused, and askedAt may be watchHold too early.
func (c storeClock) earliest(askedAt time.Time, storeTime time.Duration, now time.Time) time.Time {
	if c.storeTime == 0 || storeTime == 0 {
		return askedAt
	}
	earliest := c.askedAt.Add(storeTime - c.storeTime)
	switch {
	case earliest.Before(askedAt):
		return askedAt
	case earliest.After(now):
		return now
	}
	return earliest
}
