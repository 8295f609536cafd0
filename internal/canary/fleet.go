package canary

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// maxGates bounds the lives of routers that are remembered in a rollout: ten times
	// the routers of the largest fleet.
	maxGates = 4_000
	// rateWindow is the time over which a router's rate of requests is smoothed.
	rateWindow = 2 * time.Second
	// unusedGrantTime is the time of requests that a router's unused grants may be worth; at
	// least minUnusedGrants may be unused.
	unusedGrantTime = 750 * time.Millisecond
	minUnusedGrants = 1
)

// gateState is one life of a router's gate.
type gateState struct {
	newest *Report
	// evaluated is the report up to which its answers were taken in.
	evaluated *Report
	// clockOrigin is the earliest time at which its clock can have been 0, and reportedAt the time
	// of the newest report by that: reports may have waited on their way.
	clockOrigin, reportedAt time.Time
	// sentBefore is what it had sent to the target when this holder heard of it first, granted
	// what this holder granted it since.
	sentBefore, granted uint64
	// rate is its requests a second, watched the time over which they were counted.
	rate     float64
	rateSpan time.Duration
}

// maxSends returns the number of requests that it may have sent in all.
func (l *gateState) maxSends() uint64 { return l.sentBefore + l.granted }

// unused returns the number of grants that are not known to be used.
func (l *gateState) unused() uint64 { return saturatingSub(l.maxSends(), l.newest.Sent) }

// router is one router of the roster.
type router struct {
	address netip.AddrPort
	current *gateState
	// awaitedSince is when it was listed, or when promoting began if that is later.
	awaitedSince time.Time
}

// silence returns the time for which the router was not heard.
func (r *router) silence(now time.Time) time.Duration {
	since := r.awaitedSince
	if r.current != nil && r.current.reportedAt.After(since) {
		since = r.current.reportedAt
	}
	return now.Sub(since)
}

// fleet holds what the routers have reported of one rollout.
type fleet struct {
	routers []*router
	gates   map[uint64]*gateState
	random  *rand.Rand
}

// newFleet returns a fleet of which nothing is known.
func newFleet(seed uint64) *fleet {
	return &fleet{gates: map[uint64]*gateState{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// setRouters takes in the addresses of all routers.
func (f *fleet) setRouters(now time.Time, addresses []netip.AddrPort) {
	known := make(map[netip.AddrPort]*router, len(f.routers))
	for _, router := range f.routers {
		known[router.address] = router
	}
	f.routers = f.routers[:0:0]
	for _, address := range addresses {
		if known[address] == nil {
			known[address] = &router{address: address, awaitedSince: now}
		}
		f.routers = append(f.routers, known[address])
	}
}

// awaitReports begins to wait for all routers, also for those that were not heard lately.
func (f *fleet) awaitReports(now time.Time) {
	for _, router := range f.routers {
		router.awaitedSince = now
	}
}

// applyReport takes in a report, unless it is older than one of the same life.
func (f *fleet) applyReport(now time.Time, from netip.AddrPort, report *Report) {
	router := f.router(from)
	if router == nil {
		return
	}
	known := f.gates[report.Incarnation]
	if known == nil {
		if len(f.gates) >= maxGates {
			return
		}
		known = &gateState{sentBefore: report.Sent}
		f.gates[report.Incarnation] = known
	}
	if last := known.newest; last != nil {
		if report.Clock <= last.Clock {
			return
		}
		known.updateRate(report.Clock-last.Clock, saturatingSub(report.Requests, last.Requests))
	}
	if epoch := now.Add(-report.Clock); known.newest == nil || epoch.Before(known.clockOrigin) {
		known.clockOrigin = epoch
	}
	known.newest, known.reportedAt = report, known.clockOrigin.Add(report.Clock)
	router.current = known
}

// updateRate takes in the requests of some time: the mean at first, later ones counting more once
// there is enough of it.
func (l *gateState) updateRate(span time.Duration, requests uint64) {
	l.rateSpan += span
	weight := span.Seconds() / min(l.rateSpan, max(rateWindow, span)).Seconds()
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
	for _, gate := range f.gates {
		sum += gate.newest.Requests
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

// reporting returns the number of routers that were heard lately.
func (f *fleet) reporting(now time.Time) int {
	count := 0
	for _, router := range f.routers {
		if router.current != nil && now.Sub(router.current.reportedAt) < silentAfter {
			count++
		}
	}
	return count
}

// hasQuorum reports whether half of the routers at least are heard: a holder that hears fewer
// is itself cut off, and knows too little for a verdict that the target is good.
func (f *fleet) hasQuorum(now time.Time) bool {
	return len(f.routers) > 0 && 2*f.reporting(now) >= len(f.routers)
}

// allMoved reports whether no router that is heard can send anything to other releases until
// it learns of a verdict, and none has a run there. Routers that were not heard for long are
// not waited for.
func (f *fleet) allMoved(now time.Time) bool {
	for _, router := range f.routers {
		if router.silence(now) >= silentAfter {
			continue
		}
		if gate := router.current; gate == nil || !gate.promoted(now) || gate.newest.OtherRuns > 0 {
			return false
		}
	}
	return true
}

// allPromoted reports whether all routers that are heard send to the target only.
func (f *fleet) allPromoted(now time.Time) bool {
	for _, router := range f.routers {
		if router.silence(now) >= silentAfter {
			continue
		}
		if router.current == nil || !router.current.promoted(now) {
			return false
		}
	}
	return true
}

// promoted reports whether the life sends to the target only, and will for long enough.
func (l *gateState) promoted(now time.Time) bool {
	return l.newest.Phase == Promoting && l.newest.PermitLeft-now.Sub(l.reportedAt) >= minPermitLeft
}

// grant gives routers a number of requests, in proportion to what they are asked for, and
// returns how many were given. Those that have not used theirs get none. Part is the part of
// their requests that go to the target.
func (f *fleet) grant(now time.Time, available uint64, fraction float64) uint64 {
	gates := f.grantable(now, fraction)
	total := 0.0
	for _, gate := range gates {
		total += gate.rate
	}
	if available == 0 || total == 0 {
		return 0
	}
	// Systematic sampling: each router gets its part rounded up or down, and the sum is
	// exact.
	given := uint64(0)
	position := f.random.Float64()
	for _, gate := range gates {
		position += float64(available) * gate.rate / total
		count := min(uint64(position), gate.grantDemand(fraction), available-given)
		position -= math.Floor(position)
		gate.granted += count
		given += count
	}
	return given
}

// grantable returns the lives that may be given more.
func (f *fleet) grantable(now time.Time, fraction float64) []*gateState {
	var gates []*gateState
	for _, router := range f.routers {
		gate := router.current
		if gate != nil && now.Sub(gate.reportedAt) < maxReportAge && gate.grantDemand(fraction) > 0 {
			gates = append(gates, gate)
		}
	}
	return gates
}

// wants returns how many more grants the life can make use of soon.
func (l *gateState) grantDemand(fraction float64) uint64 {
	useful := uint64(l.rate*fraction*unusedGrantTime.Seconds()) + minUnusedGrants
	return saturatingSub(useful, l.unused())
}
