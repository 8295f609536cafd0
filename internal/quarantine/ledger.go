package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// crashesToHold is the number of lives of back ends that must have crashed under a
	// request before it is held. Fewer would hold innocent ones: while 18 engines crashed again
	// and again, 75 of 314 requests of one route broke off within 8 s (record of a deployment),
	// and clients try these again.
	crashesToHold = 3
	// crashesToKeep is the number from which on the evidence is to outlive all routers: one
	// more crash completes it, and whoever saw that may have no time to write it down.
	crashesToKeep = crashesToHold - 1
	// VouchFor is how long after a success crashes are no evidence: a request that was just
	// answered does not crash each back end that runs it. An often asked prompt is answered
	// several times in that span.
	VouchFor = 10 * time.Second
	// learnFor is how long all routers have to learn that a request is held; crashes after
	// that count like trials.
	learnFor = 3 * time.Second
	// suspectFor is how long evidence is kept that did not suffice.
	suspectFor = 10 * time.Minute
	// maxSuspects bounds the requests known; each takes some 500 bytes, by the sizes of its
	// fields.
	maxSuspects = 2048
	// maxCrashes bounds the crashes kept for each, the newest.
	maxCrashes = 6
)

// Crash is the end of a life that a request ran on.
type Crash struct {
	Incarnation ident.Incarnation
	At          time.Time
}

// suspect is what is known of one request.
type suspect struct {
	crashes []Crash
	// clearedAt is when it was last known to be answered, zero if never.
	clearedAt time.Time
	// trials counts those that were granted after it was held, the last one at trialAt.
	trials  int
	trialAt time.Time
	// announced is true once the caller was told that it is held.
	announced bool
}

// counted returns the crashes that no success explains, in order of time.
func (s *suspect) counted() []Crash {
	if s.clearedAt.IsZero() {
		return s.crashes
	}
	until := s.clearedAt.Add(VouchFor)
	first := slices.IndexFunc(s.crashes, func(crash Crash) bool { return crash.At.After(until) })
	if first < 0 {
		return nil
	}
	return s.crashes[first:]
}

func (s *suspect) held() bool { return len(s.counted()) >= crashesToHold }

// toKeep returns for how many crashes the evidence is to be kept. What is beyond a verdict
// changes nothing that must be known.
func (s *suspect) toKeep() int {
	count := len(s.counted())
	if count < crashesToKeep {
		return 0
	}
	return min(count, crashesToHold)
}

// add takes in a crash. A life ends once, when the first router saw it.
func (s *suspect) add(crash Crash) {
	place := slices.IndexFunc(s.crashes, func(known Crash) bool { return known.Incarnation == crash.Incarnation })
	switch {
	case place < 0:
		s.crashes = append(s.crashes, crash)
	case crash.At.Before(s.crashes[place].At):
		s.crashes[place].At = crash.At
	default:
		return
	}
	slices.SortFunc(s.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[len(s.crashes)-maxCrashes:]
	}
}

// clear takes in that the request was answered at a time. Trials from before count no more.
func (s *suspect) clear(at time.Time) {
	if !at.After(s.clearedAt) {
		return
	}
	s.clearedAt = at
	if !s.trialAt.After(at) {
		s.trials, s.trialAt = 0, time.Time{}
	}
	s.announced = s.announced && s.held()
}

// tried takes in the trials that were granted, the last one at a time.
func (s *suspect) tried(trials int, at time.Time) {
	if trials > s.trials && at.After(s.clearedAt) {
		s.trials, s.trialAt = trials, at
	}
}

// changedAt is when the newest thing became known.
func (s *suspect) changedAt() time.Time {
	newest := s.clearedAt
	for _, crash := range s.crashes {
		if crash.At.After(newest) {
			newest = crash.At
		}
	}
	return newest
}

// Ledger holds the evidence against requests, and what speaks for them. What several routers
// know merges to the same state in any order. It is a state machine without I/O or clock,
// and safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
}

// NewLedger returns a ledger that knows no request.
func NewLedger() *Ledger { return &Ledger{suspects: make(map[Fingerprint]*suspect)} }

// Empty reports whether no request is known, so that no fingerprint needs to be made.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects) == 0
}

// Crashed takes in that a life ended at a time that requests ran on, and returns those that
// are held from now on.
func (l *Ledger) Crashed(at time.Time, life ident.Incarnation, requests []Fingerprint) (held []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range requests {
		l.known(at, request).add(Crash{Incarnation: life, At: at})
		held = l.announce(request, held)
	}
	return held
}

// Answered takes in a whole success at a time, and reports whether that is news: there was
// evidence against the request that it wipes. held says that the request was held.
func (l *Ledger) Answered(at time.Time, request Fingerprint) (news, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[request]
	if known == nil {
		return false, false
	}
	before := len(known.counted())
	held = known.held()
	known.clear(at)
	return len(known.counted()) < before, held && !known.held()
}

// Lift takes back a verdict by order of an operator. Crashes from now on count.
func (l *Ledger) Lift(now time.Time, request Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.suspects[request]; known != nil {
		known.clear(now.Add(-VouchFor))
	}
}

// Tried takes in the number of trials of a held request that were granted, the last one at
// a time.
func (l *Ledger) Tried(request Fingerprint, trials int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.suspects[request]; known != nil {
		known.tried(trials, at)
	}
}

// ToKeep returns for how many crashes under a request a place that outlives all routers is to
// have the evidence, 0 if it is to have none.
func (l *Ledger) ToKeep(request Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[request]
	if known == nil {
		return 0
	}
	return known.toKeep()
}

// AllToKeep returns the requests for which ToKeep is above 0.
func (l *Ledger) AllToKeep() []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Fingerprint
	for request, known := range l.suspects {
		if known.toKeep() > 0 {
			all = append(all, request)
		}
	}
	return all
}

// Counts returns the number of requests that are held, and of all that are known.
func (l *Ledger) Counts() (held, suspects int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.suspects {
		if known.held() {
			held++
		}
	}
	return held, len(l.suspects)
}

// announce adds a request to those that are newly held; the caller holds the mutex.
func (l *Ledger) announce(request Fingerprint, held []Fingerprint) []Fingerprint {
	known := l.suspects[request]
	if known == nil || known.announced || !known.held() {
		return held
	}
	known.announced = true
	return append(held, request)
}

// known returns the suspect of a request, making room for it; the caller holds the mutex.
func (l *Ledger) known(now time.Time, request Fingerprint) *suspect {
	if known := l.suspects[request]; known != nil {
		return known
	}
	if len(l.suspects) >= maxSuspects {
		l.makeRoom(now)
	}
	made := &suspect{}
	l.suspects[request] = made
	return made
}

// makeRoom drops what is old or, if nothing is, the request with the least evidence.
func (l *Ledger) makeRoom(now time.Time) {
	l.forget(now)
	if len(l.suspects) < maxSuspects {
		return
	}
	var least Fingerprint
	var found *suspect
	for request, known := range l.suspects {
		if found == nil || weaker(known, found) {
			least, found = request, known
		}
	}
	delete(l.suspects, least)
}

// weaker reports whether there is less evidence against a than against b.
func weaker(a, b *suspect) bool {
	if order := cmp.Compare(len(a.counted()), len(b.counted())); order != 0 {
		return order < 0
	}
	return a.changedAt().Before(b.changedAt())
}

// Forget drops requests that are not held and of which nothing was heard for long.
func (l *Ledger) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
}

func (l *Ledger) forget(now time.Time) {
	for request, known := range l.suspects {
		if !known.held() && now.Sub(known.changedAt()) > suspectFor {
			delete(l.suspects, request)
		}
	}
}
