package backend

import "time"

// peerQueue is the number of requests waiting at a back end as a peer reported it. This
// router's own requests are a small part of them.
type peerQueue struct {
	waiting int
	at      time.Time
}

const (
	// queuedRequestDelay is how long each waiting request is taken to delay a new one.
	queuedRequestDelay = 50 * time.Millisecond
	// queueDrainDivisor is how many times slower than time passes a reported queue is taken to
	// shrink: other routers keep sending.
	queueDrainDivisor = 2
	// peerQueueTTL is how long a reported queue counts; it is reported several times within it.
	peerQueueTTL = time.Second
	// maxPeerQueue bounds a reported queue, so that a faulty peer cannot exclude a back end.
	maxPeerQueue = 32
)

// fresh reports whether the queue was reported recently.
func (q peerQueue) fresh(now time.Time) bool { return now.Sub(q.at) <= peerQueueTTL }

// wait returns how long the queue is expected to delay a new request.
func (q peerQueue) wait(now time.Time) time.Duration {
	if !q.fresh(now) {
		return 0
	}
	age := now.Sub(q.at)
	return max(time.Duration(q.waiting)*queuedRequestDelay-age/queueDrainDivisor, 0)
}
