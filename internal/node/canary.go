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
	// directTick is the time between two looks at what is due while this router directs a
	// rollout: a few in the time between two permits. canaryTick is that at the others,
	// whose looks only log what has changed.
	directTick = 100 * time.Millisecond
	canaryTick = 250 * time.Millisecond
	// canaryLinger is how long routers are told a final phase, so that it reaches those
	// that miss datagrams or start meanwhile; it is as long as a canary.Director tells it.
	canaryLinger = 10 * time.Second
	// rosterPause is the least time between two reads of the routers' rows that a rollout
	// asks for: a router that has just started must be heard before a verdict.
	rosterPause = time.Second
)

// holding tells whether this router holds the lease under which rollouts are directed.
type holding interface {
	Held() (lease.Grant, error)
}

// canaries is this router's part in moving services to other releases: it runs a
// canary.Gate, and a canary.Director while the lease is held. It implements
// forward.Releases.
type canaries struct {
	// self is where this router is told permits, peers the addresses of the others.
	self  netip.AddrPort
	peers func() []netip.AddrPort
	// refresh reads the addresses of the others anew.
	refresh  func(ctx context.Context)
	send     func(to netip.AddrPort, told datagram)
	lease    holding
	backends *backend.Registry
	states   *rolloutStates
	metrics  *metrics

	bounds canary.Bounds
	// bound is true while some attempt may not go to every release.
	bound atomic.Bool
	// awake has an item once there is a rollout to look after.
	awake chan struct{}

	mu       sync.Mutex
	gate     *canary.Gate
	rollouts *knownRollouts
	// listedReleases are those that the gate was told of each service.
	listedReleases map[ident.Service][]ident.Release
	// busyUntil is when nothing is left to do, unless an order comes.
	busyUntil time.Time
	// rosterAt is when the routers' rows were last asked for, wanted whether they are to
	// be read.
	rosterAt time.Time
	wanted   bool
	trails   map[ident.Service]*rolloutTrail
	// directing is nil while the lease is not held.
	directing *directing
}

var _ forward.Releases = (*canaries)(nil)

// newCanaries returns the canaries of a router.
func newCanaries(bounds canary.Bounds, c *canaries) *canaries {
	c.bounds = bounds
	c.awake = make(chan struct{}, 1)
	c.gate = canary.NewGate(canary.GateConfig{Incarnation: rand.Uint64(), Bounds: bounds})
	c.listedReleases = make(map[ident.Service][]ident.Release)
	c.trails = make(map[ident.Service]*rolloutTrail)
	return c
}

// connect lets permits and reports pass through the socket for notices.
func (c *canaries) connect(socket *notifier) {
	if c != nil {
		socket.canaries = c
		c.send = socket.sendTo
	}
}

// Choose implements forward.Releases.
func (c *canaries) Choose(now time.Time, ask canary.ChooseRequest) backend.Releases {
	if !c.bound.Load() {
		return backend.Releases{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Choose(now, ask)
}

// StillAllowed implements forward.Releases.
func (c *canaries) StillAllowed(service ident.Service, allowed *backend.Releases, release ident.Release) bool {
	if !c.bound.Load() {
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

// setRollouts takes in what a configuration confirmed at a time tells of rollouts.
func (c *canaries) setRollouts(confirmedAt time.Time, rollouts *knownRollouts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.rollouts = rollouts
	c.gate.ApplySnapshot(now, confirmedAt, rollouts.known())
	c.changed(now)
}

// applyList takes in the back ends as they were listed at a time.
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
	c.changed(clock.Now())
}

// releasesOf returns the releases of each service, in order.
func releasesOf(records []backend.Record) map[ident.Service][]ident.Release {
	releases := make(map[ident.Service][]ident.Release)
	for index := range records {
		record := &records[index]
		known := releases[record.Service]
		if place, found := slices.BinarySearch(known, record.Release); !found {
			releases[record.Service] = slices.Insert(known, place, record.Release)
		}
	}
	return releases
}

// receive takes in a datagram of a router. Those of other senders are dropped, and the
// routers' rows are looked at again, since it may be one that has just started.
func (c *canaries) receive(from netip.AddrPort, told *datagram) {
	if told.Permit == nil && told.Report == nil {
		return
	}
	known := slices.Contains(c.peers(), from)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !known {
		c.wantRoster()
		return
	}
	now := clock.Now()
	if told.Permit != nil {
		if report := c.permitted(now, told.Permit); report != nil {
			c.send(from, datagram{Report: report})
		}
	}
	if told.Report != nil && c.directing != nil {
		c.directing.director.ApplyReport(now, from, told.Report)
	}
}

// permitted takes in a permit, and returns the report that answers it, if any.
func (c *canaries) permitted(now time.Time, permit *canary.Permit) *canary.Report {
	c.gate.ApplyPermit(now, permit)
	c.note(permit.Order.Service).reason = permit.Reason
	c.changed(now)
	return c.gate.Report(now, permit.Order.Service)
}

// wantRoster asks for a read of the routers' rows; the caller holds the mutex.
func (c *canaries) wantRoster() {
	c.wanted = true
	c.wake()
}

// changed takes in that the gate may have changed its mind; the caller holds the mutex.
func (c *canaries) changed(now time.Time) {
	c.bound.Store(c.gate.Active())
	c.logTrails(now)
	if c.rollouts.pending() {
		c.busyUntil = now.Add(canaryLinger)
		c.wake()
	}
}

func (c *canaries) wake() {
	select {
	case c.awake <- struct{}{}:
	default:
	}
}

// run looks after rollouts until ctx ends. Without one it sleeps.
func (c *canaries) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.busy(clock.Now()) {
			select {
			case <-ctx.Done():
			case <-c.awake:
			}
		}
		pause := canaryTick
		if c.tick(ctx, clock.Now()) {
			pause = directTick
		}
		wait.For(ctx, pause)
	}
}

// busy reports whether there is a rollout to look after.
func (c *canaries) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.busyUntil) || c.wanted
}

// tick does what is due, and reports whether this router directs.
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
	c.hold(now, fence)
	if c.directing != nil {
		c.wanted = c.wanted || c.rollouts.pending()
		c.direct(ctx, now, engines, routers)
	}
	c.readRoster(ctx, now)
	c.changed(now)
	return c.directing != nil
}

// readRouters reads the routers' rows if that is wanted and was not done lately; the caller
// holds the mutex.
func (c *canaries) readRoster(ctx context.Context, now time.Time) {
	if !c.wanted || now.Sub(c.rosterAt) < rosterPause {
		return
	}
	c.wanted, c.rosterAt = false, now
	go c.refresh(ctx)
}
