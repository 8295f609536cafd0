package quota

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// helloInterval is the time between two hellos to the leader: a leader that dies is
	// noticed within two of them. At 390 routers they are 2,600 datagrams a second at
	// the leader, and as many back.
	helloInterval = 150 * time.Millisecond
	// probeInterval is the time between two hellos to a router that may lead later.
	probeInterval = time.Second
	// downMisses is the number of hellos in a row without a welcome after which a
	// router is down: one may be a lost datagram.
	downMisses = 2
	// upAcks is the number of welcomes in a row after which a router that was down
	// may lead again, so that one that comes and goes does not move all pools.
	upAcks = 2
	// standbys is the number of routers besides the leader that are probed although
	// they are up, so that the next leader is known before it is needed; as many that
	// are down are probed for their return.
	standbys = 3
	// maxUnheardProbes is the number of routers of which nothing was heard yet that are
	// probed at once. After a start of the whole fleet most of them have started anew too
	// and answer so, and the oldest that has not stands behind them.
	maxUnheardProbes = 64
	// minResponseTimeout is how long an answer is awaited at least: two ways between zones
	// of a region and the turns of two busy machines.
	minResponseTimeout = 30 * time.Millisecond
	// maxResponseTimeout bounds it.
	maxResponseTimeout = 250 * time.Millisecond
	// responseTimeoutFactor times the usual time to a welcome is waited for an answer.
	responseTimeoutFactor = 4
	// rttWeight is the part of a new observation in the usual time to a welcome.
	rttWeight = 0.2
)

// Ranking orders the routers that may lead the pool of this one: those that joined the
// fleet before it, the oldest first, then itself and, where the leader is not the oldest,
// those that joined later and greeted it. Routers thereby agree on who is at a place among
// those that are up without a word about it. It is not safe for concurrent use.
type Ranking struct {
	self     netip.AddrPort
	revision uint64
	// place is that of the leader among the routers that are up, 0 for the oldest.
	place int
	// interval is the time between two hellos to the leader.
	interval time.Duration
	// candidates are older than this router, younger are not, the oldest first.
	candidates, younger []*candidate
	number              uint64
}

// candidate is a router that may lead.
type candidate struct {
	addr netip.AddrPort
	// revision tells the age of those that are younger.
	revision uint64
	// up is false until the router was heard.
	up     bool
	misses int
	acks   int
	// pendingHello is the number of the hello that waits for its welcome, 0 for none.
	pendingHello uint64
	pendingSince time.Time
	helloAt      time.Time
	// heardAt is when any message of it last came.
	heardAt time.Time
	// rtt is the usual time from a hello to its welcome.
	rtt time.Duration
}

// NewRanking returns the ranking of a router that knows no other.
func NewRanking(self netip.AddrPort) *Ranking {
	return &Ranking{self: self, interval: helloInterval}
}

// SetRouters takes in this router's revision and the routers that are older, oldest first.
func (r *Ranking) SetRouters(revision uint64, older []netip.AddrPort) {
	r.revision = revision
	r.candidates, r.younger = nil, nil
	for _, addr := range older {
		r.candidates = append(r.candidates, &candidate{addr: addr})
	}
}

// Leader returns the router that leads the pool of this one.
func (r *Ranking) Leader() netip.AddrPort {
	up := make([]netip.AddrPort, 0, r.place+1)
	for _, known := range r.candidates {
		if known.up && len(up) <= r.place {
			up = append(up, known.addr)
		}
	}
	up = append(up, r.self)
	for _, known := range r.younger {
		if known.up && len(up) <= r.place {
			up = append(up, known.addr)
		}
	}
	return up[r.place%len(up)]
}

// ObserveHello takes in a hello of a router with a revision: one that is younger than this
// router may be at the leader's place.
func (r *Ranking) ObserveHello(from netip.AddrPort, revision uint64) {
	if r.place == 0 || revision <= r.revision || r.revision == 0 {
		return
	}
	known := r.find(from)
	if known == nil {
		known = &candidate{addr: from}
	}
	if known.revision != revision {
		r.insertYounger(known, revision)
	}
}

// insertYounger puts a router among the younger ones by its revision.
func (r *Ranking) insertYounger(known *candidate, revision uint64) {
	r.remove(known)
	known.revision = revision
	at, _ := slices.BinarySearchFunc(r.younger, revision, func(other *candidate, revision uint64) int {
		return cmp.Compare(other.revision, revision)
	})
	r.younger = slices.Insert(r.younger, at, known)
}

// remove takes a router out of the order.
func (r *Ranking) remove(known *candidate) {
	same := func(other *candidate) bool { return other == known }
	r.candidates = slices.DeleteFunc(r.candidates, same)
	r.younger = slices.DeleteFunc(r.younger, same)
}

// ResponseTimeout returns how long the answer of a router is awaited.
func (r *Ranking) ResponseTimeout(addr netip.AddrPort) time.Duration {
	known := r.find(addr)
	if known == nil {
		return minResponseTimeout
	}
	return min(max(responseTimeoutFactor*known.rtt, minResponseTimeout), maxResponseTimeout)
}

// ObserveMessage takes in that a message of a router came.
func (r *Ranking) ObserveMessage(now time.Time, from netip.AddrPort) {
	if known := r.find(from); known != nil {
		known.heardAt = now
	}
}

// HeardSince reports whether a message of a router came after a time.
func (r *Ranking) HeardSince(addr netip.AddrPort, since time.Time) bool {
	known := r.find(addr)
	return known != nil && known.heardAt.After(since)
}

// MarkDown takes in that a router did not answer in time, often enough to be down.
func (r *Ranking) MarkDown(addr netip.AddrPort) {
	if known := r.find(addr); known != nil {
		known.markDown()
	}
}

// DueHellos returns the hellos that are due, and counts them as sent.
func (r *Ranking) DueHellos(now time.Time) []Envelope {
	r.recordMissedHellos(now, r.candidates)
	r.recordMissedHellos(now, r.younger)
	leader := r.Leader()
	pass := probePass{place: r.place}
	var due []Envelope
	for _, known := range r.candidates {
		if !r.visit(&pass, known, leader) {
			break
		}
		if now.Sub(known.helloAt) >= pass.interval {
			due = append(due, Envelope{To: known.addr, Message: r.hello(now, known)})
		}
	}
	pass.up++ // this router
	for _, known := range r.younger {
		if !r.visit(&pass, known, leader) {
			break
		}
		if now.Sub(known.helloAt) >= pass.interval {
			due = append(due, Envelope{To: known.addr, Message: r.hello(now, known)})
		}
	}
	return due
}

// recordMissedHellos takes in that hellos got no welcome in time.
func (r *Ranking) recordMissedHellos(now time.Time, candidates []*candidate) {
	for _, known := range candidates {
		if known.pendingHello == 0 || now.Sub(known.pendingSince) < r.interval {
			continue
		}
		if known.up && known.heardAt.After(known.pendingSince) {
			// A datagram was lost: the router has told something else since.
			known.pendingHello = 0
			continue
		}
		known.recordMiss()
	}
}

// probePass counts the routers that one look at who is due has passed.
type probePass struct {
	place             int
	up, down, unheard int
	// interval is the time between two hellos to the router that was passed last.
	interval time.Duration
}

// probe passes a router, and reports whether it is among those that are greeted.
func (r *Ranking) visit(pass *probePass, known *candidate, leader netip.AddrPort) bool {
	pass.interval = probeInterval
	switch {
	case known.up:
		pass.up++
		if known.addr == leader {
			pass.interval = r.interval
		}
	case known.misses >= downMisses:
		// The more are down, the less often the younger of them are probed.
		pass.down++
		pass.interval += time.Duration(pass.down/standbys) * probeInterval
	default:
		pass.unheard++
		pass.interval = r.interval
	}
	return pass.up <= pass.place+standbys && pass.unheard <= maxUnheardProbes
}

// hello counts a hello to a candidate as sent.
func (r *Ranking) hello(now time.Time, known *candidate) Hello {
	r.number++
	known.helloAt, known.pendingSince, known.pendingHello = now, now, r.number
	hello := Hello{Number: r.number}
	if r.place > 0 {
		hello.Revision = r.revision
	}
	return hello
}

// ObserveAck takes in a welcome. A router that has restarted since is younger than this
// one now, and leads it no more.
func (r *Ranking) ObserveAck(now time.Time, from netip.AddrPort, ack *Welcome) {
	known := r.find(from)
	if known == nil || known.pendingHello != ack.Number || ack.Number == 0 {
		return
	}
	known.pendingHello = 0
	if ack.Revision == 0 || (ack.Revision > r.revision && r.place == 0) {
		r.remove(known)
		return
	}
	if ack.Revision > r.revision && ack.Revision != known.revision {
		r.insertYounger(known, ack.Revision)
	}
	rtt := now.Sub(known.pendingSince)
	if known.rtt == 0 {
		known.rtt = rtt
	}
	known.rtt += time.Duration(rttWeight * float64(rtt-known.rtt))
	first := known.misses < downMisses
	known.acks++
	if first || known.acks >= upAcks {
		known.up, known.misses = true, 0
	}
}

// recordMiss takes in that a hello got no welcome in time.
func (c *candidate) recordMiss() {
	c.pendingHello, c.acks = 0, 0
	c.misses++
	if c.misses >= downMisses {
		c.up = false
	}
}

// markDown takes in that the router does not answer.
func (c *candidate) markDown() {
	c.misses = downMisses - 1
	c.recordMiss()
}

func (r *Ranking) find(addr netip.AddrPort) *candidate {
	of := func(known *candidate) bool { return known.addr == addr }
	if at := slices.IndexFunc(r.candidates, of); at >= 0 {
		return r.candidates[at]
	}
	if at := slices.IndexFunc(r.younger, of); at >= 0 {
		return r.younger[at]
	}
	return nil
}
