package lease

import "time"

// storeClock relates the table's own monotonic time to this node's clock.
type storeClock struct {
	// storeTime is the table's time in its answer to a request made at requestedAt; 0 until the
	// table reported one.
	storeTime   time.Duration
	requestedAt time.Time
}

// observe records the table's time in the answer to a request.
func (c *storeClock) observe(requestedAt time.Time, storeTime time.Duration) {
	if storeTime > 0 {
		c.storeTime, c.requestedAt = storeTime, requestedAt
	}
}

// latest returns the latest that the table's time can be now, if clock rates differ by drift at
// most; 0 if unknown.
func (c *storeClock) latest(now time.Time, drift float64) time.Duration {
	if c.storeTime == 0 {
		return 0
	}
	return c.storeTime + time.Duration((1+drift)*float64(now.Sub(c.requestedAt)))
}
