// Package detour opens connections to back ends through other routers when this router cannot
// open them directly.
//
// A router that asks another one for a connection keeps all decisions about its request: the other
// router only dials the back end directly and copies bytes both ways. A back end that neither
// reaches is down; one that only the other reaches is up, and its link to this router is not.
//
// Paths and Helpers are state machines without I/O or clock. Dialer is the side that asks, Server
// the side that helps.
package detour

import "time"

const (
	// probeInterval is the time between two direct attempts at an address that is not reached
	// directly, and between two such attempts at any address while none is.
	probeInterval = 500 * time.Millisecond
	// lostTTL is how long an address counts as lost without a further failed attempt.
	lostTTL = 5 * time.Second
	// minLostAddresses is the number of addresses that must be lost, with no direct connection to
	// any in between, for all to count as lost: one or two are down in any fleet.
	minLostAddresses = 3
	// maxCredibleFailures is the number of addresses at which the last direct attempts may have
	// failed while a failure still counts as that of the back end.
	maxCredibleFailures = 1
	// hedgeDelay is how long a direct connection is awaited before another router is asked as
	// well: several round trips within a region.
	hedgeDelay = 60 * time.Millisecond
	// probeHeadStart is that delay for an address that counts as lost, so that a link that works
	// again is used.
	probeHeadStart = 30 * time.Millisecond
)

// Plan is how a connection to an address is opened.
type Plan struct {
	// Direct is whether a direct attempt is made.
	Direct bool
	// HelpAfter is the time after which another router is asked, unless the direct attempt fails
	// before.
	HelpAfter time.Duration
}

// lostAddress is an address that another router reached and this one did not.
type lostAddress struct {
	until   time.Time
	probeAt time.Time
}

// Paths remembers which addresses this router does not reach directly while other routers do. It
// is not safe for concurrent use.
type Paths struct {
	lost map[string]lostAddress
	// sinceDirect are the addresses lost since the last direct connection.
	sinceDirect map[string]struct{}
	// allLostAt is when they became so many that all count as lost.
	allLostAt time.Time
	// failed are the addresses at which a direct attempt failed since the last direct connection or
	// answer.
	failed  map[string]struct{}
	probeAt time.Time
}

// NewPaths returns Paths without a lost address.
func NewPaths() *Paths {
	return &Paths{lost: make(map[string]lostAddress), sinceDirect: make(map[string]struct{}), failed: make(map[string]struct{})}
}

// Plan returns how to open a connection to an address now. A planned direct attempt at a lost
// address counts as its probe.
func (p *Paths) Plan(now time.Time, address string) Plan {
	entry, known := p.lost[address]
	known = known && now.Before(entry.until)
	if !known && !p.AllLost() {
		return Plan{Direct: true, HelpAfter: hedgeDelay}
	}
	if p.AllLost() && now.Before(p.probeAt) || known && now.Before(entry.probeAt) {
		return Plan{}
	}
	p.probeAt = now.Add(probeInterval)
	if known {
		entry.probeAt = p.probeAt
		p.lost[address] = entry
	}
	return Plan{Direct: true, HelpAfter: probeHeadStart}
}

// ObserveLost records that a direct attempt failed while another router reached the address. It
// reports whether all addresses count as lost since then.
func (p *Paths) ObserveLost(now time.Time, address string) (allLost bool) {
	before := p.AllLost()
	probeAt := now
	if entry, known := p.lost[address]; known {
		probeAt = entry.probeAt
	}
	p.lost[address] = lostAddress{until: now.Add(lostTTL), probeAt: probeAt}
	p.sinceDirect[address] = struct{}{}
	if !p.AllLost() || before {
		return false
	}
	p.allLostAt = now
	return true
}

// ObserveFailed records that a direct attempt failed.
func (p *Paths) ObserveFailed(address string) { p.failed[address] = struct{}{} }

// ObserveAnswer records an answer on a connection opened before. It does not show that new
// connections work.
func (p *Paths) ObserveAnswer() { clear(p.failed) }

// Credible reports whether a failure of this router says anything about the back end: not if the
// last attempts failed at several, which rather means that its links are down.
func (p *Paths) Credible() bool { return len(p.failed) <= maxCredibleFailures }

// ObserveDirect records a direct connection. It reports whether all addresses counted as lost.
func (p *Paths) ObserveDirect(now time.Time, address string) (allWereLost bool) {
	allWereLost = p.AllLost()
	clear(p.sinceDirect)
	clear(p.failed)
	delete(p.lost, address)
	for other, entry := range p.lost {
		if !now.Before(entry.until) {
			delete(p.lost, other)
		}
	}
	return allWereLost
}

// AllLost reports whether no address is reached directly, while other routers reach some.
func (p *Paths) AllLost() bool { return len(p.sinceDirect) >= minLostAddresses }

// AllLostFor returns for how long no address has been reached directly, 0 if some are.
func (p *Paths) AllLostFor(now time.Time) time.Duration {
	if !p.AllLost() {
		return 0
	}
	return now.Sub(p.allLostAt)
}

// Lost reports whether an address is not reached directly.
func (p *Paths) Lost(now time.Time, address string) bool {
	entry, known := p.lost[address]
	return p.AllLost() || known && now.Before(entry.until)
}
