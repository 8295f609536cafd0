package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// directTick is the time between two ticks while this router directs a rollout, a few in
	// the time between two permits; canaryTick is that at other routers, which only log.
	directTick = 100 * time.Millisecond
	canaryTick = 250 * time.Millisecond
	// finalPhaseResend is how long a final phase is sent, so that it reaches routers that lost
	// datagrams or start during it; as long as a canary.Director sends it.
	finalPhaseResend = 10 * time.Second
	// routersReadPause is the least time between two reads of the routers' rows for a rollout.
	// They are read because a router that has just started must report before a decision.
	routersReadPause = time.Second
)

// leaseHolder reports whether this router holds the lease under which rollouts are directed.
type leaseHolder interface {
	Held() (lease.Grant, error)
}

// canaries is this router's part in moving services to other releases: it runs a
// canary.Gate, and a canary.Director while it holds the lease.
type canaries struct {
	// self is the address of this router, peers returns those of the others.
	self  netip.AddrPort
	peers func() []netip.AddrPort
	// refreshPeers reads the addresses of the others from the store.
	refreshPeers func(ctx context.Context)
	send         func(to netip.AddrPort, sent datagram)
	lease        leaseHolder
	backends     *backend.Registry
	states       *rolloutStates
	metrics      *metrics

	bounds canary.Bounds
	// restricted is true while some attempts may not go to every release.
	restricted atomic.Bool
	// wakeups receives an item when run has something to do.
	wakeups chan struct{}

	mu       sync.Mutex
	gate     *canary.Gate
	rollouts *knownRollouts
	// listedReleases are the releases of each service, as last passed to the gate.
	listedReleases map[ident.Service][]ident.Release
	// busyUntil is when run may sleep, unless an order arrives.
	busyUntil time.Time
	// routersReadAt is when a read of the routers' rows last began; routersReadDue is true if
	// another one is requested.
	routersReadAt  time.Time
	routersReadDue bool
	logged         map[ident.Service]*loggedRollout
	// term is nil while the lease is not held.
	term *leaseTerm
}

var _ forward.Releases = (*canaries)(nil)

// newCanaries completes and returns c.
func newCanaries(bounds canary.Bounds, c *canaries) *canaries {
	c.bounds = bounds
	c.wakeups = make(chan struct{}, 1)
	c.gate = canary.NewGate(canary.GateConfig{Incarnation: rand.Uint64(), Bounds: bounds})
	c.listedReleases = make(map[ident.Service][]ident.Release)
	c.logged = make(map[ident.Service]*loggedRollout)
	return c
}

// connect sets the socket over which permits and reports pass; c may be nil.
func (c *canaries) connect(socket *notifier) {
	if c != nil {
		socket.canaries = c
		c.send = socket.sendTo
	}
}

// Choose implements forward.Releases.
func (c *canaries) Choose(now time.Time, request canary.ChooseRequest) backend.Releases {
	if !c.restricted.Load() {
		return backend.Releases{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Choose(now, request)
}

// StillAllowed implements forward.Releases.
func (c *canaries) StillAllowed(service ident.Service, allowed *backend.Releases, release ident.Release) bool {
	if !c.restricted.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.StillAllowed(service, allowed, release)
}

// Declined implements forward.Releases.
func (c *canaries) Declined(service ident.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Declined(service)
}

// Sent implements forward.Releases.
func (c *canaries) Sent(now time.Time, service ident.Service, to backend.Record) canary.Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Sent(now, service, to)
}

// Ended implements forward.Releases.
func (c *canaries) Ended(now time.Time, run canary.Run, sample canary.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Ended(now, run, sample)
}

// setRollouts sets the rollouts as of a configuration that was confirmed at a time.
func (c *canaries) setRollouts(confirmedAt time.Time, rollouts *knownRollouts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.rollouts = rollouts
	c.gate.ApplySnapshot(now, confirmedAt, rollouts.known())
	c.gateChanged(now)
}

// applyList applies the back ends as they were listed at a time; c may be nil.
func (c *canaries) applyList(listedAt time.Time, records []backend.Record) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	releases := releasesOf(records)
	for service := range c.listedReleases {
		if releases[service] == nil {
			c.gate.SetReleases(listedAt, service, nil)
		}
	}
	for service, now := range releases {
		if !slices.Equal(now, c.listedReleases[service]) {
			c.gate.SetReleases(listedAt, service, now)
		}
	}
	c.listedReleases = releases
	c.gateChanged(clock.Now())
}

// releasesOf returns the sorted releases of each service.
func releasesOf(records []backend.Record) map[ident.Service][]ident.Release {
	releases := make(map[ident.Service][]ident.Release)
	for index := range records {
		record := &records[index]
		known := releases[record.Service]
		if position, found := slices.BinarySearch(known, record.Release); !found {
			releases[record.Service] = slices.Insert(known, position, record.Release)
		}
	}
	return releases
}

// receive handles a permit or a report. One of an unknown sender is dropped and the routers'
// rows are read again, since the sender may have just started.
func (c *canaries) receive(from netip.AddrPort, received *datagram) {
	if received.Permit == nil && received.Report == nil {
		return
	}
	known := slices.Contains(c.peers(), from)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !known {
		c.requestRoutersRead()
		return
	}
	now := clock.Now()
	if received.Permit != nil {
		if report := c.applyPermit(now, received.Permit); report != nil {
			c.send(from, datagram{Report: report})
		}
	}
	if received.Report != nil && c.term != nil {
		c.term.director.ApplyReport(now, from, received.Report)
	}
}

// applyPermit applies a permit and returns the report that answers it, if any; the caller
// holds the mutex.
func (c *canaries) applyPermit(now time.Time, permit *canary.Permit) *canary.Report {
	c.gate.ApplyPermit(now, permit)
	c.loggedOf(permit.Order.Service).reason = permit.Reason
	c.gateChanged(now)
	return c.gate.Report(now, permit.Order.Service)
}

// requestRoutersRead requests a read of the routers' rows; the caller holds the mutex.
func (c *canaries) requestRoutersRead() {
	c.routersReadDue = true
	c.wake()
}

// gateChanged updates and logs what follows from the gate's state; the caller holds the mutex.
func (c *canaries) gateChanged(now time.Time) {
	c.restricted.Store(c.gate.Active())
	c.logChanges(now)
	if c.rollouts.pending() {
		c.busyUntil = now.Add(finalPhaseResend)
		c.wake()
	}
}

func (c *canaries) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}

// run follows rollouts until ctx ends. Without one it sleeps.
func (c *canaries) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.busy(clock.Now()) {
			select {
			case <-ctx.Done():
			case <-c.wakeups:
			}
		}
		pause := canaryTick
		if c.tick(ctx, clock.Now()) {
			pause = directTick
		}
		wait.For(ctx, pause)
	}
}

// busy reports whether run has something to do.
func (c *canaries) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.busyUntil) || c.routersReadDue
}

// tick does what is due, and reports whether this router holds the lease.
func (c *canaries) tick(ctx context.Context, now time.Time) (directs bool) {
	fence := uint64(0)
	if grant, err := c.lease.Held(); err == nil {
		fence = grant.Fence
	}
	routers := append(slices.Clone(c.peers()), c.self)
	engines := []backend.Record(nil)
	if fence != 0 {
		engines = c.backends.Records()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setFence(now, fence)
	if c.term != nil {
		c.routersReadDue = c.routersReadDue || c.rollouts.pending()
		c.direct(ctx, now, engines, routers)
	}
	c.readRouters(ctx, now)
	c.gateChanged(now)
	return c.term != nil
}

// readRouters starts a due read of the routers' rows, routersReadPause after the last one at
// the earliest; the caller holds the mutex.
func (c *canaries) readRouters(ctx context.Context, now time.Time) {
	if !c.routersReadDue || now.Sub(c.routersReadAt) < routersReadPause {
		return
	}
	c.routersReadDue, c.routersReadAt = false, now
	go c.refreshPeers(ctx)
}
