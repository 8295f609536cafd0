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
	// upWelcomes is the number of welcomes in a row after which a router that was down
	// may lead again, so that one that comes and goes does not move all pools.
	upWelcomes = 2
	// standbys is the number of routers besides the leader that are probed although
	// they are up, so that the next leader is known before it is needed; as many that
	// are down are probed for their return.
	standbys = 3
	// unheardProbes is the number of routers of which nothing was heard yet that are
	// probed at once. After a start of the whole fleet most of them have started anew too
	// and answer so, and the oldest that has not stands behind them.
	unheardProbes = 64
	// leastPatience is how long an answer is awaited at least: two ways between zones
	// of a region and the turns of two busy machines.
	leastPatience = 30 * time.Millisecond
	// mostPatience bounds it.
	mostPatience = 250 * time.Millisecond
	// patienceFactor times the usual time to a welcome is waited for an answer.
	patienceFactor = 4
	// tripWeight is the part of a new observation in the usual time to a welcome.
	tripWeight = 0.2
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
	up       bool
	misses   int
	welcomes int
	// asked is the number of the hello that waits for its welcome, 0 for none.
	asked   uint64
	askedAt time.Time
	helloAt time.Time
	// heardAt is when any message of it last came.
	heardAt time.Time
	// trip is the usual time from a hello to its welcome.
	trip time.Duration
}

// NewRanking returns the ranking of a router that knows no other.
func NewRanking(self netip.AddrPort) *Ranking {
	return &Ranking{self: self, interval: helloInterval}
}

// Know takes in this router's revision and the routers that are older, oldest first.
func (r *Ranking) Know(revision uint64, older []netip.AddrPort) {
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

// Greeted takes in a hello of a router with a revision: one that is younger than this
// router may be at the leader's place.
func (r *Ranking) Greeted(from netip.AddrPort, revision uint64) {
	if r.place == 0 || revision <= r.revision || r.revision == 0 {
		return
	}
	known := r.find(from)
	if known == nil {
		known = &candidate{addr: from}
	}
	if known.revision != revision {
		r.follows(known, revision)
	}
}

// follows puts a router among the younger ones by its revision.
func (r *Ranking) follows(known *candidate, revision uint64) {
	r.drop(known)
	known.revision = revision
	at, _ := slices.BinarySearchFunc(r.younger, revision, func(other *candidate, revision uint64) int {
		return cmp.Compare(other.revision, revision)
	})
	r.younger = slices.Insert(r.younger, at, known)
}

// drop takes a router out of the order.
func (r *Ranking) drop(known *candidate) {
	same := func(other *candidate) bool { return other == known }
	r.candidates = slices.DeleteFunc(r.candidates, same)
	r.younger = slices.DeleteFunc(r.younger, same)
}

// Patience returns how long the answer of a router is awaited.
func (r *Ranking) Patience(addr netip.AddrPort) time.Duration {
	known := r.find(addr)
	if known == nil {
		return leastPatience
	}
	return min(max(patienceFactor*known.trip, leastPatience), mostPatience)
}

// Heard takes in that a message of a router came.
func (r *Ranking) Heard(now time.Time, from netip.AddrPort) {
	if known := r.find(from); known != nil {
		known.heardAt = now
	}
}

// HeardSince reports whether a message of a router came after a time.
func (r *Ranking) HeardSince(addr netip.AddrPort, since time.Time) bool {
	known := r.find(addr)
	return known != nil && known.heardAt.After(since)
}

// Missed takes in that a router did not answer in time, often enough to be down.
func (r *Ranking) Missed(addr netip.AddrPort) {
	if known := r.find(addr); known != nil {
		known.down()
	}
}

// Due returns the hellos that are due, and counts them as sent.
func (r *Ranking) Due(now time.Time) []Envelope {
	r.noteMissed(now, r.candidates)
	r.noteMissed(now, r.younger)
	leader := r.Leader()
	probes := probing{place: r.place}
	var due []Envelope
	for _, known := range r.candidates {
		if !r.probe(&probes, known, leader) {
			break
		}
		if now.Sub(known.helloAt) >= probes.interval {
			due = append(due, Envelope{To: known.addr, Message: r.hello(now, known)})
		}
	}
	probes.up++ // this router
	for _, known := range r.younger {
		if !r.probe(&probes, known, leader) {
			break
		}
		if now.Sub(known.helloAt) >= probes.interval {
			due = append(due, Envelope{To: known.addr, Message: r.hello(now, known)})
		}
	}
	return due
}

// noteMissed takes in that hellos got no welcome in time.
func (r *Ranking) noteMissed(now time.Time, greeted []*candidate) {
	for _, known := range greeted {
		if known.asked == 0 || now.Sub(known.askedAt) < r.interval {
			continue
		}
		if known.up && known.heardAt.After(known.askedAt) {
			// A datagram was lost: the router has told something else since.
			known.asked = 0
			continue
		}
		known.missed()
	}
}

// probing counts the routers that one look at who is due has passed.
type probing struct {
	place             int
	up, down, unheard int
	// interval is the time between two hellos to the router that was passed last.
	interval time.Duration
}

// probe passes a router, and reports whether it is among those that are greeted.
func (r *Ranking) probe(probes *probing, known *candidate, leader netip.AddrPort) bool {
	probes.interval = probeInterval
	switch {
	case known.up:
		probes.up++
		if known.addr == leader {
			probes.interval = r.interval
		}
	case known.misses >= downMisses:
		// The more are down, the less often the younger of them are probed.
		probes.down++
		probes.interval += time.Duration(probes.down/standbys) * probeInterval
	default:
		probes.unheard++
		probes.interval = r.interval
	}
	return probes.up <= probes.place+standbys && probes.unheard <= unheardProbes
}

// hello counts a hello to a candidate as sent.
func (r *Ranking) hello(now time.Time, known *candidate) Hello {
	r.number++
	known.helloAt, known.askedAt, known.asked = now, now, r.number
	hello := Hello{Number: r.number}
	if r.place > 0 {
		hello.Revision = r.revision
	}
	return hello
}

// Welcomed takes in a welcome. A router that has restarted since is younger than this
// one now, and leads it no more.
func (r *Ranking) Welcomed(now time.Time, from netip.AddrPort, welcome *HelloAck) {
	known := r.find(from)
	if known == nil || known.asked != welcome.Number || welcome.Number == 0 {
		return
	}
	known.asked = 0
	if welcome.Revision == 0 || (welcome.Revision > r.revision && r.place == 0) {
		r.drop(known)
		return
	}
	if welcome.Revision > r.revision && welcome.Revision != known.revision {
		r.follows(known, welcome.Revision)
	}
	trip := now.Sub(known.askedAt)
	if known.trip == 0 {
		known.trip = trip
	}
	known.trip += time.Duration(tripWeight * float64(trip-known.trip))
	first := known.misses < downMisses
	known.welcomes++
	if first || known.welcomes >= upWelcomes {
		known.up, known.misses = true, 0
	}
}

// missed takes in that a hello got no welcome in time.
func (c *candidate) missed() {
	c.asked, c.welcomes = 0, 0
	c.misses++
	if c.misses >= downMisses {
		c.up = false
	}
}

// down takes in that the router does not answer.
func (c *candidate) down() {
	c.misses = downMisses - 1
	c.missed()
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
