package canary

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// mostLives bounds the lives of routers that are remembered in a rollout: ten times
	// the routers of the largest fleet.
	mostLives = 4_000
	// rateFor is the time over which a router's rate of requests is smoothed.
	rateFor = 2 * time.Second
	// unusedFor is the time of requests that a router's unused grants may be worth; at
	// least unusedLeast may be unused.
	unusedFor   = 750 * time.Millisecond
	unusedLeast = 1
)

// life is one life of a router's gate.
type life struct {
	newest *Report
	// judged is the report up to which its answers were taken in.
	judged *Report
	// epoch is the earliest time at which its clock can have been 0, and heardAt the time
	// of the newest report by that: reports may have waited on their way.
	epoch, heardAt time.Time
	// base is what it had sent to the target when this holder heard of it first, granted
	// what this holder granted it since.
	base, granted uint64
	// rate is its requests a second, watched the time over which they were counted.
	rate    float64
	watched time.Duration
}

// sends returns the number of requests that it may have sent in all.
func (l *life) sends() uint64 { return l.base + l.granted }

// unused returns the number of grants that are not known to be used.
func (l *life) unused() uint64 { return less(l.sends(), l.newest.Sent) }

// router is one router of the roster.
type router struct {
	address netip.AddrPort
	current *life
	// missingSince is when it was listed, or when promoting began if that is later.
	missingSince time.Time
}

// quiet returns the time for which the router was not heard.
func (r *router) quiet(now time.Time) time.Duration {
	since := r.missingSince
	if r.current != nil && r.current.heardAt.After(since) {
		since = r.current.heardAt
	}
	return now.Sub(since)
}

// fleet holds what the routers have reported of one rollout.
type fleet struct {
	routers []*router
	lives   map[uint64]*life
	random  *rand.Rand
}

// newFleet returns a fleet of which nothing is known.
func newFleet(seed uint64) *fleet {
	return &fleet{lives: map[uint64]*life{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// list takes in the addresses of all routers.
func (f *fleet) list(now time.Time, addresses []netip.AddrPort) {
	known := make(map[netip.AddrPort]*router, len(f.routers))
	for _, router := range f.routers {
		known[router.address] = router
	}
	f.routers = f.routers[:0:0]
	for _, address := range addresses {
		if known[address] == nil {
			known[address] = &router{address: address, missingSince: now}
		}
		f.routers = append(f.routers, known[address])
	}
}

// awaitAll begins to wait for all routers, also for those that were not heard lately.
func (f *fleet) awaitAll(now time.Time) {
	for _, router := range f.routers {
		router.missingSince = now
	}
}

// reported takes in a report, unless it is older than one of the same life.
func (f *fleet) reported(now time.Time, from netip.AddrPort, report *Report) {
	router := f.router(from)
	if router == nil {
		return
	}
	known := f.lives[report.Incarnation]
	if known == nil {
		if len(f.lives) >= mostLives {
			return
		}
		known = &life{base: report.Sent}
		f.lives[report.Incarnation] = known
	}
	if last := known.newest; last != nil {
		if report.Clock <= last.Clock {
			return
		}
		known.smooth(report.Clock-last.Clock, less(report.Requests, last.Requests))
	}
	if epoch := now.Add(-report.Clock); known.newest == nil || epoch.Before(known.epoch) {
		known.epoch = epoch
	}
	known.newest, known.heardAt = report, known.epoch.Add(report.Clock)
	router.current = known
}

// smooth takes in the requests of some time: the mean at first, later ones counting more once
// there is enough of it.
func (l *life) smooth(span time.Duration, requests uint64) {
	l.watched += span
	weight := span.Seconds() / min(l.watched, max(rateFor, span)).Seconds()
	l.rate += weight * (float64(requests)/span.Seconds() - l.rate)
}

// router returns the router of an address, or nil.
func (f *fleet) router(address netip.AddrPort) *router {
	for _, router := range f.routers {
		if router.address == address {
			return router
		}
	}
	return nil
}

// requests returns the number of requests that are known to have come.
func (f *fleet) requests() uint64 {
	var sum uint64
	for _, life := range f.lives {
		sum += life.newest.Requests
	}
	return sum
}

// rate returns the requests a second of all routers.
func (f *fleet) rate() float64 {
	sum := 0.0
	for _, router := range f.routers {
		if router.current != nil {
			sum += router.current.rate
		}
	}
	return sum
}

// runLength returns the mean length of runs on other releases, which follows from how many
// are under way.
func (f *fleet) runLength() time.Duration {
	running, rate := uint64(0), f.rate()
	for _, router := range f.routers {
		if router.current != nil {
			running += router.current.newest.OtherRuns
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(running) / rate * float64(time.Second))
}

// heard returns the number of routers that were heard lately.
func (f *fleet) heard(now time.Time) int {
	count := 0
	for _, router := range f.routers {
		if router.current != nil && now.Sub(router.current.heardAt) < deadAfter {
			count++
		}
	}
	return count
}

// reaches reports whether half of the routers at least are heard: a holder that hears fewer
// is itself cut off, and knows too little for a verdict that the target is good.
func (f *fleet) reaches(now time.Time) bool {
	return len(f.routers) > 0 && 2*f.heard(now) >= len(f.routers)
}

// moved reports whether no router that is heard can send anything to other releases until
// it learns of a verdict, and none has a run there. Routers that were not heard for long are
// not waited for.
func (f *fleet) moved(now time.Time) bool {
	for _, router := range f.routers {
		if router.quiet(now) >= deadAfter {
			continue
		}
		if life := router.current; life == nil || !life.turned(now) || life.newest.OtherRuns > 0 {
			return false
		}
	}
	return true
}

// turned reports whether all routers that are heard send to the target only.
func (f *fleet) turned(now time.Time) bool {
	for _, router := range f.routers {
		if router.quiet(now) >= deadAfter {
			continue
		}
		if router.current == nil || !router.current.turned(now) {
			return false
		}
	}
	return true
}

// turned reports whether the life sends to the target only, and will for long enough.
func (l *life) turned(now time.Time) bool {
	return l.newest.Phase == Promoting && l.newest.PermitLeft-now.Sub(l.heardAt) >= coveredFor
}

// grant gives routers a number of requests, in proportion to what they are asked for, and
// returns how many were given. Those that have not used theirs get none. Part is the part of
// their requests that go to the target.
func (f *fleet) grant(now time.Time, room uint64, part float64) uint64 {
	able := f.able(now, part)
	total := 0.0
	for _, life := range able {
		total += life.rate
	}
	if room == 0 || total == 0 {
		return 0
	}
	// Systematic sampling: each router gets its part rounded up or down, and the sum is
	// exact.
	given := uint64(0)
	position := f.random.Float64()
	for _, life := range able {
		position += float64(room) * life.rate / total
		count := min(uint64(position), life.wants(part), room-given)
		position -= math.Floor(position)
		life.granted += count
		given += count
	}
	return given
}

// able returns the lives that may be given more.
func (f *fleet) able(now time.Time, part float64) []*life {
	var able []*life
	for _, router := range f.routers {
		life := router.current
		if life != nil && now.Sub(life.heardAt) < freshFor && life.wants(part) > 0 {
			able = append(able, life)
		}
	}
	return able
}

// wants returns how many more grants the life can make use of soon.
func (l *life) wants(part float64) uint64 {
	useful := uint64(l.rate*part*unusedFor.Seconds()) + unusedLeast
	return less(useful, l.unused())
}
