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

// checkTimes are the times, since an attempt broke off, at which its back end is probed. A
// crash shows in the first two, as the address refuses connections until a restart; a back end
// that restarted sooner has another start time or name. Without either by the last probe the
// crash is not confirmed.
var checkTimes = []time.Duration{
	10 * time.Millisecond, 110 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond,
	1500 * time.Millisecond, 3 * time.Second, 6 * time.Second,
}

const (
	// refusalsToConfirm is the number of consecutive refused connections that prove that no
	// process listens. One may be due to a connection limit.
	refusalsToConfirm = 2
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
	// maxCrashChecks bounds the concurrent checks, and with them the evidence of one router.
	maxCrashChecks = 256
	// endedRetention is how long the end of an incarnation is remembered for attempts that
	// break off later.
	endedRetention = 30 * time.Second
)

// ProbeResult is the result of one probe of an incarnation.
type ProbeResult uint8

const (
	// ProbeInconclusive proves nothing: no answer, or an inconclusive one.
	ProbeInconclusive ProbeResult = iota
	// ProbeAlive is an answer of the same incarnation.
	ProbeAlive
	// ProbeRefused is a refused connection. Where a back end limits its connections, it is
	// ProbeInconclusive while an attempt of this router from before the break is open there: a
	// crash breaks all connections.
	ProbeRefused
	// ProbeEnded is an answer of another incarnation.
	ProbeEnded
)

// Target is an incarnation of a back end at which an attempt was made.
type Target struct {
	Incarnation ident.Incarnation
	// Arriving is how long the answer had been arriving when the attempt ended, 0 if no byte had.
	Arriving time.Duration
	// Probe probes the back end once after an attempt broke off at a time. It must return once
	// ctx ends.
	Probe func(ctx context.Context, brokeAt time.Time) ProbeResult
}

// Backends is the router's registry of back ends. Its methods are safe for concurrent use.
type Backends interface {
	// DrainingOrUnlisted reports whether an incarnation has ended as planned or is about to.
	DrainingOrUnlisted(incarnation ident.Incarnation) bool
	// ObserveGone records that an incarnation has ended.
	ObserveGone(now time.Time, incarnation ident.Incarnation)
}

// crashCheck checks whether one incarnation has crashed.
type crashCheck struct {
	target  Target
	brokeAt time.Time
	// requests are those whose attempts there have broken off so far.
	requests map[quarantine.Fingerprint]struct{}
}

func (c *crashCheck) probe(ctx context.Context) ProbeResult {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.target.Probe(bounded, c.brokeAt)
}

func (c *crashCheck) add(requests []quarantine.Fingerprint) {
	for _, request := range requests {
		c.requests[request] = struct{}{}
	}
}

// crashChecks checks back ends for crashes after attempts broke off. It is safe for concurrent
// use.
type crashChecks struct {
	backends Backends
	// onCrash is called with the requests that ran on a crashed incarnation.
	onCrash func(at time.Time, incarnation ident.Incarnation, requests []quarantine.Fingerprint)
	// onAlive is called with an incarnation that answered a probe, and when that was sent.
	onAlive func(incarnation ident.Incarnation, probedAt time.Time)
	// onResult is called with the result of each check: crashed, alive or unknown.
	onResult func(string)

	mu      sync.Mutex
	ctx     context.Context
	running sync.WaitGroup
	open    map[ident.Incarnation]*crashCheck
	ended   map[ident.Incarnation]time.Time
}

// run permits checks until ctx ends.
func (c *crashChecks) run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	<-ctx.Done()
	c.running.Wait()
}

// observeBroken records broken attempts at a back end and checks it, unless it was draining:
// then it ended as planned.
func (c *crashChecks) observeBroken(now time.Time, target Target, requests ...quarantine.Fingerprint) {
	if c.backends.DrainingOrUnlisted(target.Incarnation) {
		return
	}
	incarnation := target.Incarnation
	c.mu.Lock()
	defer c.mu.Unlock()
	if endedAt, ended := c.ended[incarnation]; ended && now.Sub(endedAt) < endedRetention {
		// The mutex is held, and the caller's request is waiting.
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

// check probes the back end until the state of the incarnation is certain.
func (c *crashChecks) check(ctx context.Context, incarnation ident.Incarnation, check *crashCheck) {
	refusals := 0
	for _, after := range checkTimes {
		if !wait.For(ctx, max(clock.Until(check.brokeAt.Add(after)), time.Millisecond)) {
			break
		}
		probedAt := clock.Now()
		switch check.probe(ctx) {
		case ProbeAlive:
			c.onAlive(incarnation, probedAt)
			c.finish(incarnation, "alive", false)
			return
		case ProbeEnded:
			refusals = refusalsToConfirm
		case ProbeRefused:
			refusals++
		case ProbeInconclusive:
			refusals = 0
		}
		if refusals >= refusalsToConfirm {
			requests := c.finish(incarnation, "crashed", true)
			// Nothing more is sent to that incarnation. What reached its successor under the
			// old name would count as run by the crashed one.
			c.backends.ObserveGone(clock.Now(), incarnation)
			c.onCrash(check.brokeAt, incarnation, requests)
			return
		}
	}
	c.finish(incarnation, "unknown", false)
}

// finish ends a check and returns the requests that ran on the incarnation.
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
