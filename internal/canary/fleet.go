package canary

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// maxGates bounds the router incarnations remembered in a rollout, well above any
	// fleet.
	maxGates = 4_000
	// rateWindow is the time over which a router's request rate is smoothed.
	rateWindow = 2 * time.Second
	// unusedGrantTime is the time whose requests a router's unused grants may cover; at
	// least minUnusedGrants may be unused.
	unusedGrantTime = 750 * time.Millisecond
	minUnusedGrants = 1
)

// gateState is what one incarnation of a router's gate has reported.
type gateState struct {
	newest *Report
	// evaluated is the newest report whose answers were evaluated.
	evaluated *Report
	// clockOrigin is the earliest local time at which its clock can have been 0, and
	// reportedAt the newest report's clock in local time: reports may be delayed.
	clockOrigin, reportedAt time.Time
	// sentBefore is what it had sent to the target at its first report to this holder,
	// granted what this holder has granted it since.
	sentBefore, granted uint64
	// rate is its requests a second, rateSpan the time over which they were counted.
	rate     float64
	rateSpan time.Duration
}

// maxSends returns the number of requests that it may have sent in total.
func (g *gateState) maxSends() uint64 { return g.sentBefore + g.granted }

// unused returns the number of grants that are not known to be used.
func (g *gateState) unused() uint64 { return saturatingSub(g.maxSends(), g.newest.Sent) }

// router is one entry of the router list.
type router struct {
	address netip.AddrPort
	current *gateState
	// awaitedSince is when it was listed, or when promoting began if that is later.
	awaitedSince time.Time
}

// silence returns the time since the newest report, or since awaitedSince if that is later.
func (r *router) silence(now time.Time) time.Duration {
	since := r.awaitedSince
	if r.current != nil && r.current.reportedAt.After(since) {
		since = r.current.reportedAt
	}
	return now.Sub(since)
}

// fleet holds the reports of all routers on one rollout.
type fleet struct {
	routers []*router
	gates   map[uint64]*gateState
	random  *rand.Rand
}

// newFleet returns a fleet without routers or reports.
func newFleet(seed uint64) *fleet {
	return &fleet{gates: map[uint64]*gateState{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// setRouters sets the addresses of all routers.
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

// awaitReports waits for all routers again, also for silent ones.
func (f *fleet) awaitReports(now time.Time) {
	for _, router := range f.routers {
		router.awaitedSince = now
	}
}

// applyReport records a report, unless it is older than one of the same incarnation.
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

// updateRate updates the rate: first the mean, after rateWindow an exponential average.
func (g *gateState) updateRate(span time.Duration, requests uint64) {
	g.rateSpan += span
	weight := span.Seconds() / min(g.rateSpan, max(rateWindow, span)).Seconds()
	g.rate += weight * (float64(requests)/span.Seconds() - g.rate)
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

// requests returns the number of requests reported.
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

// runLength returns the mean length of runs on other releases, by Little's law.
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

// reporting returns the number of routers with a recent report.
func (f *fleet) reporting(now time.Time) int {
	count := 0
	for _, router := range f.routers {
		if router.current != nil && now.Sub(router.current.reportedAt) < silentAfter {
			count++
		}
	}
	return count
}

// hasQuorum reports whether at least half of the routers report: with fewer, the holder
// itself is cut off and cannot promote the target.
func (f *fleet) hasQuorum(now time.Time) bool {
	return len(f.routers) > 0 && 2*f.reporting(now) >= len(f.routers)
}

// allMoved reports whether all routers are promoted until a verdict can reach them, and
// none has runs on other releases. Silent routers are ignored.
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

// allPromoted reports whether all routers but silent ones send to the target only.
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

// promoted reports whether the gate sends to the target only, for long enough.
func (g *gateState) promoted(now time.Time) bool {
	return g.newest.Phase == Promoting && g.newest.PermitLeft-now.Sub(g.reportedAt) >= minPermitLeft
}

// grant distributes up to available grants over routers in proportion to their rates, and
// returns how many were given. Routers with enough unused grants get none. Fraction is the
// fraction of their requests that go to the target.
func (f *fleet) grant(now time.Time, available uint64, fraction float64) uint64 {
	gates := f.grantable(now, fraction)
	total := 0.0
	for _, gate := range gates {
		total += gate.rate
	}
	if available == 0 || total == 0 {
		return 0
	}
	// Systematic sampling: each share is rounded up or down, and the sum is exact.
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

// grantable returns the gates with recent reports that can use more grants.
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

// grantDemand returns how many more grants the gate can use soon.
func (g *gateState) grantDemand(fraction float64) uint64 {
	useful := uint64(g.rate*fraction*unusedGrantTime.Seconds()) + minUnusedGrants
	return saturatingSub(useful, g.unused())
}
