package backend

import "time"

// peerQueue is the number of requests that wait at a back end, as another router told it.
// This router's own requests are a few in a hundred of those, or fewer.
type peerQueue struct {
	waiting int
	at      time.Time
}

const (
	// queuedRequestDelay is the time for which each waiting request is taken to put off a new
	// one. Of 30, 50, 100 and 200ms, 50 was the best on copies of the large fleets at a
	// quarter of their size (docs/large-fleets.md).
	queuedRequestDelay = 50 * time.Millisecond
	// queueDrainDivisor is how many times slower than time passes a told queue is taken to
	// become shorter: others go on sending.
	queueDrainDivisor = 2
	// peerQueueTTL is how long a told queue counts; it is told anew several times meanwhile.
	peerQueueTTL = time.Second
	// maxPeerQueue bounds a told queue, so that a teller that is wrong shuts none out.
	maxPeerQueue = 32
)

// fresh reports whether the queue was told lately.
func (q peerQueue) fresh(now time.Time) bool { return now.Sub(q.at) <= peerQueueTTL }

// wait returns for how long the queue is expected to put off a new request.
func (q peerQueue) wait(now time.Time) time.Duration {
	if !q.fresh(now) {
		return 0
	}
	age := now.Sub(q.at)
	return max(time.Duration(q.waiting)*queuedRequestDelay-age/queueDrainDivisor, 0)
}
