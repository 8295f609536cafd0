package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// crashesToQuarantine is the number of incarnations that must have crashed while they ran a
	// request before it is quarantined. Fewer would quarantine harmless requests where engines
	// crash for other reasons.
	crashesToQuarantine = 3
	// crashesToStore is the number from which on the evidence is stored: the router that
	// observes the next crash may have no time to store it.
	crashesToStore = crashesToQuarantine - 1
	// SuccessTTL is the time after a success during which crashes are no evidence: a request
	// that was just answered does not crash each back end that runs it.
	SuccessTTL = 10 * time.Second
	// propagationTime is the time after which all routers have a quarantine; later crashes
	// count as trials.
	propagationTime = 3 * time.Second
	// suspectTTL is how long evidence is kept that does not suffice.
	suspectTTL = 10 * time.Minute
	// maxSuspects bounds the number of suspects.
	maxSuspects = 2048
	// maxCrashes is the number of the newest crashes kept for each suspect.
	maxCrashes = 6
)

// Crash is the crash of an incarnation that ran a request.
type Crash struct {
	Incarnation ident.Incarnation
	At          time.Time
}

// suspect is the evidence on one request.
type suspect struct {
	crashes []Crash
	// clearedAt is the time of the last success or release, zero if none.
	clearedAt time.Time
	// trials counts those granted in quarantine, the last one at trialAt.
	trials  int
	trialAt time.Time
	// reported is true once the caller got the request as quarantined.
	reported bool
}

// countedCrashes returns the crashes after the last success and its SuccessTTL, in order of
// time.
func (s *suspect) countedCrashes() []Crash {
	if s.clearedAt.IsZero() {
		return s.crashes
	}
	until := s.clearedAt.Add(SuccessTTL)
	first := slices.IndexFunc(s.crashes, func(crash Crash) bool { return crash.At.After(until) })
	if first < 0 {
		return nil
	}
	return s.crashes[first:]
}

func (s *suspect) quarantined() bool { return len(s.countedCrashes()) >= crashesToQuarantine }

// toStore returns the number of crashes to store. More than a quarantine needs add nothing.
func (s *suspect) toStore() int {
	count := len(s.countedCrashes())
	if count < crashesToStore {
		return 0
	}
	return min(count, crashesToQuarantine)
}

// add adds a crash. Of two reports on one incarnation the earlier one counts.
func (s *suspect) add(crash Crash) {
	index := slices.IndexFunc(s.crashes, func(known Crash) bool { return known.Incarnation == crash.Incarnation })
	switch {
	case index < 0:
		s.crashes = append(s.crashes, crash)
	case crash.At.Before(s.crashes[index].At):
		s.crashes[index].At = crash.At
	default:
		return
	}
	slices.SortFunc(s.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[len(s.crashes)-maxCrashes:]
	}
}

// clear records a success. Earlier trials count no more.
func (s *suspect) clear(at time.Time) {
	if !at.After(s.clearedAt) {
		return
	}
	s.clearedAt = at
	if !s.trialAt.After(at) {
		s.trials, s.trialAt = 0, time.Time{}
	}
	s.reported = s.reported && s.quarantined()
}

// recordTrials sets the number of trials granted, the last one at a time.
func (s *suspect) recordTrials(trials int, at time.Time) {
	if trials > s.trials && at.After(s.clearedAt) {
		s.trials, s.trialAt = trials, at
	}
}

// changedAt returns the time of the newest evidence.
func (s *suspect) changedAt() time.Time {
	newest := s.clearedAt
	for _, crash := range s.crashes {
		if crash.At.After(newest) {
			newest = crash.At
		}
	}
	return newest
}

// Ledger has the evidence for and against requests. Evidence of several routers merges to the
// same state in any order. It is a state machine without I/O or clock, and safe for concurrent
// use.
type Ledger struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{suspects: make(map[Fingerprint]*suspect)} }

// Empty reports whether there are no suspects, so that no fingerprint needs to be computed.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects) == 0
}

// RecordCrash records the crash of an incarnation that ran requests, and returns those that are
// quarantined from now on.
func (l *Ledger) RecordCrash(at time.Time, incarnation ident.Incarnation, requests []Fingerprint) (quarantined []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range requests {
		l.suspectOf(at, request).add(Crash{Incarnation: incarnation, At: at})
		quarantined = l.reportOnce(request, quarantined)
	}
	return quarantined
}

// RecordSuccess records a success and reports whether it changed the evidence, and whether it
// released the request.
func (l *Ledger) RecordSuccess(at time.Time, request Fingerprint) (changed, released bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[request]
	if known == nil {
		return false, false
	}
	before := len(known.countedCrashes())
	released = known.quarantined()
	known.clear(at)
	return len(known.countedCrashes()) < before, released && !known.quarantined()
}

// Release ends a quarantine by order of an operator. Later crashes count.
func (l *Ledger) Release(now time.Time, request Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.suspects[request]; known != nil {
		known.clear(now.Add(-SuccessTTL))
	}
}

// RecordTrials sets the number of trials granted for a quarantined request, the last one at a
// time.
func (l *Ledger) RecordTrials(request Fingerprint, trials int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.suspects[request]; known != nil {
		known.recordTrials(trials, at)
	}
}

// ToStore returns the number of crashes to store as evidence on a request, 0 if none.
func (l *Ledger) ToStore(request Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[request]
	if known == nil {
		return 0
	}
	return known.toStore()
}

// AllToStore returns the requests for which ToStore is above 0.
func (l *Ledger) AllToStore() []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Fingerprint
	for request, known := range l.suspects {
		if known.toStore() > 0 {
			all = append(all, request)
		}
	}
	return all
}

// Counts returns the number of quarantined requests and of all suspects.
func (l *Ledger) Counts() (quarantined, suspects int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.suspects {
		if known.quarantined() {
			quarantined++
		}
	}
	return quarantined, len(l.suspects)
}

// reportOnce appends a newly quarantined request; the mutex is held.
func (l *Ledger) reportOnce(request Fingerprint, quarantined []Fingerprint) []Fingerprint {
	known := l.suspects[request]
	if known == nil || known.reported || !known.quarantined() {
		return quarantined
	}
	known.reported = true
	return append(quarantined, request)
}

// suspectOf returns the suspect of a request, created if there is none; the mutex is held.
func (l *Ledger) suspectOf(now time.Time, request Fingerprint) *suspect {
	if known := l.suspects[request]; known != nil {
		return known
	}
	if len(l.suspects) >= maxSuspects {
		l.evict(now)
	}
	made := &suspect{}
	l.suspects[request] = made
	return made
}

// evict drops old suspects or, if there are none, the one with the least evidence.
func (l *Ledger) evict(now time.Time) {
	l.expire(now)
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
	if order := cmp.Compare(len(a.countedCrashes()), len(b.countedCrashes())); order != 0 {
		return order < 0
	}
	return a.changedAt().Before(b.changedAt())
}

// Expire drops suspects that are not quarantined and without recent evidence.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Ledger) expire(now time.Time) {
	for request, known := range l.suspects {
		if !known.quarantined() && now.Sub(known.changedAt()) > suspectTTL {
			delete(l.suspects, request)
		}
	}
}
