package quota

import (
	"maps"
	"math"
	"net/netip"
	"time"
)

const (
	// memberIntervals is the number of hello intervals after which a silent member is dropped.
	// Until then a router that moved to another pool may count in both.
	memberIntervals = 3
	// memberTimeout is the time of memberIntervals at the default interval.
	memberTimeout = memberIntervals * helloInterval
	// responseRetention is how long responses are kept for retried requests and for releases.
	responseRetention = 4 * time.Second
	// formingIntervals is the number of hello intervals after its last join for which a pool
	// with less than half of all routers may still grow: by then a router has noticed the loss
	// of its leader.
	formingIntervals = 2
	// maxRetryAfter bounds the RetryAfter of a denial.
	maxRetryAfter = 10 * time.Second
)

// Pool is the part of a router that grants requests to the members of its pool. It is not safe
// for concurrent use.
type Pool struct {
	bounds Bounds
	// memberTimeout and formingPeriod are memberIntervals and formingIntervals times the hello
	// interval.
	memberTimeout, formingPeriod time.Duration
	members                      map[netip.AddrPort]time.Time
	// routers is the number of all routers.
	routers int
	// departures are the Leave messages of routers that left recently.
	departures map[netip.AddrPort]departure
	// lastJoinAt is when a new member came last.
	lastJoinAt time.Time
	// sweepAt is when the next member may have to be dropped.
	sweepAt time.Time
	buckets map[Subject]*bucket
	// credits is the number of start credits added so far.
	credits int
	// filled is the time, in seconds, for which all routers would have had to be members to
	// fill the buckets as much as they were since the pool began.
	filled   float64
	filledAt time.Time
	// baseFilled and baseCredits are the values from which new buckets count: those at the last
	// loss of a member.
	baseFilled    float64
	baseCredits   int
	responses     map[requestKey]*answeredRequest
	responseOrder []requestKey
}

// bucket is the token bucket of a subject.
type bucket struct {
	limit   Limit
	version uint64
	level   float64
	// filled and credits are the pool's values up to which level is computed.
	filled  float64
	credits int
	// denials counts recent denials; usedAt is the time of the last request.
	denials denialCounter
	usedAt  time.Time
}

// requestKey identifies a request of one router.
type requestKey struct {
	from netip.AddrPort
	id   uint64
}

// answeredRequest is a request and its response, kept for retries and releases.
type answeredRequest struct {
	response AcquireResponse
	subject  Subject
	amount   float64
	at       time.Time
}

// NewPool returns a pool without members.
func NewPool(bounds Bounds) *Pool {
	pool := &Pool{
		bounds: bounds, members: make(map[netip.AddrPort]time.Time), buckets: make(map[Subject]*bucket),
		responses: make(map[requestKey]*answeredRequest), departures: make(map[netip.AddrPort]departure),
	}
	pool.setHelloInterval(helloInterval)
	return pool
}

func (p *Pool) setHelloInterval(interval time.Duration) {
	p.memberTimeout, p.formingPeriod = memberIntervals*interval, formingIntervals*interval
}

// Join adds or refreshes a member; credit adds the start credit of a new one.
func (p *Pool) Join(now time.Time, from netip.AddrPort, credit bool, routers int) {
	p.advance(now, routers)
	if _, known := p.members[from]; !known && credit {
		p.credits++
	}
	if _, known := p.members[from]; !known {
		p.lastJoinAt = now
	}
	p.members[from] = now
}

// Leave removes a member.
func (p *Pool) Leave(now time.Time, from netip.AddrPort, routers int) {
	p.advance(now, routers)
	if _, known := p.members[from]; known {
		delete(p.members, from)
		p.shrink(routers)
	}
}

// Members returns the number of members.
func (p *Pool) Members() int { return len(p.members) }

// forming reports whether routers are still joining, after the loss of their leader or a start
// of the whole fleet: the pool may soon grant what it cannot grant yet.
func (p *Pool) forming(now time.Time, routers int) bool {
	return 2*len(p.members) < routers && now.Sub(p.lastJoinAt) < p.formingPeriod
}

// share returns the part of all limits that the members contribute.
func (p *Pool) share(routers int) float64 {
	return min(float64(len(p.members))/float64(max(routers, 1)), 1)
}

// advance updates the pool to a time: it fills the buckets and drops silent members.
func (p *Pool) advance(now time.Time, routers int) {
	p.routers = routers
	if elapsed := now.Sub(p.filledAt); !p.filledAt.IsZero() && elapsed > 0 {
		// A leader that was paused has no information on its members for that time.
		elapsed = min(elapsed, p.memberTimeout)
		p.filled += elapsed.Seconds() * p.share(routers)
	}
	p.filledAt = now
	if now.Before(p.sweepAt) {
		return
	}
	p.sweepAt = now.Add(p.memberTimeout)
	before := len(p.members)
	for member, refreshedAt := range p.members {
		goneAt := refreshedAt.Add(p.memberTimeout)
		if !now.Before(goneAt) {
			delete(p.members, member)
		} else if goneAt.Before(p.sweepAt) {
			p.sweepAt = goneAt
		}
	}
	if len(p.members) < before {
		p.shrink(routers)
	}
	p.dropUnusedBuckets(now)
	maps.DeleteFunc(p.departures, func(_ netip.AddrPort, left departure) bool { return now.Sub(left.leftAt) > p.memberTimeout })
}

// departure is the Leave message of a router and the time of its arrival.
type departure struct {
	leave  Leave
	leftAt time.Time
}

// recordDeparture records what a router sent before it left. Late copies of that would make it
// a member again in addition to its new pool, and both would grant its share.
func (p *Pool) recordDeparture(now time.Time, from netip.AddrPort, leave Leave) {
	p.departures[from] = departure{leave: leave, leftAt: now}
}

// sentBeforeLeaving reports whether a router sent a hello or a request before it left.
func (p *Pool) sentBeforeLeaving(from netip.AddrPort, sent Leave) bool {
	left, found := p.departures[from]
	return found && sent.Hello <= left.leave.Hello && sent.AcquireRequest <= left.leave.AcquireRequest
}

// bucketRetention is how long an unused bucket of units is kept, as back ends come and go. A
// new one starts full.
const bucketRetention = time.Minute

func (p *Pool) dropUnusedBuckets(now time.Time) {
	if p.bounds.Unit == 0 {
		return
	}
	maps.DeleteFunc(p.buckets, func(_ Subject, known *bucket) bool { return now.Sub(known.usedAt) > bucketRetention })
}

// capacity returns the size of a bucket of this pool.
func (p *Pool) capacity(limit Limit, routers int) float64 {
	share := p.share(routers)
	capacity := limit.capacity() * share
	if share >= unitFraction {
		capacity = max(capacity, p.bounds.Unit)
	}
	return capacity
}

// maxLevel returns the capacity plus the start credits of the members.
func (p *Pool) maxLevel(limit Limit, routers int) float64 {
	return p.capacity(limit, routers) + startCreditFraction*p.bounds.spare(limit)*p.share(routers)
}

// shrink reduces all buckets to the share of the remaining members: another pool may grant the
// rest.
func (p *Pool) shrink(routers int) {
	p.baseFilled, p.baseCredits = p.filled, p.credits
	for _, tokens := range p.buckets {
		p.refill(tokens, routers)
		tokens.level = min(tokens.level, p.maxLevel(tokens.limit, routers))
	}
}

// Acquire answers a request of a router and counts the router as a member. A retried request
// gets the same response.
func (p *Pool) Acquire(now time.Time, from netip.AddrPort, request *AcquireRequest, routers int) AcquireResponse {
	if !request.Reservation.valid() {
		return AcquireResponse{ID: request.ID, RetryAfter: maxRetryAfter}
	}
	if p.sentBeforeLeaving(from, Leave{AcquireRequest: request.ID}) {
		p.advance(now, routers)
	} else {
		p.Join(now, from, false, routers)
	}
	p.dropOldResponses(now)
	key := requestKey{from: from, id: request.ID}
	if known := p.responses[key]; known != nil {
		return known.response
	}
	tokens := p.bucket(&request.Reservation, routers)
	tokens.usedAt = now
	response := AcquireResponse{ID: request.ID}
	wait := p.wait(tokens, &request.Reservation, routers)
	switch {
	case wait == 0:
		response.Granted = true
		tokens.level -= request.Reservation.Amount
	case p.forming(now, routers):
		response.Forming = true
		return response
	default:
		response.RetryAfter = min(wait+p.extraDelay(now, tokens, routers), maxRetryAfter)
	}
	p.responses[key] = &answeredRequest{response: response, subject: request.Reservation.Subject, amount: request.Reservation.Amount, at: now}
	p.responseOrder = append(p.responseOrder, key)
	return response
}

// Release takes back a grant of a request that did not run.
func (p *Pool) Release(from netip.AddrPort, id uint64) {
	known := p.responses[requestKey{from: from, id: id}]
	if known == nil || !known.response.Granted {
		return
	}
	known.response.Granted = false
	if tokens := p.buckets[known.subject]; tokens != nil {
		// A late release must not raise a refilled bucket above its maximum.
		most := p.maxLevel(tokens.limit, p.routers)
		tokens.level = max(tokens.level, min(tokens.level+known.amount, most))
	}
}

// bucket returns the refilled bucket of a reservation's subject.
func (p *Pool) bucket(reservation *Reservation, routers int) *bucket {
	known := p.buckets[reservation.Subject]
	if known == nil {
		known = &bucket{limit: reservation.Limit, version: reservation.Version, filled: p.baseFilled, credits: p.baseCredits}
		p.buckets[reservation.Subject] = known
	}
	p.refill(known, routers)
	if reservation.Version > known.version {
		known.limit, known.version = reservation.Limit, reservation.Version
		known.level = min(known.level, max(known.limit.capacity(), p.bounds.Unit))
	}
	return known
}

// refill fills a bucket up to now.
func (p *Pool) refill(known *bucket, routers int) {
	full := p.capacity(known.limit, routers)
	filled := known.level + p.bounds.rate(known.limit)*(p.filled-known.filled)
	known.level = max(known.level, min(filled, full))
	known.level = p.withCredits(known, full, routers)
	known.filled, known.credits = p.filled, p.credits
}

// withCredits returns the level of a bucket with the start credits since its last update: at
// most those of all routers, however many joined and left.
func (p *Pool) withCredits(known *bucket, full float64, routers int) float64 {
	whole := startCreditFraction * p.bounds.spare(known.limit)
	part := min(whole*float64(p.credits-known.credits)/float64(max(routers, 1)), whole)
	return max(known.level, min(known.level+part, full+whole))
}

// wait returns the time until a reservation could be granted, 0 if it can be now.
func (p *Pool) wait(tokens *bucket, reservation *Reservation, routers int) time.Duration {
	share := p.share(routers)
	full := p.capacity(tokens.limit, routers)
	needed := reservation.Amount
	if largest := full + overdraftFraction*p.bounds.spare(tokens.limit)*share; reservation.Amount <= largest {
		// A request larger than the bucket waits until it is full.
		needed = min(reservation.Amount, full)
	}
	if reservation.Preferred {
		needed -= preferredFraction * p.bounds.Unit
	}
	lacking := needed - tokens.level
	if lacking <= 0 {
		return 0
	}
	wait := lacking / (p.bounds.rate(tokens.limit) * share)
	if needed > full || math.IsInf(wait, 1) || wait > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(wait*float64(time.Second)), time.Millisecond)
}

func (p *Pool) dropOldResponses(now time.Time) {
	count := 0
	for count < len(p.responseOrder) && now.Sub(p.responses[p.responseOrder[count]].at) > responseRetention {
		delete(p.responses, p.responseOrder[count])
		count++
	}
	p.responseOrder = p.responseOrder[count:]
}
