package quota

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// helloInterval is the time between two hellos to the leader: a dead leader is noticed
	// after two of them.
	helloInterval = 150 * time.Millisecond
	// probeInterval is the time between two hellos to a router that may lead later.
	probeInterval = time.Second
	// downMisses is the number of consecutive hellos without an acknowledgement after which a
	// router is down: one may be a lost datagram.
	downMisses = 2
	// upAcks is the number of consecutive acknowledgements after which a router that was down
	// may lead again, so that a flapping router does not move all pools.
	upAcks = 2
	// standbys is the number of routers besides the leader that are probed while they are up,
	// so that the next leader is known in advance; as many that are down are probed for their
	// return.
	standbys = 3
	// maxUnknownProbes is the number of routers without any message yet that are probed at
	// once. After a restart of the whole fleet the oldest router that did not restart may be
	// behind many that did.
	maxUnknownProbes = 64
	// minResponseTimeout covers a round trip between zones and scheduling delays at both ends.
	minResponseTimeout = 30 * time.Millisecond
	maxResponseTimeout = 250 * time.Millisecond
	// responseTimeoutFactor multiplies the mean round-trip time.
	responseTimeoutFactor = 4
	// rttWeight is the weight of a new sample in the mean round-trip time.
	rttWeight = 0.2
)

// Ranking orders the routers that may lead this router's pool: the older ones, the oldest
// first, then itself and, where the leader is not the oldest, younger ones that sent a hello.
// Routers thereby agree on who is at a place among those that are up, without messages about
// it. It is not safe for concurrent use.
type Ranking struct {
	self     netip.AddrPort
	revision uint64
	// place is the leader's place among the routers that are up, 0 for the oldest.
	place int
	// interval is the time between two hellos to the leader.
	interval time.Duration
	// candidates are older than this router, younger are not, the oldest first.
	candidates, younger []*candidate
	number              uint64
}

type candidate struct {
	addr netip.AddrPort
	// revision is the place of younger routers in the order.
	revision uint64
	// up is false until a hello was acknowledged.
	up     bool
	misses int
	acks   int
	// pendingHello is the number of the hello without an acknowledgement yet, 0 for none.
	pendingHello uint64
	pendingSince time.Time
	helloAt      time.Time
	// receivedAt is when any of its messages came last.
	receivedAt time.Time
	// rtt is the mean round-trip time.
	rtt time.Duration
}

// NewRanking returns the ranking of a router without peers.
func NewRanking(self netip.AddrPort) *Ranking {
	return &Ranking{self: self, interval: helloInterval}
}

// SetRouters sets this router's revision and the older routers, oldest first.
func (r *Ranking) SetRouters(revision uint64, older []netip.AddrPort) {
	r.revision = revision
	r.candidates, r.younger = nil, nil
	for _, addr := range older {
		r.candidates = append(r.candidates, &candidate{addr: addr})
	}
}

// Leader returns the leader of this router's pool.
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

// ObserveHello records a hello of a router: one younger than this router may be at the leader's
// place.
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

func (r *Ranking) insertYounger(known *candidate, revision uint64) {
	r.remove(known)
	known.revision = revision
	at, _ := slices.BinarySearchFunc(r.younger, revision, func(other *candidate, revision uint64) int {
		return cmp.Compare(other.revision, revision)
	})
	r.younger = slices.Insert(r.younger, at, known)
}

func (r *Ranking) remove(known *candidate) {
	same := func(other *candidate) bool { return other == known }
	r.candidates = slices.DeleteFunc(r.candidates, same)
	r.younger = slices.DeleteFunc(r.younger, same)
}

// ResponseTimeout returns how long to wait for a response of a router.
func (r *Ranking) ResponseTimeout(addr netip.AddrPort) time.Duration {
	known := r.find(addr)
	if known == nil {
		return minResponseTimeout
	}
	return min(max(responseTimeoutFactor*known.rtt, minResponseTimeout), maxResponseTimeout)
}

// ObserveMessage records that a message of a router came.
func (r *Ranking) ObserveMessage(now time.Time, from netip.AddrPort) {
	if known := r.find(from); known != nil {
		known.receivedAt = now
	}
}

// ReceivedSince reports whether a message of a router came after a time.
func (r *Ranking) ReceivedSince(addr netip.AddrPort, since time.Time) bool {
	known := r.find(addr)
	return known != nil && known.receivedAt.After(since)
}

// MarkDown records that a router repeatedly did not answer in time.
func (r *Ranking) MarkDown(addr netip.AddrPort) {
	if known := r.find(addr); known != nil {
		known.markDown()
	}
}

// DueHellos returns the hellos that are due and counts them as sent.
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

// recordMissedHellos records hellos without an acknowledgement in time.
func (r *Ranking) recordMissedHellos(now time.Time, candidates []*candidate) {
	for _, known := range candidates {
		if known.pendingHello == 0 || now.Sub(known.pendingSince) < r.interval {
			continue
		}
		if known.up && known.receivedAt.After(known.pendingSince) {
			// The datagram was lost: another message of the router came since.
			known.pendingHello = 0
			continue
		}
		known.recordMiss()
	}
}

// probePass counts the routers visited by one call of DueHellos.
type probePass struct {
	place             int
	up, down, unknown int
	// interval is the time between two hellos to the router visited last.
	interval time.Duration
}

// visit counts a router and reports whether it gets hellos.
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
		pass.unknown++
		pass.interval = r.interval
	}
	return pass.up <= pass.place+standbys && pass.unknown <= maxUnknownProbes
}

// hello returns a hello to a candidate and counts it as sent.
func (r *Ranking) hello(now time.Time, known *candidate) Hello {
	r.number++
	known.helloAt, known.pendingSince, known.pendingHello = now, now, r.number
	hello := Hello{Number: r.number}
	if r.place > 0 {
		hello.Revision = r.revision
	}
	return hello
}

// ObserveAck applies an acknowledgement. A router that has restarted is younger than this one
// and loses its place.
func (r *Ranking) ObserveAck(now time.Time, from netip.AddrPort, ack *HelloAck) {
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

// recordMiss records a hello without an acknowledgement in time.
func (c *candidate) recordMiss() {
	c.pendingHello, c.acks = 0, 0
	c.misses++
	if c.misses >= downMisses {
		c.up = false
	}
}

// markDown marks the router as down, as it does not answer.
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
