package forward

import "time"

const (
	// ackTimeoutDivisor is the part of a route's target within which the machine of a back end
	// has to acknowledge bytes: what is found silent then can still be answered in
	// time by another one. Machines acknowledge within a round trip, however busy
	// their back end is.
	ackTimeoutDivisor = 2
	// minAckTimeout leaves time for a lost packet to be sent again, after 200 ms at least.
	minAckTimeout = 250 * time.Millisecond
	// maxAckTimeout bounds it for routes with a long target or none.
	maxAckTimeout = time.Second
)

// ackTimeout returns how long bytes of an attempt may stay unacknowledged.
func (r *run) ackTimeout() time.Duration {
	if r.route.Target <= 0 {
		return maxAckTimeout
	}
	return min(max(r.route.Target/ackTimeoutDivisor, minAckTimeout), maxAckTimeout)
}
