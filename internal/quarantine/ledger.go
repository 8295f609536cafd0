package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
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
	// maxSuspects bounds the number of suspects; evictionSample is the number of those that are compared
	// to make room for another one.
	maxSuspects    = 2048
	evictionSample = 64
	// maxCrashes is the number of the newest crashes kept for each suspect.
	maxCrashes = 6
)

// Crash is the crash of an incarnation that ran a request.
type Crash struct {
	Incarnation ident.Incarnation
	At          time.Time
}

// suspect is the evidence on one request, or on one part of prompts in one scope.
type suspect struct {
	// successTTL is SuccessTTL, or PartSuccessTTL for a part.
	successTTL time.Duration
	crashes    []Crash
	// clearedAt is the time of the last success or release, zero if none.
	clearedAt time.Time
	// trials counts those granted in quarantine, the last one at trialAt.
	trials  int
	trialAt time.Time
	// reported is true once the caller got the request as quarantined.
	reported bool
	// held is whether a part is quarantined, wasHeld whether it ever was; see updatePart.
	held, wasHeld bool
}

// countedCrashes returns the crashes after the last success and its SuccessTTL, in order of
// time.
func (s *suspect) countedCrashes() []Crash {
	if s.clearedAt.IsZero() {
		return s.crashes
	}
	until := s.clearedAt.Add(s.successTTL)
	first := slices.IndexFunc(s.crashes, func(crash Crash) bool { return crash.At.After(until) })
	if first < 0 {
		return nil
	}
	return s.crashes[first:]
}

// quarantined reports whether a request, or a part in one scope, is quarantined; the mutex is held. A part
// that no crash counts against in a scope is not quarantined there, whatever it did in others.
func (l *Ledger) quarantined(request Fingerprint, known *suspect) bool {
	if !request.IsPart() {
		return len(known.countedCrashes()) >= crashesToQuarantine
	}
	l.groupOf(request)
	return known.held
}

// toStore returns the number of crashes to store; the mutex is held. More than a quarantine needs add
// nothing.
func (l *Ledger) toStore(request Fingerprint, known *suspect) int {
	count := len(known.countedCrashes())
	if request.IsPart() {
		if len(l.groupOf(request).crashes) < partCrashesToQuarantine-1 && !known.held {
			return 0
		}
		return min(count, partCrashesToQuarantine)
	}
	if count < crashesToStore {
		return 0
	}
	return min(count, crashesToQuarantine)
}

// countedPartCrashes returns the number of crashes to store for a part that is to be stored.
func (l *Ledger) countedPartCrashes(part Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[part]
	if known == nil {
		return 0
	}
	return min(len(known.countedCrashes()), partCrashesToQuarantine)
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
	before := len(s.countedCrashes())
	s.clearedAt = at
	if len(s.countedCrashes()) < before {
		s.held = false
	}
	if !s.trialAt.After(at) {
		s.trials, s.trialAt = 0, time.Time{}
	}
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
	// size is the number of suspects.
	size atomic.Int64

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// groups are the suspects that are parts, by part.
	groups map[partKey]*partGroup
	// lives are the incarnations that crashed.
	lives map[ident.Incarnation]time.Time
	// revision counts the changes of evidence.
	revision uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		suspects: make(map[Fingerprint]*suspect), groups: make(map[partKey]*partGroup), lives: make(map[ident.Incarnation]time.Time),
	}
}

// Empty reports whether there are no suspects, so that no fingerprint needs to be computed.
func (l *Ledger) Empty() bool { return l.size.Load() == 0 }

// RecordCrash records the crash of an incarnation that ran requests, and returns those that are
// quarantined from now on.
func (l *Ledger) RecordCrash(at time.Time, incarnation ident.Incarnation, requests []Fingerprint) (quarantined []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	crash := Crash{Incarnation: incarnation, At: at}
	l.recordLife(crash)
	for _, request := range requests {
		l.suspectOf(request).add(crash)
	}
	l.revision++
	for _, request := range requests {
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
	released = l.quarantined(request, known)
	l.clear(at, request, known)
	return len(known.countedCrashes()) < before, released && !l.quarantined(request, known)
}

// clear records a success; the mutex is held.
func (l *Ledger) clear(at time.Time, request Fingerprint, known *suspect) {
	before := len(known.countedCrashes())
	known.clear(at)
	if len(known.countedCrashes()) == before {
		return
	}
	l.revision++
	l.reportOnce(request, nil)
}

// Release ends a quarantine by order of an operator. Later crashes count.
func (l *Ledger) Release(now time.Time, request Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.suspects[request]; known != nil {
		l.clear(now.Add(-known.successTTL), request, known)
	}
}

// RecordTrials sets the number of trials granted for a quarantined request, the last one at a
// time.
func (l *Ledger) RecordTrials(request Fingerprint, trials int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.suspects[request]; known != nil {
		known.recordTrials(trials, at)
		l.revision++
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
	return l.toStore(request, known)
}

// AllToStore returns the requests for which ToStore is above 0.
func (l *Ledger) AllToStore() []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Fingerprint
	for request, known := range l.suspects {
		if l.toStore(request, known) > 0 {
			all = append(all, request)
		}
	}
	return all
}

// Counts are the numbers of suspects.
type Counts struct {
	// Requests and Parts are those that are quarantined, SuspectRequests and SuspectParts all suspects.
	Requests, Parts               int
	SuspectRequests, SuspectParts int
}

// Quarantined reports whether any request or part is quarantined.
func (c Counts) Quarantined() bool { return c.Requests+c.Parts > 0 }

// Counts returns the numbers of suspects.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counts Counts
	for request, known := range l.suspects {
		all, quarantined := &counts.SuspectRequests, &counts.Requests
		if request.IsPart() {
			all, quarantined = &counts.SuspectParts, &counts.Parts
		}
		*all++
		if l.quarantined(request, known) {
			*quarantined++
		}
	}
	return counts
}

// reportOnce appends a newly quarantined request; the mutex is held.
func (l *Ledger) reportOnce(request Fingerprint, quarantined []Fingerprint) []Fingerprint {
	known := l.suspects[request]
	if known == nil || known.reported == l.quarantined(request, known) {
		return quarantined
	}
	known.reported = !known.reported
	if known.reported {
		quarantined = append(quarantined, request)
	}
	return quarantined
}

// suspectOf returns the suspect of a request, created if there is none; the mutex is held.
func (l *Ledger) suspectOf(request Fingerprint) *suspect {
	if known := l.suspects[request]; known != nil {
		return known
	}
	if len(l.suspects) >= maxSuspects {
		l.evict()
	}
	made := &suspect{successTTL: SuccessTTL}
	l.suspects[request] = made
	if request.IsPart() {
		made.successTTL = PartSuccessTTL
		l.joinGroup(request, made)
	}
	l.size.Store(int64(len(l.suspects)))
	return made
}

// joinGroup adds a part in one scope to the group of the part; the mutex is held.
func (l *Ledger) joinGroup(part Fingerprint, made *suspect) {
	key := part.partKey()
	if l.groups[key] == nil {
		l.groups[key] = &partGroup{scopes: make(map[Fingerprint]*suspect)}
	}
	l.groups[key].scopes[part] = made
}

// drop removes a suspect; the mutex is held.
func (l *Ledger) drop(request Fingerprint) {
	delete(l.suspects, request)
	if group := l.groups[request.partKey()]; request.IsPart() && group != nil {
		delete(group.scopes, request)
		if len(group.scopes) == 0 {
			delete(l.groups, request.partKey())
		}
	}
	l.revision++
	l.size.Store(int64(len(l.suspects)))
}

// evict drops the suspect with the least evidence of evictionSample ones, in the random order of a map.
func (l *Ledger) evict() {
	var least Fingerprint
	var found *suspect
	sampled := 0
	for request, known := range l.suspects {
		if found == nil || weaker(known, found) {
			least, found = request, known
		}
		if sampled++; sampled == evictionSample {
			break
		}
	}
	l.drop(least)
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
	old := func(crash Crash) bool { return now.Sub(crash.At) > suspectTTL }
	for request, known := range l.suspects {
		if l.quarantined(request, known) {
			continue
		}
		if now.Sub(known.changedAt()) > suspectTTL {
			l.drop(request)
		} else if request.IsPart() && slices.ContainsFunc(known.crashes, old) {
			known.crashes = slices.DeleteFunc(known.crashes, old)
			l.revision++
		}
	}
	maps.DeleteFunc(l.lives, func(_ ident.Incarnation, at time.Time) bool { return now.Sub(at) > suspectTTL })
}
