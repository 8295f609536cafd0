package forward

import "time"

const (
	// ackTimeoutDivisor divides a route's target into the ack timeout, so that another
	// back end can still answer in time. Kernels acknowledge within a round trip, however
	// busy the back end is.
	ackTimeoutDivisor = 2
	// minAckTimeout exceeds the least TCP retransmission timeout, 200 ms.
	minAckTimeout = 250 * time.Millisecond
	// maxAckTimeout applies to routes with a long target or none.
	maxAckTimeout = time.Second
)

// ackTimeout returns how long bytes of an attempt may stay unacknowledged.
func (r *run) ackTimeout() time.Duration {
	if r.route.Target <= 0 {
		return maxAckTimeout
	}
	return min(max(r.route.Target/ackTimeoutDivisor, minAckTimeout), maxAckTimeout)
}
