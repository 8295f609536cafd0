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
	Send func([]quarantine.Evidence)
	// MaintainsRows reports whether this router writes and reads the rows for all. Default: never.
	MaintainsRows func() bool
	// OnTrial is told what came of each question for a trial: granted, denied or failed; OnCheck
	// what came of each check of a back end: crashed, alive or unknown.
	OnTrial, OnCheck func(result string)
}

func (c Config) withDefaults() Config {
	if c.Send == nil {
		c.Send = func([]quarantine.Evidence) {}
	}
	if c.MaintainsRows == nil {
		c.MaintainsRows = func() bool { return false }
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
	// left are the attempts that were given up: others may have seen that a life crashed.
	left *leftAttempts
	rows *rows

	mu sync.Mutex
	// news are the requests that are still to be told, and how often.
	news map[quarantine.Fingerprint]int
	// unkept are the requests whose rows this router has to bring up to date.
	unkept map[quarantine.Fingerprint]struct{}
	// wake ends the pause before the rows are written.
	wake chan struct{}
}

// New returns a guard that does nothing by itself before Run.
func New(config Config) *Guard {
	config = config.withDefaults()
	ledger := quarantine.NewLedger()
	g := &Guard{
		config: config, ledger: ledger, successes: quarantine.NewSuccesses(), left: &leftAttempts{},
		rows: newRows(config.Table, config.Timeout, ledger),
		news: make(map[quarantine.Fingerprint]int), unkept: make(map[quarantine.Fingerprint]struct{}),
		wake: make(chan struct{}, 1),
	}
	g.checks = &crashChecks{
		backends: config.Backends, crashed: g.crashed, result: config.OnCheck,
		open: make(map[ident.Incarnation]*crashCheck), ended: make(map[ident.Incarnation]time.Time),
	}
	return g
}

// Counts returns the number of requests that are held, and of all that are known.
func (g *Guard) Counts() (held, suspects int) { return g.ledger.Counts() }

// Check returns why a request may not be sent, nil if it may. A router that lately had an answer
// to the request vouches for it.
func (g *Guard) Check(now time.Time, request *quarantine.Subject) *quarantine.Decision {
	if g.ledger.Empty() {
		return nil
	}
	if at, found := g.successes.Last(now, &request.Identity); found {
		g.answered(at, request)
	}
	return g.ledger.Judge(now, request.Fingerprint())
}

// ObserveAnswered takes in a whole success.
func (g *Guard) ObserveAnswered(now time.Time, request *quarantine.Subject) {
	g.successes.Add(now, &request.Identity)
	if !g.ledger.Empty() {
		g.answered(now, request)
	}
}

// answered takes in that a request was answered at a time.
func (g *Guard) answered(at time.Time, request *quarantine.Subject) {
	news, released := g.ledger.Answered(at, request.Fingerprint())
	if news {
		g.tell(request.Fingerprint())
	}
	if released {
		log.WithFields(log.Fields{"fingerprint": request.Fingerprint().String(), "cause": "answered"}).Info("quarantine_ended")
		g.keep(request.Fingerprint())
	}
}

// ObserveBroken takes in an attempt that broke off.
func (g *Guard) ObserveBroken(now time.Time, request *quarantine.Subject, at Target) {
	if _, vouched := g.successes.Last(now, &request.Identity); vouched {
		return
	}
	g.checks.broke(now, at, request.Fingerprint())
}

// ObserveAbandoned takes in an attempt that was given up by this side and may be at work there still.
func (g *Guard) ObserveAbandoned(now time.Time, request *quarantine.Subject, at Target) {
	if _, vouched := g.successes.Last(now, &request.Identity); vouched {
		return
	}
	g.left.add(leftAttempt{life: at.Incarnation, request: request.Fingerprint(), at: now})
}

// ObserveUnreachable takes in that a back end took no connection. Where requests were given up shortly
// before, and no other attempt was open that could break off, this is what shows that the back end
// crashed.
func (g *Guard) ObserveUnreachable(now time.Time, at Target) {
	if g.left.has(at.Incarnation, now) {
		g.checks.broke(now, at)
	}
}

// crashed takes in that a life of a back end crashed at a time on which requests ran. Those that
// were given up there may have run as well.
func (g *Guard) crashed(at time.Time, life ident.Incarnation, requests []quarantine.Fingerprint) {
	requests = append(requests, g.left.take(life, at)...)
	log.WithFields(log.Fields{"instance": life, "requests": len(requests)}).Warn("backend_crashed")
	g.book(at, life, requests)
}

// book takes in evidence against requests, and tells the other routers.
func (g *Guard) book(at time.Time, life ident.Incarnation, requests []quarantine.Fingerprint) {
	held := g.ledger.Crashed(at, life, requests)
	g.tell(requests...)
	g.logHeld(clock.Now(), held)
	g.keep(slices.DeleteFunc(slices.Clone(requests), func(request quarantine.Fingerprint) bool {
		return g.ledger.ToKeep(request) == 0
	})...)
}

// logHeld logs which requests are held from now on, with the evidence.
func (g *Guard) logHeld(now time.Time, held []quarantine.Fingerprint) {
	for _, request := range held {
		verdict := g.ledger.Judge(now, request)
		if verdict == nil {
			continue
		}
		var instances []string
		var ages []int64
		for _, crash := range verdict.Crashes {
			instances = append(instances, string(crash.Incarnation))
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
	loops.Go(func() { g.keepRows(ctx) })
	wait.Every(ctx, newsInterval, func() {
		g.tellAgain()
		g.ledger.Forget(clock.Now())
	})
	loops.Wait()
}

// AcquireTrial asks for the grant of a trial that is due, and waits for it for a short time.
func (g *Guard) AcquireTrial(ctx context.Context, request *quarantine.Subject) bool {
	result, trials := g.rows.claimTrial(ctx, request.Fingerprint())
	g.config.OnTrial(string(result))
	if result != trialGranted {
		return false
	}
	log.WithFields(log.Fields{"fingerprint": request.Fingerprint().String(), "trials": trials}).Info("quarantine_trial")
	g.tell(request.Fingerprint())
	return true
}
