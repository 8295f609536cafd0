package forward

import "time"

const (
	// ackPart is the part of a route's target within which the machine of a back end
	// has to acknowledge bytes: what is found silent then can still be answered in
	// time by another one. Machines acknowledge within a round trip, however busy
	// their back end is.
	ackPart = 2
	// leastAck leaves time for a lost packet to be sent again, after 200 ms at least.
	leastAck = 250 * time.Millisecond
	// mostAck bounds it for routes with a long target or none.
	mostAck = time.Second
)

// ackWithin returns how long bytes of an attempt may stay unacknowledged.
func (r *run) ackWithin() time.Duration {
	if r.route.Target <= 0 {
		return mostAck
	}
	return min(max(r.route.Target/ackPart, leastAck), mostAck)
}
