package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/rollout"
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

// quarantines keeps requests from back ends under which these crash, together with the other
// routers. It is safe for concurrent use.
type quarantines struct {
	ledger    *quarantine.Ledger
	successes *quarantine.Successes
	checks    *crashChecks
	// left are the attempts that were given up: others may have seen that a life crashed.
	left *leftAttempts
	rows *quarantineRows
	// send sends news to all other routers.
	send func([]quarantine.Told)
	// keeps reports whether this router writes and reads the rows for all.
	keeps func() bool
	// trial is told what came of asking for a trial: granted, denied or failed.
	trial func(result string)

	mu sync.Mutex
	// news are the requests that are still to be told, and how often.
	news map[quarantine.Fingerprint]int
	// unkept are the requests whose rows this router has to bring up to date.
	unkept map[quarantine.Fingerprint]struct{}
	// wake ends the pause before the rows are written.
	wake chan struct{}
}

var _ forward.Quarantine = (*quarantines)(nil)

func newQuarantines(engines rollout.Engines, backends *backend.Registry, rows *quarantineRows, counters *metrics) *quarantines {
	q := &quarantines{
		ledger: quarantine.NewLedger(), successes: quarantine.NewSuccesses(), left: &leftAttempts{}, rows: rows,
		send: func([]quarantine.Told) {}, keeps: func() bool { return false },
		trial: func(result string) { counters.trials.WithLabelValues(result).Inc() },
		news:  make(map[quarantine.Fingerprint]int), unkept: make(map[quarantine.Fingerprint]struct{}),
		wake: make(chan struct{}, 1),
	}
	q.checks = &crashChecks{
		engines: engines, backends: backends, crashed: q.crashed,
		result: func(result string) { counters.crashChecks.WithLabelValues(result).Inc() },
		open:   make(map[ident.Incarnation]*crashCheck), ended: make(map[ident.Incarnation]time.Time),
	}
	rows.ledger = q.ledger
	return q
}

// Judge implements forward.Quarantine. A router that lately had an answer to the request
// vouches for it.
func (q *quarantines) Judge(now time.Time, request *quarantine.Subject) *quarantine.Verdict {
	if q.ledger.Empty() {
		return nil
	}
	if at, found := q.successes.Last(now, &request.Identity); found {
		q.answered(at, request)
	}
	return q.ledger.Judge(now, request.Fingerprint())
}

// Answered implements forward.Quarantine.
func (q *quarantines) Answered(now time.Time, request *quarantine.Subject) {
	q.successes.Add(now, &request.Identity)
	if !q.ledger.Empty() {
		q.answered(now, request)
	}
}

// answered takes in that a request was answered at a time.
func (q *quarantines) answered(at time.Time, request *quarantine.Subject) {
	news, released := q.ledger.Answered(at, request.Fingerprint())
	if news {
		q.tell(request.Fingerprint())
	}
	if released {
		log.WithFields(log.Fields{"fingerprint": request.Fingerprint().String(), "cause": "answered"}).Info("quarantine_ended")
		q.keep(request.Fingerprint())
	}
}

// Broke implements forward.Quarantine.
func (q *quarantines) Broke(now time.Time, request *quarantine.Subject, at backend.Record) {
	if _, vouched := q.successes.Last(now, &request.Identity); vouched {
		return
	}
	q.checks.broke(now, at, request.Fingerprint())
}

// Left implements forward.Quarantine.
func (q *quarantines) Left(now time.Time, request *quarantine.Subject, at backend.Record) {
	if _, vouched := q.successes.Last(now, &request.Identity); vouched {
		return
	}
	q.left.add(leftAttempt{life: at.Instance, request: request.Fingerprint(), at: now})
}

// Unreached implements forward.Quarantine. Where requests were given up shortly before, and no
// other attempt was open that could break off, this is what shows that the back end crashed.
func (q *quarantines) Unreached(now time.Time, at backend.Record) {
	if q.left.has(at.Instance, now) {
		q.checks.broke(now, at)
	}
}

// crashed takes in that a life of a back end crashed at a time on which requests ran. Those that
// were given up there may have run as well.
func (q *quarantines) crashed(at time.Time, life ident.Incarnation, requests []quarantine.Fingerprint) {
	requests = append(requests, q.left.take(life, at)...)
	log.WithFields(log.Fields{"instance": life, "requests": len(requests)}).Warn("backend_crashed")
	q.book(at, life, requests)
}

// book takes in evidence against requests, and tells the other routers.
func (q *quarantines) book(at time.Time, life ident.Incarnation, requests []quarantine.Fingerprint) {
	held := q.ledger.Crashed(at, life, requests)
	q.tell(requests...)
	q.logHeld(clock.Now(), held)
	q.keep(slices.DeleteFunc(slices.Clone(requests), func(request quarantine.Fingerprint) bool {
		return q.ledger.ToKeep(request) == 0
	})...)
}

// take takes in what another router told as of a time, and returns what that one lacks. The
// router that keeps the rows writes what is held at once: who completed the evidence may not
// know, or may not be there any more.
func (q *quarantines) take(at time.Time, told []quarantine.Told) (lacks []quarantine.Told) {
	if q == nil || len(told) == 0 {
		return nil
	}
	held, more := q.ledger.Take(at, told)
	q.crashedElsewhere(at, told)
	q.logHeld(at, held)
	if q.keeps() {
		q.keep(held...)
	}
	for _, request := range more[:min(len(more), newsParts)] {
		if known, found := q.ledger.Tell(at, request); found {
			lacks = append(lacks, known)
		}
	}
	return lacks
}

// crashedElsewhere books crashes of which another router told as of a time on the requests that
// were given up here at the same lives.
func (q *quarantines) crashedElsewhere(at time.Time, told []quarantine.Told) {
	for _, one := range told {
		for _, crash := range one.Crashes {
			if crash.Age > leftFor {
				continue
			}
			crashedAt := at.Add(-crash.Age)
			if requests := q.left.take(crash.Life, crashedAt); len(requests) > 0 {
				q.book(crashedAt, crash.Life, requests)
			}
		}
	}
}

// digest names what is known of requests that are held.
func (q *quarantines) digest() uint64 {
	if q == nil {
		return 0
	}
	return q.ledger.Digest()
}

// toldSince returns what a peer is told that knows something of requests that are held.
func (q *quarantines) toldSince(now time.Time, digest uint64) []quarantine.Told {
	if q.ledger.Digest() == digest {
		return nil
	}
	told := q.ledger.TellHeld(now)
	return told[:min(len(told), newsMost)]
}

// logHeld logs which requests are held from now on, with the evidence.
func (q *quarantines) logHeld(now time.Time, held []quarantine.Fingerprint) {
	for _, request := range held {
		verdict := q.ledger.Judge(now, request)
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
func (q *quarantines) tell(requests ...quarantine.Fingerprint) {
	q.mu.Lock()
	for _, request := range requests {
		if len(q.news) < newsMost {
			q.news[request] = newsTimes - 1
		}
	}
	q.mu.Unlock()
	q.sendNews(requests)
}

// sendNews sends what is known of requests.
func (q *quarantines) sendNews(requests []quarantine.Fingerprint) {
	now := clock.Now()
	var part []quarantine.Told
	for _, request := range requests[:min(len(requests), newsMost)] {
		if told, known := q.ledger.Tell(now, request); known {
			part = append(part, told)
		}
		if len(part) == newsParts {
			q.send(part)
			part = nil
		}
	}
	if len(part) > 0 {
		q.send(part)
	}
}

// tellAgain tells the news once more that were not told often enough.
func (q *quarantines) tellAgain() {
	q.mu.Lock()
	var due []quarantine.Fingerprint
	for request, times := range q.news {
		due = append(due, request)
		if times <= 1 {
			delete(q.news, request)
			continue
		}
		q.news[request] = times - 1
	}
	q.mu.Unlock()
	q.sendNews(due)
}

// keep has the rows of requests brought up to date by this router.
func (q *quarantines) keep(requests ...quarantine.Fingerprint) {
	if len(requests) == 0 {
		return
	}
	q.note(requests)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// note notes that the rows of requests are to be brought up to date at the next look.
func (q *quarantines) note(requests []quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, request := range requests {
		q.unkept[request] = struct{}{}
	}
}

// run tells news and keeps the rows until ctx ends.
func (q *quarantines) run(ctx context.Context) {
	go q.keepRows(ctx)
	wait.Every(ctx, newsInterval, func() {
		q.tellAgain()
		q.ledger.Forget(clock.Now())
	})
}

// keepRows keeps the rows up to date until ctx ends.
func (q *quarantines) keepRows(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-time.After(keepInterval):
		}
		if q.keeps() {
			if q.rows.relistDue(clock.Now()) {
				q.relist(ctx)
			}
			// Without waking: a store that is down is asked again at the next look.
			q.note(q.rows.outdated())
		}
		q.writeRows(ctx)
	}
}

// relist reads the rows again: an operator ends a quarantine by removing its row.
func (q *quarantines) relist(ctx context.Context) {
	lifted, held, err := q.rows.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("quarantine_rows_not_read")
		return
	}
	now := clock.Now()
	q.logHeld(now, held)
	for _, request := range lifted {
		ended := q.ledger.Judge(now, request) != nil
		q.ledger.Lift(now, request)
		if !ended {
			continue
		}
		log.WithFields(log.Fields{"fingerprint": request.String(), "cause": "row removed"}).Info("quarantine_ended")
	}
	q.tell(lifted...)
}

// load reads the rows before this router serves, unless that was done, and again when nothing
// was confirmed here for a while. Without the rows a router that starts alone, or one that
// reads the store itself and was cut off or suspended while others learnt of a request, would
// send it to three back ends once more.
func (q *quarantines) load(ctx context.Context, unconfirmedFor time.Duration) {
	if q == nil || (q.rows.loaded() && unconfirmedFor < reloadAfter) {
		return
	}
	_, held, err := q.rows.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("quarantine_rows_not_read")
		return
	}
	q.logHeld(clock.Now(), held)
}

// writeRows brings the rows up to date that this router has to; what fails is tried again.
func (q *quarantines) writeRows(ctx context.Context) {
	q.mu.Lock()
	due := make([]quarantine.Fingerprint, 0, len(q.unkept))
	for request := range q.unkept {
		due = append(due, request)
	}
	q.mu.Unlock()
	for _, request := range due {
		if err := q.rows.update(ctx, request); err != nil {
			log.WithFields(log.Fields{"fingerprint": request.String(), "cause": err.Error()}).Warn("quarantine_not_kept")
			return
		}
		q.mu.Lock()
		delete(q.unkept, request)
		q.mu.Unlock()
	}
}

// Try implements forward.Quarantine.
func (q *quarantines) Try(ctx context.Context, request *quarantine.Subject) bool {
	result, trials := q.rows.claimTrial(ctx, request.Fingerprint())
	q.trial(string(result))
	if result != trialGranted {
		return false
	}
	log.WithFields(log.Fields{"fingerprint": request.Fingerprint().String(), "trials": trials}).Info("quarantine_trial")
	q.tell(request.Fingerprint())
	return true
}
