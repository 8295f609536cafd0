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
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// newsInterval is the time between two tellings of the same news, newsTimes how often it
	// is told: with three datagrams in ten lost, one router in 120 misses it, and has it by
	// the next pull if the request is held.
	newsInterval = 250 * time.Millisecond
	newsTimes    = 4
	// newsParts bounds the requests told in one datagram, which takes 251 bytes for each at
	// most, newsMost the requests told at once.
	newsParts = 10
	newsMost  = 200
	// keepInterval is the time between two looks at which rows are to be written, relistInterval
	// between two reads of the rows while a request is held, quietRelistInterval else.
	keepInterval        = 2 * time.Second
	relistInterval      = 5 * time.Second
	quietRelistInterval = 10 * time.Minute
	// reloadAfter is how long nothing may have been confirmed here before the rows are read
	// once more: three reads of the configuration that failed, or were not made.
	reloadAfter = 2400 * time.Millisecond
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

// Judge returns why a request may not be sent, nil if it may. A router that lately had an answer to the request
// vouches for it.
func (g *Guard) Judge(now time.Time, request *quarantine.Subject) *quarantine.Verdict {
	if g.ledger.Empty() {
		return nil
	}
	if at, found := g.successes.Last(now, &request.Identity); found {
		g.answered(at, request)
	}
	return g.ledger.Judge(now, request.Fingerprint())
}

// Answered takes in a whole success.
func (g *Guard) Answered(now time.Time, request *quarantine.Subject) {
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

// Broke takes in an attempt that broke off.
func (g *Guard) Broke(now time.Time, request *quarantine.Subject, at Place) {
	if _, vouched := g.successes.Last(now, &request.Identity); vouched {
		return
	}
	g.checks.broke(now, at, request.Fingerprint())
}

// Left takes in an attempt that was given up by this side and may be at work there still.
func (g *Guard) Left(now time.Time, request *quarantine.Subject, at Place) {
	if _, vouched := g.successes.Last(now, &request.Identity); vouched {
		return
	}
	g.left.add(leftAttempt{life: at.Life, request: request.Fingerprint(), at: now})
}

// Unreached takes in that a back end took no connection. Where requests were given up shortly before, and no
// other attempt was open that could break off, this is what shows that the back end crashed.
func (g *Guard) Unreached(now time.Time, at Place) {
	if g.left.has(at.Life, now) {
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

// Take takes in what another router told as of a time, and returns what that one lacks.
func (g *Guard) Take(at time.Time, told []quarantine.Told) (lacks []quarantine.Told) {
	if g == nil || len(told) == 0 {
		return nil
	}
	held, more := g.ledger.Take(at, told)
	g.crashedElsewhere(at, told)
	g.logHeld(at, held)
	g.keepTold(told)
	for _, request := range more[:min(len(more), newsParts)] {
		if known, found := g.ledger.Tell(at, request); found {
			lacks = append(lacks, known)
		}
	}
	return lacks
}

// keepTold has the rows brought up to date at once of requests of which another router told, by
// the router that keeps the rows and by those that just told of evidence themselves: none of them
// may have known all of it before, and all may end at the next moment.
func (g *Guard) keepTold(told []quarantine.Told) {
	keeps := g.config.Keeps()
	for _, one := range told {
		if g.rows.lacks(one.Request) && (keeps || g.telling(one.Request)) {
			g.keep(one.Request)
		}
	}
}

// telling reports whether news of a request are still to be told by this router.
func (g *Guard) telling(request quarantine.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.news[request] > 0
}

// crashedElsewhere books crashes of which another router told as of a time on the requests that
// were given up here at the same lives.
func (g *Guard) crashedElsewhere(at time.Time, told []quarantine.Told) {
	for _, one := range told {
		for _, crash := range one.Crashes {
			if crash.Age > leftFor {
				continue
			}
			crashedAt := at.Add(-crash.Age)
			if requests := g.left.take(crash.Life, crashedAt); len(requests) > 0 {
				g.book(crashedAt, crash.Life, requests)
			}
		}
	}
}

// Digest names what is known of requests that are held.
func (g *Guard) Digest() uint64 {
	if g == nil {
		return 0
	}
	return g.ledger.Digest()
}

// ToldSince returns what a peer is told that knows something of requests that are held.
func (g *Guard) ToldSince(now time.Time, digest uint64) []quarantine.Told {
	if g.ledger.Digest() == digest {
		return nil
	}
	told := g.ledger.TellHeld(now)
	return told[:min(len(told), newsMost)]
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
			instances = append(instances, string(crash.Life))
			ages = append(ages, now.Sub(crash.At).Milliseconds())
		}
		log.WithFields(log.Fields{"fingerprint": request.String(), "instances": instances, "ages_ms": ages}).Warn("quarantine_began")
	}
}

// tell tells all other routers what is known of requests, and again some times.
func (g *Guard) tell(requests ...quarantine.Fingerprint) {
	g.mu.Lock()
	for _, request := range requests {
		if len(g.news) < newsMost {
			g.news[request] = newsTimes - 1
		}
	}
	g.mu.Unlock()
	g.sendNews(requests)
}

// sendNews sends what is known of requests.
func (g *Guard) sendNews(requests []quarantine.Fingerprint) {
	now := clock.Now()
	var part []quarantine.Told
	for _, request := range requests[:min(len(requests), newsMost)] {
		if told, known := g.ledger.Tell(now, request); known {
			part = append(part, told)
		}
		if len(part) == newsParts {
			g.config.Send(part)
			part = nil
		}
	}
	if len(part) > 0 {
		g.config.Send(part)
	}
}

// tellAgain tells the news once more that were not told often enough.
func (g *Guard) tellAgain() {
	g.mu.Lock()
	var due []quarantine.Fingerprint
	for request, times := range g.news {
		due = append(due, request)
		if times <= 1 {
			delete(g.news, request)
			continue
		}
		g.news[request] = times - 1
	}
	g.mu.Unlock()
	g.sendNews(due)
}

// keep has the rows of requests brought up to date by this router.
func (g *Guard) keep(requests ...quarantine.Fingerprint) {
	if len(requests) == 0 {
		return
	}
	g.note(requests)
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// note notes that the rows of requests are to be brought up to date at the next look.
func (g *Guard) note(requests []quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, request := range requests {
		g.unkept[request] = struct{}{}
	}
}

// Run tells news and keeps the rows until ctx ends.
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

// keepRows keeps the rows up to date until ctx ends.
func (g *Guard) keepRows(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-time.After(keepInterval):
		}
		if g.config.Keeps() {
			if g.rows.relistDue(clock.Now()) {
				g.relist(ctx)
			}
			// Without waking: a store that is down is asked again at the next look.
			g.note(g.rows.outdated())
		}
		g.writeRows(ctx)
	}
}

// relist reads the rows again: an operator ends a quarantine by removing its row.
func (g *Guard) relist(ctx context.Context) {
	lifted, held, err := g.rows.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("quarantine_rows_not_read")
		return
	}
	now := clock.Now()
	g.logHeld(now, held)
	for _, request := range lifted {
		ended := g.ledger.Judge(now, request) != nil
		g.ledger.Lift(now, request)
		if !ended {
			continue
		}
		log.WithFields(log.Fields{"fingerprint": request.String(), "cause": "row removed"}).Info("quarantine_ended")
	}
	g.tell(lifted...)
}

// Load reads the rows before this router serves, unless that was done, and again when nothing
// was confirmed here for a while. Without the rows a router that starts alone, or one that
// reads the store itself and was cut off or suspended while others learnt of a request, would
// send it to three back ends once more.
func (g *Guard) Load(ctx context.Context, unconfirmedFor time.Duration) {
	if g == nil || (g.rows.loaded() && unconfirmedFor < reloadAfter) {
		return
	}
	_, held, err := g.rows.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("quarantine_rows_not_read")
		return
	}
	g.logHeld(clock.Now(), held)
}

// writeRows brings the rows up to date that this router has to; what fails is tried again.
func (g *Guard) writeRows(ctx context.Context) {
	g.mu.Lock()
	due := make([]quarantine.Fingerprint, 0, len(g.unkept))
	for request := range g.unkept {
		due = append(due, request)
	}
	g.mu.Unlock()
	for _, request := range due {
		err := g.rows.update(ctx, request)
		if err != nil {
			log.WithFields(log.Fields{"fingerprint": request.String(), "cause": err.Error()}).Warn("quarantine_not_kept")
		}
		if errors.Is(err, errRowChanged) {
			continue
		}
		if err != nil {
			return
		}
		g.mu.Lock()
		delete(g.unkept, request)
		g.mu.Unlock()
	}
}

// Try asks for the grant of a trial that is due, and waits for it for a short time.
func (g *Guard) Try(ctx context.Context, request *quarantine.Subject) bool {
	result, trials := g.rows.claimTrial(ctx, request.Fingerprint())
	g.config.OnTrial(string(result))
	if result != trialGranted {
		return false
	}
	log.WithFields(log.Fields{"fingerprint": request.Fingerprint().String(), "trials": trials}).Info("quarantine_trial")
	g.tell(request.Fingerprint())
	return true
}
