// Package guard keeps requests from back ends under which these crash, together with the other
// routers: it is the shell around the evidence of package quarantine, and has the goroutines, the
// checks of back ends, the news for other routers and the rows that outlive all of them.
package guard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// Config sets up a Guard.
type Config struct {
	// Table keeps the rows, Timeout bounds one call.
	Table    store.Table
	Timeout  time.Duration
	Backends Backends
	// Send sends news to all other routers. It must not block. Default: nobody is told.
	Send func([]quarantine.Told)
	// Keeps reports whether this router writes and reads the rows for all. Default: never.
	Keeps func() bool
	// OnTrial is told what came of each question for a trial: granted, denied or failed; OnCheck
	// what came of each check of a back end: crashed, alive or unknown.
	OnTrial, OnCheck func(result string)
}

func (c Config) withDefaults() Config {
	if c.Send == nil {
		c.Send = func([]quarantine.Told) {}
	}
	if c.Keeps == nil {
		c.Keeps = func() bool { return false }
	}
	if c.OnTrial == nil {
		c.OnTrial = func(string) {}
	}
	if c.OnCheck == nil {
		c.OnCheck = func(string) {}
	}
	return c
}

// Guard keeps requests from back ends under which these crash. It is safe for concurrent use; a
// nil Guard knows nothing and tells nothing.
type Guard struct {
	config    Config
	ledger    *quarantine.Ledger
	successes *quarantine.Successes
	checks    *crashChecks
	// abandoned are the attempts that were given up: others may have seen that a life crashed.
	abandoned *abandonedAttempts
	rows      *rows

	mu sync.Mutex
	// updates are the requests that are still to be told, and how often.
	updates map[quarantine.Fingerprint]int
	// staleRows are the requests whose rows this router has to bring up to date.
	staleRows map[quarantine.Fingerprint]struct{}
	// wake ends the pause before the rows are written.
	wake chan struct{}
}

// New returns a guard that does nothing by itself before Run.
func New(config Config) *Guard {
	config = config.withDefaults()
	ledger := quarantine.NewLedger()
	g := &Guard{
		config: config, ledger: ledger, successes: quarantine.NewSuccesses(), abandoned: &abandonedAttempts{},
		rows:    newRows(config.Table, config.Timeout, ledger),
		updates: make(map[quarantine.Fingerprint]int), staleRows: make(map[quarantine.Fingerprint]struct{}),
		wake: make(chan struct{}, 1),
	}
	g.checks = &crashChecks{
		backends: config.Backends, onCrash: g.recordCrash, onResult: config.OnCheck,
		open: make(map[ident.Incarnation]*crashCheck), ended: make(map[ident.Incarnation]time.Time),
	}
	return g
}

// Counts returns the number of requests that are held, and of all that are known.
func (g *Guard) Counts() (quarantined, suspects int) { return g.ledger.Counts() }

// Judge returns why a request may not be sent, nil if it may. A router that lately had an answer
// to the request vouches for it.
func (g *Guard) Judge(now time.Time, request *quarantine.Subject) *quarantine.Verdict {
	if g.ledger.Empty() {
		return nil
	}
	if at, found := g.successes.Last(now, &request.Identity); found {
		g.recordSuccess(at, request)
	}
	return g.ledger.Check(now, request.Fingerprint())
}

// Answered takes in a whole success.
func (g *Guard) Answered(now time.Time, request *quarantine.Subject) {
	g.successes.Add(now, &request.Identity)
	if !g.ledger.Empty() {
		g.recordSuccess(now, request)
	}
}

// recordSuccess takes in that a request was answered at a time.
func (g *Guard) recordSuccess(at time.Time, request *quarantine.Subject) {
	changed, released := g.ledger.RecordSuccess(at, request.Fingerprint())
	if changed {
		g.announce(request.Fingerprint())
	}
	if released {
		log.WithFields(log.Fields{"fingerprint": request.Fingerprint().String(), "cause": "answered"}).Info("quarantine_ended")
		g.scheduleWrite(request.Fingerprint())
	}
}

// Broke takes in an attempt that broke off.
func (g *Guard) Broke(now time.Time, request *quarantine.Subject, target Place) {
	if _, succeeded := g.successes.Last(now, &request.Identity); succeeded {
		return
	}
	g.checks.observeBroken(now, target, request.Fingerprint())
}

// Left takes in an attempt that was given up by this side and may be at work there still.
func (g *Guard) Left(now time.Time, request *quarantine.Subject, target Place) {
	if _, succeeded := g.successes.Last(now, &request.Identity); succeeded {
		return
	}
	g.abandoned.add(abandonedAttempt{incarnation: target.Life, request: request.Fingerprint(), at: now})
}

// Unreached takes in that a back end took no connection. Where requests were given up shortly
// before, and no other attempt was open that could break off, this is what shows that the back end
// crashed.
func (g *Guard) Unreached(now time.Time, target Place) {
	if g.abandoned.has(target.Life, now) {
		g.checks.observeBroken(now, target)
	}
}

// crashed takes in that a life of a back end crashed at a time on which requests ran. Those that
// were given up there may have run as well.
func (g *Guard) recordCrash(at time.Time, incarnation ident.Incarnation, requests []quarantine.Fingerprint) {
	requests = append(requests, g.abandoned.take(incarnation, at)...)
	log.WithFields(log.Fields{"instance": incarnation, "requests": len(requests)}).Warn("backend_crashed")
	g.recordEvidence(at, incarnation, requests)
}

// book takes in evidence against requests, and tells the other routers.
func (g *Guard) recordEvidence(at time.Time, incarnation ident.Incarnation, requests []quarantine.Fingerprint) {
	quarantined := g.ledger.RecordCrash(at, incarnation, requests)
	g.announce(requests...)
	g.logQuarantined(clock.Now(), quarantined)
	g.scheduleWrite(slices.DeleteFunc(slices.Clone(requests), func(request quarantine.Fingerprint) bool {
		return g.ledger.ToStore(request) == 0
	})...)
}

// logQuarantined logs which requests are held from now on, with the evidence.
func (g *Guard) logQuarantined(now time.Time, quarantined []quarantine.Fingerprint) {
	for _, request := range quarantined {
		decision := g.ledger.Check(now, request)
		if decision == nil {
			continue
		}
		var instances []string
		var ages []int64
		for _, crash := range decision.Crashes {
			instances = append(instances, string(crash.Life))
			ages = append(ages, now.Sub(crash.At).Milliseconds())
		}
		log.WithFields(log.Fields{"fingerprint": request.String(), "instances": instances, "ages_ms": ages}).Warn("quarantine_began")
	}
}

// Run checks back ends, tells news and keeps the rows until ctx ends. What breaks off before it
// runs is not taken in.
func (g *Guard) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { g.checks.run(ctx) })
	loops.Go(func() { g.maintainRows(ctx) })
	wait.Every(ctx, updateInterval, func() {
		g.repeatUpdates()
		g.ledger.Forget(clock.Now())
	})
	loops.Wait()
}

// Try asks for the grant of a trial that is due, and waits for it for a short time.
func (g *Guard) Try(ctx context.Context, request *quarantine.Subject) bool {
	result, trials := g.rows.acquireTrial(ctx, request.Fingerprint())
	g.config.OnTrial(string(result))
	if result != trialGranted {
		return false
	}
	log.WithFields(log.Fields{"fingerprint": request.Fingerprint().String(), "trials": trials}).Info("quarantine_trial")
	g.announce(request.Fingerprint())
	return true
}
