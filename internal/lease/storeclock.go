package lease

import "time"

// storeClock relates the table's own steady time to this node's clock.
type storeClock struct {
	// at is the table's time when it answered a question asked at askedAt; it
	// is 0 until the table told its time.
	at      time.Duration
	askedAt time.Time
}

// saw takes in the table's time in the answer to a question asked at a time.
func (c *storeClock) saw(askedAt time.Time, at time.Duration) {
	if at > 0 {
		c.at, c.askedAt = at, askedAt
	}
}

// latest returns the latest that the table's time can be now, if rates differ by
// drift at most; 0 if nothing is known.
func (c *storeClock) latest(now time.Time, drift float64) time.Duration {
	if c.at == 0 {
		return 0
	}
	return c.at + time.Duration((1+drift)*float64(now.Sub(c.askedAt)))
}
