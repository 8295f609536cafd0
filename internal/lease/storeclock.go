package lease

import "time"

// storeClock relates the table's own steady time to this node's clock.
type storeClock struct {
	// storeTime is the table's time when it answered a question asked at requestedAt; it
	// is 0 until the table told its time.
	storeTime   time.Duration
	requestedAt time.Time
}

// saw takes in the table's time in the answer to a question asked at a time.
func (c *storeClock) observe(requestedAt time.Time, storeTime time.Duration) {
	if storeTime > 0 {
		c.storeTime, c.requestedAt = storeTime, requestedAt
	}
}

// latest returns the latest that the table's time can be now, if rates differ by
// drift at most; 0 if nothing is known.
func (c *storeClock) latest(now time.Time, drift float64) time.Duration {
	if c.storeTime == 0 {
		return 0
	}
	return c.storeTime + time.Duration((1+drift)*float64(now.Sub(c.requestedAt)))
}
