package node

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/rollout"
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
	// maxCrashChecks bounds the checks under way, and with them the evidence of one router.
	maxCrashChecks = 256
	// endedKept is how long it is remembered that a life has ended, for attempts that learn of
	// it late.
	endedKept = 30 * time.Second
)

const (
	// leftFor is how long before its crash a back end may have begun a request that was given
	// up. Most drop what is given up; the others begin it once a place is free.
	leftFor = 2 * time.Second
	// maxLeft bounds the attempts remembered that were given up, the newest: 250 a second, in
	// 30 kB.
	maxLeft = 512
)

// leftAttempt is an attempt that was given up while its back end may have been at work on it.
type leftAttempt struct {
	life    ident.Incarnation
	request quarantine.Fingerprint
	at      time.Time
}

// leftAttempts remembers the newest attempts that were given up. It is safe for concurrent use.
type leftAttempts struct {
	mu   sync.Mutex
	all  [maxLeft]leftAttempt
	next int
}

// add takes in an attempt that was given up.
func (l *leftAttempts) add(left leftAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[l.next] = left
	l.next = (l.next + 1) % maxLeft
}

// take returns the requests that were given up at a life of a back end shortly before it crashed
// at a time, and forgets them.
func (l *leftAttempts) take(life ident.Incarnation, crashedAt time.Time) []quarantine.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []quarantine.Fingerprint
	for index := range l.all {
		left := &l.all[index]
		if left.life != life {
			continue
		}
		if crashedAt.Sub(left.at) <= leftFor {
			requests = append(requests, left.request)
		}
		*left = leftAttempt{}
	}
	return requests
}

// has reports whether a request was given up at a life of a back end shortly before a time.
func (l *leftAttempts) has(life ident.Incarnation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for index := range l.all {
		if left := &l.all[index]; left.life == life && now.Sub(left.at) <= leftFor {
			return true
		}
	}
	return false
}

// lifeSign is what a check found.
type lifeSign uint8

const (
	// signNone proves nothing: no answer, or one that does not tell.
	signNone lifeSign = iota
	// signAlive is an answer of the same life.
	signAlive
	// signRefused is a refused connection.
	signRefused
	// signEnded is an answer of another life.
	signEnded
)

// crashCheck is the question whether one life of a back end has ended.
type crashCheck struct {
	record  backend.Record
	brokeAt time.Time
	// requests were running there, as far as their attempts have broken off so far.
	requests map[quarantine.Fingerprint]struct{}
}

func (c *crashCheck) add(requests []quarantine.Fingerprint) {
	for _, request := range requests {
		c.requests[request] = struct{}{}
	}
}

// crashChecks finds out whether back ends have crashed at which attempts broke off. It is
// safe for concurrent use.
type crashChecks struct {
	engines  rollout.Engines
	backends *backend.Registry
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
func (c *crashChecks) broke(now time.Time, at backend.Record, requests ...quarantine.Fingerprint) {
	if c.backends.Leaving(at.Instance) {
		return
	}
	life := at.Instance
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
	check := &crashCheck{record: at, brokeAt: now, requests: make(map[quarantine.Fingerprint]struct{})}
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
		switch c.look(ctx, check) {
		case signAlive:
			c.finish(life, "alive", false)
			return
		case signEnded:
			refusals = refusalsToEnd
		case signRefused:
			refusals++
		case signNone:
			refusals = 0
		}
		if refusals >= refusalsToEnd {
			requests := c.finish(life, "crashed", true)
			// Nothing more is sent to that life. What reached the next one under the old name
			// would count as running on the life that has ended.
			c.backends.SawGone(clock.Now(), life)
			c.crashed(check.brokeAt, life, requests)
			return
		}
	}
	c.finish(life, "unknown", false)
}

// look asks the back end once. While older attempts of this router are open there, its process
// runs: a crash breaks all connections.
func (c *crashChecks) look(ctx context.Context, check *crashCheck) lifeSign {
	bounded, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := c.engines.Report(bounded, check.record)
	switch {
	case err == nil:
		return signAlive
	case errors.Is(err, rollout.ErrOtherInstance):
		return signEnded
	case errors.Is(err, syscall.ECONNREFUSED) && !c.backends.InFlightSince(check.record.Instance, check.brokeAt):
		return signRefused
	default:
		return signNone
	}
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
