package guard

import (
	"context"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// checkTimes are the times, since an attempt broke off, at which its back end is asked whether
// that life goes on. A crash shows in the first two, as the address refuses connections until
// the next life; a back end that is back before is known by its start or its name. One that
// answers neither way by the last has crashed as little as any that is cut off.
var checkTimes = []time.Duration{
	10 * time.Millisecond, 110 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond,
	1500 * time.Millisecond, 3 * time.Second, 6 * time.Second,
}

const (
	// refusalsToConfirm is the number of refused connections in a row that prove that no process
	// listens any more. One may be due to a bound of connections.
	refusalsToConfirm = 2
	// probeTimeout bounds one look: back ends report without a slot, within a few ms.
	probeTimeout = 300 * time.Millisecond
	// maxCrashChecks bounds the checks under way, and with them the evidence of one router.
	maxCrashChecks = 256
	// endedRetention is how long it is remembered that a life has ended, for attempts that learn of
	// it late.
	endedRetention = 30 * time.Second
)

// Sign is what one look at a back end found of a life of it.
type Sign uint8

const (
	// SignNone proves nothing: no answer, or one that does not tell.
	SignNone Sign = iota
	// SignAlive is an answer of the same life.
	SignAlive
	// SignRefused is a connection that was refused as none is to a process that runs. Where a
	// back end bounds its connections, it is SignNone while an attempt of this router from before
	// the break is open there: a crash breaks all connections.
	SignRefused
	// SignEnded is an answer of another life.
	SignEnded
)

// Place is one life of a back end at which an attempt was made.
type Place struct {
	Life ident.Incarnation
	// Look asks the back end once what became of that life, where an attempt broke off at a
	// time. It must come back once ctx ends.
	Look func(ctx context.Context, brokeAt time.Time) Sign
}

// Backends is what a router knows of its back ends. Its methods are safe for concurrent use.
type Backends interface {
	// Leaving reports whether a life has ended as planned or is about to.
	Leaving(life ident.Incarnation) bool
	// SawGone takes in that a life has ended.
	SawGone(now time.Time, life ident.Incarnation)
}

// crashCheck is the question whether one life of a back end has ended.
type crashCheck struct {
	target  Place
	brokeAt time.Time
	// requests were running there, as far as their attempts have broken off so far.
	requests map[quarantine.Fingerprint]struct{}
}

// probe asks the back end once.
func (c *crashCheck) probe(ctx context.Context) Sign {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.target.Look(bounded, c.brokeAt)
}

func (c *crashCheck) add(requests []quarantine.Fingerprint) {
	for _, request := range requests {
		c.requests[request] = struct{}{}
	}
}

// crashChecks finds out whether back ends have crashed at which attempts broke off. It is
// safe for concurrent use.
type crashChecks struct {
	backends Backends
	// onCrash is told which requests were running on a life that crashed at a time.
	onCrash func(at time.Time, life ident.Incarnation, requests []quarantine.Fingerprint)
	// onResult is told what came of each check: crashed, alive or unknown.
	onResult func(string)

	mu      sync.Mutex
	ctx     context.Context
	running sync.WaitGroup
	open    map[ident.Incarnation]*crashCheck
	ended   map[ident.Incarnation]time.Time
}

// run lets checks run until ctx ends.
func (c *crashChecks) run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	<-ctx.Done()
	c.running.Wait()
}

// broke takes in that attempts of requests broke off at a back end, and checks it. One that was
// leaving has ended as planned: that says nothing against what ran there.
func (c *crashChecks) observeBroken(now time.Time, target Place, requests ...quarantine.Fingerprint) {
	if c.backends.Leaving(target.Life) {
		return
	}
	incarnation := target.Life
	c.mu.Lock()
	defer c.mu.Unlock()
	if endedAt, ended := c.ended[incarnation]; ended && now.Sub(endedAt) < endedRetention {
		// The mutex is held, and the caller's request waits for its answer.
		go c.onCrash(endedAt, incarnation, requests)
		return
	}
	if check := c.open[incarnation]; check != nil {
		check.add(requests)
		return
	}
	if c.ctx == nil || c.ctx.Err() != nil || len(c.open) >= maxCrashChecks {
		return
	}
	check := &crashCheck{target: target, brokeAt: now, requests: make(map[quarantine.Fingerprint]struct{})}
	check.add(requests)
	c.open[incarnation] = check
	c.running.Go(func() { c.check(c.ctx, incarnation, check) })
}

// check asks the back end until it is known whether that life has ended.
func (c *crashChecks) check(ctx context.Context, incarnation ident.Incarnation, check *crashCheck) {
	refusals := 0
	for _, after := range checkTimes {
		if !wait.For(ctx, max(clock.Until(check.brokeAt.Add(after)), time.Millisecond)) {
			break
		}
		switch check.probe(ctx) {
		case SignAlive:
			c.finish(incarnation, "alive", false)
			return
		case SignEnded:
			refusals = refusalsToConfirm
		case SignRefused:
			refusals++
		case SignNone:
			refusals = 0
		}
		if refusals >= refusalsToConfirm {
			requests := c.finish(incarnation, "crashed", true)
			// Nothing more is sent to that life. What reached the next one under the old name
			// would count as running on the life that has ended.
			c.backends.SawGone(clock.Now(), incarnation)
			c.onCrash(check.brokeAt, incarnation, requests)
			return
		}
	}
	c.finish(incarnation, "unknown", false)
}

// finish ends a check, and returns the requests that ran on the life.
func (c *crashChecks) finish(incarnation ident.Incarnation, result string, ended bool) []quarantine.Fingerprint {
	c.onResult(result)
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := make([]quarantine.Fingerprint, 0, len(c.open[incarnation].requests))
	for request := range c.open[incarnation].requests {
		requests = append(requests, request)
	}
	delete(c.open, incarnation)
	if ended {
		c.ended[incarnation] = clock.Now()
	}
	for incarnation, at := range c.ended {
		if clock.Since(at) > endedRetention {
			delete(c.ended, incarnation)
		}
	}
	return requests
}
