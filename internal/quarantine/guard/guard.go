// Package guard keeps requests from back ends that these crash, together with the other
// routers. It runs the goroutines around the evidence of package quarantine: checks of back
// ends, updates to other routers and the stored rows.
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

// Config configures a Guard.
type Config struct {
	// Table stores the rows; Timeout bounds one call.
	Table    store.Table
	Timeout  time.Duration
	Backends Backends
	// Send sends evidence to all other routers. It must not block. Default: none is sent.
	Send func([]quarantine.Evidence)
	// MaintainsRows reports whether this router maintains the rows for all. Default: never.
	MaintainsRows func() bool
	// OnTrial is called with the result of each request for a trial: granted, denied or failed;
	// OnCheck with that of each check of a back end: crashed, alive or unknown.
	OnTrial, OnCheck func(result string)
	// OnPartCleared is called for each part of prompts that a success cleared of crashes.
	OnPartCleared func()
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
	if c.OnPartCleared == nil {
		c.OnPartCleared = func() {}
	}
	return c
}

// Guard keeps requests from back ends that these crash. It is safe for concurrent use. A nil
// Guard has no evidence.
type Guard struct {
	config    Config
	ledger    *quarantine.Ledger
	successes *quarantine.Successes
	// partSuccesses are those of the parts of prompts.
	partSuccesses *quarantine.PartSuccesses
	checks        *crashChecks
	// unproven are answers whose ends may be those of crashes.
	unproven unprovenAnswers
	// abandoned attempts count if another request or router observes the crash.
	abandoned *abandonedAttempts
	rows      *rows

	mu sync.Mutex
	// updates are the requests whose evidence is still to be sent, and how often.
	updates map[quarantine.Fingerprint]int
	// staleRows are the requests whose rows this router has to update.
	staleRows map[quarantine.Fingerprint]struct{}
	// wake ends the pause before the rows are written.
	wake chan struct{}
}

// New returns a guard that is inactive until Run.
func New(config Config) *Guard {
	config = config.withDefaults()
	ledger := quarantine.NewLedger()
	g := &Guard{
		config: config, ledger: ledger, successes: quarantine.NewSuccesses(), partSuccesses: quarantine.NewPartSuccesses(), abandoned: &abandonedAttempts{},
		rows:    newRows(config.Table, config.Timeout, ledger),
		updates: make(map[quarantine.Fingerprint]int), staleRows: make(map[quarantine.Fingerprint]struct{}),
		wake: make(chan struct{}, 1),
	}
	g.checks = &crashChecks{
		backends: config.Backends, onCrash: g.recordCrash, onAlive: g.recordAlive, onResult: config.OnCheck,
		open: make(map[ident.Incarnation]*crashCheck), ended: make(map[ident.Incarnation]time.Time),
	}
	return g
}

// Counts returns the numbers of quarantined requests and parts of prompts, and of all suspects.
func (g *Guard) Counts() quarantine.Counts { return g.ledger.Counts() }

// Check returns why a request may not be sent, nil if it may. A recent success at this router
// clears it.
func (g *Guard) Check(now time.Time, request *quarantine.Subject) *quarantine.Decision {
	if g.ledger.Empty() {
		return nil
	}
	if at, found := g.successes.Last(now, &request.Identity); found {
		g.recordSuccess(at, request.Fingerprint())
	}
	if decision := g.ledger.Check(now, request.Fingerprint()); decision != nil {
		return decision
	}
	return g.ledger.CheckParts(now, request.Parts())
}

// Suspected reports whether a part of the prompt has crashed back ends repeatedly, so that the request must
// not be sent again after it was lost with a back end.
func (g *Guard) Suspected(request *quarantine.Subject) bool {
	return !g.ledger.Empty() && g.ledger.Suspected(request.Parts())
}

// ObserveAnswered records a complete success.
func (g *Guard) ObserveAnswered(now time.Time, request *quarantine.Subject) {
	g.successes.Add(now, &request.Identity)
	g.partSuccesses.Add(now, request)
	if !g.ledger.Empty() {
		g.recordSuccesses(now, request.Fingerprint(), request.Parts())
	}
}

// ObserveProgress records that an answer has been arriving for PartProgress or longer, which clears the
// parts of the prompt, but not the request.
func (g *Guard) ObserveProgress(now time.Time, request *quarantine.Subject) {
	g.partSuccesses.Add(now, request)
	if g.ledger.Empty() {
		return
	}
	for _, part := range request.Parts() {
		g.recordSuccess(now, part.Fingerprint)
	}
}

// recordSuccesses records a success of a request with the shared parts of its prompt.
func (g *Guard) recordSuccesses(at time.Time, request quarantine.Fingerprint, parts []quarantine.Part) {
	g.recordSuccess(at, request)
	for _, part := range parts {
		g.recordSuccess(at, part.Fingerprint)
	}
}

func (g *Guard) recordSuccess(at time.Time, request quarantine.Fingerprint) {
	changed, released := g.ledger.RecordSuccess(at, request)
	if changed {
		g.announce(request)
		if request.IsPart() {
			g.config.OnPartCleared()
		}
	}
	if released {
		log.WithFields(log.Fields{"fingerprint": request.String(), "cause": "answered"}).Info("quarantine_ended")
		g.scheduleWrite(request)
	}
}

// ObserveBroken records an attempt that broke off.
func (g *Guard) ObserveBroken(now time.Time, request *quarantine.Subject, target Target) {
	if suspects := g.suspectsOf(now, request, target.Arriving); len(suspects) > 0 {
		g.checks.observeBroken(now, target, suspects...)
	}
}

// ObserveAbandoned records an attempt that this router gave up and that the back end may still run.
func (g *Guard) ObserveAbandoned(now time.Time, request *quarantine.Subject, target Target) {
	for _, suspect := range g.suspectsOf(now, request, 0) {
		g.abandoned.add(abandonedAttempt{incarnation: target.Incarnation, request: suspect, at: now})
	}
}

// suspectsOf returns the fingerprints of a request and of the parts of its prompt, without those that have
// just succeeded.
func (g *Guard) suspectsOf(now time.Time, request *quarantine.Subject, arriving time.Duration) []quarantine.Fingerprint {
	var suspects []quarantine.Fingerprint
	if _, succeeded := g.successes.Last(now, &request.Identity); !succeeded {
		suspects = append(suspects, request.Fingerprint())
	}
	if arriving >= quarantine.PartProgress {
		return suspects
	}
	return append(suspects, g.suspectParts(now, request.Parts())...)
}

// suspectParts returns the fingerprints of the parts of a prompt that have not just succeeded.
func (g *Guard) suspectParts(now time.Time, parts []quarantine.Part) []quarantine.Fingerprint {
	var suspects []quarantine.Fingerprint
	for _, part := range parts {
		if _, succeeded := g.partSuccesses.Last(now, part.Fingerprint); !succeeded {
			suspects = append(suspects, part.Fingerprint)
		}
	}
	return suspects
}

// ObserveUnreachable records that a back end accepted no connection, or is another incarnation. After
// abandoned requests this may be the only sign of a crash.
func (g *Guard) ObserveUnreachable(now time.Time, target Target) {
	if g.abandoned.has(target.Incarnation, now) {
		g.checks.observeBroken(now, target)
	}
}

// recordCrash records the crash of an incarnation that ran requests; those abandoned there are
// added.
func (g *Guard) recordCrash(at time.Time, incarnation ident.Incarnation, requests []quarantine.Fingerprint) {
	requests = append(requests, g.abandoned.take(incarnation, at)...)
	log.WithFields(log.Fields{"instance": incarnation, "requests": len(requests)}).Warn("backend_crashed")
	g.recordEvidence(at, incarnation, requests)
}

// recordEvidence adds a crash as evidence on requests and sends it to the other routers.
func (g *Guard) recordEvidence(at time.Time, incarnation ident.Incarnation, requests []quarantine.Fingerprint) {
	quarantined := g.ledger.RecordCrash(at, incarnation, requests)
	g.announce(requests...)
	g.logQuarantined(clock.Now(), quarantined)
	g.scheduleWrite(slices.DeleteFunc(slices.Clone(requests), func(request quarantine.Fingerprint) bool {
		return g.ledger.ToStore(request) == 0
	})...)
}

func (g *Guard) logQuarantined(now time.Time, quarantined []quarantine.Fingerprint) {
	for _, request := range quarantined {
		decision := g.ledger.Check(now, request)
		if decision == nil {
			continue
		}
		var instances []string
		var ages []int64
		for _, crash := range decision.Crashes {
			instances = append(instances, string(crash.Incarnation))
			ages = append(ages, now.Sub(crash.At).Milliseconds())
		}
		log.WithFields(log.Fields{"fingerprint": request.String(), "instances": instances, "ages_ms": ages}).Warn("quarantine_began")
	}
}

// Run checks back ends, sends updates and maintains the rows until ctx ends. Attempts that
// break off before are not checked.
func (g *Guard) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { g.checks.run(ctx) })
	loops.Go(func() { g.maintainRows(ctx) })
	wait.Every(ctx, updateInterval, func() {
		now := clock.Now()
		g.checkUnproven(now)
		g.clearSucceededParts(now)
		g.resendUpdates()
		g.ledger.Expire(now)
	})
	loops.Wait()
}

// clearSucceededParts clears the parts that recently succeeded at this router, though crashes of others
// count against them.
func (g *Guard) clearSucceededParts(now time.Time) {
	if g.ledger.Empty() {
		return
	}
	for _, part := range g.ledger.CrashedParts() {
		if at, found := g.partSuccesses.Last(now, part); found {
			g.recordSuccess(at, part)
		}
	}
}

// AcquireTrial requests a trial that is due, and waits a short time for it. Each quarantined part of the
// prompt needs one.
func (g *Guard) AcquireTrial(ctx context.Context, decision *quarantine.Decision) bool {
	for _, request := range decision.Quarantined {
		result, trials := g.rows.acquireTrial(ctx, request)
		g.config.OnTrial(string(result))
		if result != trialGranted {
			return false
		}
		log.WithFields(log.Fields{"fingerprint": request.String(), "trials": trials}).Info("quarantine_trial")
		g.announce(request)
	}
	return true
}
