package quota

import (
	"maps"
	"math"
	"net/netip"
	"time"
)

const (
	// memberHellos is for how many intervals between hellos a member counts that was not
	// heard. For as long a router that went to another pool may count in both.
	memberHellos = 3
	// memberFor is that time with the usual interval.
	memberFor = memberHellos * helloInterval
	// answersKept is how long answers are kept for asks that are repeated, and for
	// requests that give back what they were granted.
	answersKept = 4 * time.Second
	// formingHellos is for how many intervals after its last new member a pool with less than
	// half of all routers may still grow: a router that lost its leader notices within that
	// time.
	formingHellos = 2
	// longestDenial bounds the time told with a denial.
	longestDenial = 10 * time.Second
)

// Pool is the part of a router that grants claims to the members of its pool. It is not
// safe for concurrent use.
type Pool struct {
	bounds Bounds
	// memberFor and formingFor are memberHellos and formingHellos intervals.
	memberFor, formingFor time.Duration
	members               map[netip.AddrPort]time.Time
	// routers is the number of all routers, as told last.
	routers int
	// goodbyes are those of the routers that left a short time ago.
	goodbyes map[netip.AddrPort]goodbye
	// grewAt is when a member came that was none before.
	grewAt time.Time
	// sweepAt is when the next member may have to be dropped.
	sweepAt time.Time
	buckets map[Subject]*bucket
	// credits is the number of times that a member added its start credit.
	credits int
	// filled is the time, in seconds, for which the whole fleet would have had to be
	// members for all buckets to fill as much as they did since the pool began.
	filled   float64
	filledAt time.Time
	// baseFilled and baseCredits are from where buckets of new tenants are counted: those
	// at the last loss of a member.
	baseFilled  float64
	baseCredits int
	answers     map[askKey]*answered
	order       []askKey
}

// bucket holds what a tenant may still use.
type bucket struct {
	limit   Limit
	version uint64
	level   float64
	// filled and credits are those of the pool up to which the level is counted.
	filled  float64
	credits int
	// crowd counts the claims that were denied lately, and usedAt is when the last one came.
	crowd  crowd
	usedAt time.Time
}

// askKey names an ask of one router.
type askKey struct {
	from netip.AddrPort
	id   uint64
}

// answered is an ask that was answered.
type answered struct {
	answer  AcquireResponse
	subject Subject
	amount  float64
	at      time.Time
}

// NewPool returns a pool without members.
func NewPool(bounds Bounds) *Pool {
	pool := &Pool{
		bounds: bounds, members: make(map[netip.AddrPort]time.Time), buckets: make(map[Subject]*bucket),
		answers: make(map[askKey]*answered), goodbyes: make(map[netip.AddrPort]goodbye),
	}
	pool.heardEvery(helloInterval)
	return pool
}

// heardEvery sets the time between two hellos of a member.
func (p *Pool) heardEvery(interval time.Duration) {
	p.memberFor, p.formingFor = memberHellos*interval, formingHellos*interval
}

// Join takes in that a router is a member, and whether it adds its start credit
// if it is a new one.
func (p *Pool) Join(now time.Time, from netip.AddrPort, credit bool, routers int) {
	p.advance(now, routers)
	if _, known := p.members[from]; !known && credit {
		p.credits++
	}
	if _, known := p.members[from]; !known {
		p.grewAt = now
	}
	p.members[from] = now
}

// Leave takes in that a router is no member any more.
func (p *Pool) Leave(now time.Time, from netip.AddrPort, routers int) {
	p.advance(now, routers)
	if _, known := p.members[from]; known {
		delete(p.members, from)
		p.shrink(routers)
	}
}

// Members returns the number of members.
func (p *Pool) Members() int { return len(p.members) }

// forming reports whether routers are just gathering in this pool, because their leader
// is gone or the fleet has started: what it cannot grant yet it soon can.
func (p *Pool) forming(now time.Time, routers int) bool {
	return 2*len(p.members) < routers && now.Sub(p.grewAt) < p.formingFor
}

// share returns the part of all limits that the members bring.
func (p *Pool) share(routers int) float64 {
	return min(float64(len(p.members))/float64(max(routers, 1)), 1)
}

// advance brings the pool up to a time.
func (p *Pool) advance(now time.Time, routers int) {
	p.routers = routers
	if elapsed := now.Sub(p.filledAt); !p.filledAt.IsZero() && elapsed > 0 {
		// A leader that stood still has no news of its members for that time.
		elapsed = min(elapsed, p.memberFor)
		p.filled += elapsed.Seconds() * p.share(routers)
	}
	p.filledAt = now
	if now.Before(p.sweepAt) {
		return
	}
	p.sweepAt = now.Add(p.memberFor)
	before := len(p.members)
	for member, heardAt := range p.members {
		goneAt := heardAt.Add(p.memberFor)
		if !now.Before(goneAt) {
			delete(p.members, member)
		} else if goneAt.Before(p.sweepAt) {
			p.sweepAt = goneAt
		}
	}
	if len(p.members) < before {
		p.shrink(routers)
	}
	p.forgetBuckets(now)
	maps.DeleteFunc(p.goodbyes, func(_ netip.AddrPort, left goodbye) bool { return now.Sub(left.at) > p.memberFor })
}

// goodbye is the last word of a router that left, with its time.
type goodbye struct {
	leave Leave
	at    time.Time
}

// said remembers what a router had sent when it left. Copies of that which come later, or by
// other ways, would make it a member again beside the pool that it went to: with a fifth of all
// datagrams lost and a twentieth repeated, 24 routers granted 1.6 times a limit of 300 a second
// in a window (TestNoBackEndGetsMoreThanItsLimitWhateverFails).
func (p *Pool) said(now time.Time, from netip.AddrPort, leave Leave) {
	p.goodbyes[from] = goodbye{leave: leave, at: now}
}

// outdated reports whether a router had sent a hello or an ask before it left.
func (p *Pool) outdated(from netip.AddrPort, sent Leave) bool {
	left, found := p.goodbyes[from]
	return found && sent.Hello <= left.leave.Hello && sent.AcquireRequest <= left.leave.AcquireRequest
}

// bucketFor is how long a bucket of units is kept that nobody claims from: back ends come and
// go. One that is made anew begins full, as it would be after that time at a rate of 0.1 a
// second.
const bucketFor = time.Minute

// forgetBuckets drops the buckets of units that nobody claims from any more.
func (p *Pool) forgetBuckets(now time.Time) {
	if p.bounds.Unit == 0 {
		return
	}
	maps.DeleteFunc(p.buckets, func(_ Subject, known *bucket) bool { return now.Sub(known.usedAt) > bucketFor })
}

// full returns what a bucket of this pool holds.
func (p *Pool) full(limit Limit, routers int) float64 {
	share := p.share(routers)
	full := limit.capacity() * share
	if share >= unitPart {
		full = max(full, p.bounds.Unit)
	}
	return full
}

// most returns what a bucket of this pool holds with the start credits of its members.
func (p *Pool) most(limit Limit, routers int) float64 {
	return p.full(limit, routers) + startCreditPart*p.bounds.spare(limit)*p.share(routers)
}

// shrink takes from all buckets what is above the share of the members that are left:
// those that went may be granted as much elsewhere.
func (p *Pool) shrink(routers int) {
	p.baseFilled, p.baseCredits = p.filled, p.credits
	for _, filling := range p.buckets {
		p.settle(filling, routers)
		filling.level = min(filling.level, p.most(filling.limit, routers))
	}
}

// Ask answers an ask of a router, which counts as a member from then on. The same ask
// gets the same answer.
func (p *Pool) Ask(now time.Time, from netip.AddrPort, ask *AcquireRequest, routers int) AcquireResponse {
	if !ask.Reservation.sound() {
		return AcquireResponse{ID: ask.ID, RetryAfter: longestDenial}
	}
	if p.outdated(from, Leave{AcquireRequest: ask.ID}) {
		p.advance(now, routers)
	} else {
		p.Join(now, from, false, routers)
	}
	p.forget(now)
	key := askKey{from: from, id: ask.ID}
	if known := p.answers[key]; known != nil {
		return known.answer
	}
	filling := p.bucket(&ask.Reservation, routers)
	filling.usedAt = now
	answer := AcquireResponse{ID: ask.ID}
	after := p.wait(filling, &ask.Reservation, routers)
	switch {
	case after == 0:
		answer.Granted = true
		filling.level -= ask.Reservation.Amount
	case p.forming(now, routers):
		answer.Forming = true
		return answer
	default:
		answer.RetryAfter = min(after+p.yield(now, filling, routers), longestDenial)
	}
	p.answers[key] = &answered{answer: answer, subject: ask.Reservation.Subject, amount: ask.Reservation.Amount, at: now}
	p.order = append(p.order, key)
	return answer
}

// Return takes back what was granted for a request that did not run.
func (p *Pool) Return(from netip.AddrPort, id uint64) {
	known := p.answers[askKey{from: from, id: id}]
	if known == nil || !known.answer.Granted {
		return
	}
	known.answer.Granted = false
	if filling := p.buckets[known.subject]; filling != nil {
		// What comes back late adds to a bucket that has filled since: no more than it holds.
		most := p.most(filling.limit, p.routers)
		filling.level = max(filling.level, min(filling.level+known.amount, most))
	}
}

// bucket returns the bucket of a claim's tenant, filled up to now.
func (p *Pool) bucket(claim *Reservation, routers int) *bucket {
	known := p.buckets[claim.Subject]
	if known == nil {
		known = &bucket{limit: claim.Limit, version: claim.Version, filled: p.baseFilled, credits: p.baseCredits}
		p.buckets[claim.Subject] = known
	}
	p.settle(known, routers)
	if claim.Version > known.version {
		known.limit, known.version = claim.Limit, claim.Version
		known.level = min(known.level, max(known.limit.capacity(), p.bounds.Unit))
	}
	return known
}

// settle fills a bucket up to now.
func (p *Pool) settle(known *bucket, routers int) {
	full := p.full(known.limit, routers)
	filled := known.level + p.bounds.rate(known.limit)*(p.filled-known.filled)
	known.level = max(known.level, min(filled, full))
	known.level = p.withCredits(known, full, routers)
	known.filled, known.credits = p.filled, p.credits
}

// withCredits returns the level of a bucket with the start credits since it was last
// looked at: no more than those of all routers, however many came and went.
func (p *Pool) withCredits(known *bucket, full float64, routers int) float64 {
	whole := startCreditPart * p.bounds.spare(known.limit)
	part := min(whole*float64(p.credits-known.credits)/float64(max(routers, 1)), whole)
	return max(known.level, min(known.level+part, full+whole))
}

// wait returns the time until a claim could be granted, 0 if it can be now.
func (p *Pool) wait(filling *bucket, claim *Reservation, routers int) time.Duration {
	share := p.share(routers)
	full := p.full(filling.limit, routers)
	needed := claim.Amount
	if largest := full + debtPart*p.bounds.spare(filling.limit)*share; claim.Amount <= largest {
		// A request larger than the bucket waits until it is full.
		needed = min(claim.Amount, full)
	}
	if claim.Preferred {
		needed -= preferredPart * p.bounds.Unit
	}
	lacking := needed - filling.level
	if lacking <= 0 {
		return 0
	}
	wait := lacking / (p.bounds.rate(filling.limit) * share)
	if needed > full || math.IsInf(wait, 1) || wait > longestDenial.Seconds() {
		return longestDenial
	}
	return max(time.Duration(wait*float64(time.Second)), time.Millisecond)
}

// forget drops answers that are not asked for any more.
func (p *Pool) forget(now time.Time) {
	count := 0
	for count < len(p.order) && now.Sub(p.answers[p.order[count]].at) > answersKept {
		delete(p.answers, p.order[count])
		count++
	}
	p.order = p.order[count:]
}
