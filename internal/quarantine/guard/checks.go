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

// checkAt are the times, since an attempt broke off, at which its back end is asked whether
// that life goes on. A crash shows in the first two, as the address refuses connections until
// the next life; a back end that is back before is known by its start or its name. One that
// answers neither way by the last has crashed as little as any that is cut off.
var checkAt = []time.Duration{
	10 * time.Millisecond, 110 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond,
	1500 * time.Millisecond, 3 * time.Second, 6 * time.Second,
}

const (
	// refusalsToEnd is the number of refused connections in a row that prove that no process
	// listens any more. One may be due to a bound of connections.
	refusalsToEnd = 2
	// lookTimeout bounds one look: back ends report without a slot, within a few ms.
	lookTimeout = 300 * time.Millisecond
	// maxCrashChecks bounds the checks under way, and with them the evidence of one router.
	maxCrashChecks = 256
	// endedKept is how long it is remembered that a life has ended, for attempts that learn of
	// it late.
	endedKept = 30 * time.Second
)

// ProbeResult is what one look at a back end found of a life of it.
type ProbeResult uint8

const (
	// ProbeInconclusive proves nothing: no answer, or one that does not tell.
	ProbeInconclusive ProbeResult = iota
	// ProbeAlive is an answer of the same life.
	ProbeAlive
	// ProbeRefused is a connection that was refused as none is to a process that runs. Where a
	// back end bounds its connections, it is ProbeInconclusive while an attempt of this router from before
	// the break is open there: a crash breaks all connections.
	ProbeRefused
	// ProbeEnded is an answer of another life.
	ProbeEnded
)

// Target is one life of a back end at which an attempt was made.
type Target struct {
	Incarnation ident.Incarnation
	// Probe asks the back end once what became of that life, where an attempt broke off at a
	// time. It must come back once ctx ends.
	Probe func(ctx context.Context, brokeAt time.Time) ProbeResult
}

// Backends is what a router knows of its back ends. Its methods are safe for concurrent use.
type Backends interface {
	// DrainingOrUnlisted reports whether a life has ended as planned or is about to.
	DrainingOrUnlisted(life ident.Incarnation) bool
	// ObserveGone takes in that a life has ended.
	ObserveGone(now time.Time, life ident.Incarnation)
}

// crashCheck is the question whether one life of a back end has ended.
type crashCheck struct {
	place   Target
	brokeAt time.Time
	// requests were running there, as far as their attempts have broken off so far.
	requests map[quarantine.Fingerprint]struct{}
}

// look asks the back end once.
func (c *crashCheck) look(ctx context.Context) ProbeResult {
	bounded, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	return c.place.Probe(bounded, c.brokeAt)
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
	// crashed is told which requests were running on a life that crashed at a time.
	crashed func(at time.Time, life ident.Incarnation, requests []quarantine.Fingerprint)
	// result is told what came of each check: crashed, alive or unknown.
	result func(string)

	mu    sync.Mutex
	ctx   context.Context
	wait  sync.WaitGroup
	open  map[ident.Incarnation]*crashCheck
	ended map[ident.Incarnation]time.Time
}

// run lets checks run until ctx ends.
func (c *crashChecks) run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	<-ctx.Done()
	c.wait.Wait()
}

// broke takes in that attempts of requests broke off at a back end, and checks it. One that was
// leaving has ended as planned: that says nothing against what ran there.
func (c *crashChecks) broke(now time.Time, at Target, requests ...quarantine.Fingerprint) {
	if c.backends.DrainingOrUnlisted(at.Incarnation) {
		return
	}
	life := at.Incarnation
	c.mu.Lock()
	defer c.mu.Unlock()
	if endedAt, ended := c.ended[life]; ended && now.Sub(endedAt) < endedKept {
		// The mutex is held, and the caller's request waits for its answer.
		go c.crashed(endedAt, life, requests)
		return
	}
	if check := c.open[life]; check != nil {
		check.add(requests)
		return
	}
	if c.ctx == nil || c.ctx.Err() != nil || len(c.open) >= maxCrashChecks {
		return
	}
	check := &crashCheck{place: at, brokeAt: now, requests: make(map[quarantine.Fingerprint]struct{})}
	check.add(requests)
	c.open[life] = check
	c.wait.Go(func() { c.check(c.ctx, life, check) })
}

// check asks the back end until it is known whether that life has ended.
func (c *crashChecks) check(ctx context.Context, life ident.Incarnation, check *crashCheck) {
	refusals := 0
	for _, after := range checkAt {
		if !wait.For(ctx, max(clock.Until(check.brokeAt.Add(after)), time.Millisecond)) {
			break
		}
		switch check.look(ctx) {
		case ProbeAlive:
			c.finish(life, "alive", false)
			return
		case ProbeEnded:
			refusals = refusalsToEnd
		case ProbeRefused:
			refusals++
		case ProbeInconclusive:
			refusals = 0
		}
		if refusals >= refusalsToEnd {
			requests := c.finish(life, "crashed", true)
			// Nothing more is sent to that life. What reached the next one under the old name
			// would count as running on the life that has ended.
			c.backends.ObserveGone(clock.Now(), life)
			c.crashed(check.brokeAt, life, requests)
			return
		}
	}
	c.finish(life, "unknown", false)
}

// finish ends a check, and returns the requests that ran on the life.
func (c *crashChecks) finish(life ident.Incarnation, result string, ended bool) []quarantine.Fingerprint {
	c.result(result)
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := make([]quarantine.Fingerprint, 0, len(c.open[life].requests))
	for request := range c.open[life].requests {
		requests = append(requests, request)
	}
	delete(c.open, life)
	if ended {
		c.ended[life] = clock.Now()
	}
	for life, at := range c.ended {
		if clock.Since(at) > endedKept {
			delete(c.ended, life)
		}
	}
	return requests
}
