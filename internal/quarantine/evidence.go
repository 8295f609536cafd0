package quarantine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Evidence is the evidence on a request as sent to other routers and stored. Ages count back from
// the time of sending.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	Crashes []CrashEvidence
	// Cleared is true if the request succeeded or was released, ClearedAge ago.
	Cleared    bool
	ClearedAge time.Duration
	Trials     int
	TrialAge   time.Duration
}

// CrashEvidence is a crash in Evidence.
type CrashEvidence struct {
	_           struct{} `cbor:",toarray"`
	Incarnation ident.Incarnation
	Age         time.Duration
}

// ToStore returns the number of crashes to store, as Ledger.ToStore does.
func (e *Evidence) ToStore() int {
	merged := NewLedger()
	merged.Merge(time.Unix(0, 0), []Evidence{*e})
	if e.Request.IsPart() {
		// Whether it is to be stored depends on the evidence in all scopes.
		return merged.countedPartCrashes(e.Request)
	}
	return merged.ToStore(e.Request)
}

// Evidence returns the evidence on a request; it is false if there is none.
func (l *Ledger) Evidence(now time.Time, request Fingerprint) (Evidence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[request]
	if known == nil {
		return Evidence{}, false
	}
	return known.evidence(now, request), true
}

// QuarantinedEvidence returns the evidence on all requests that are or were quarantined.
func (l *Ledger) QuarantinedEvidence(now time.Time) []Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Evidence
	for request, known := range l.suspects {
		if l.mayBeQuarantined(request, known) {
			all = append(all, known.evidence(now, request))
		}
	}
	return all
}

// Digest returns a hash of QuarantinedEvidence without ages, 0 if there is none.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	digest := uint64(0)
	for request, known := range l.suspects {
		if l.mayBeQuarantined(request, known) {
			digest ^= known.digest(request, l.quarantined(request, known))
		}
	}
	return digest
}

// mayBeQuarantined reports whether a request or part is or was quarantined, here or at another router;
// the mutex is held.
func (l *Ledger) mayBeQuarantined(request Fingerprint, known *suspect) bool {
	if !request.IsPart() {
		return len(known.crashes) >= crashesToQuarantine
	}
	l.groupOf(request)
	return known.wasHeld
}

func (s *suspect) digest(request Fingerprint, quarantined bool) uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(request[:])
	for _, crash := range s.crashes {
		_, _ = fmt.Fprint(hash, crash.Incarnation, ";")
	}
	_, _ = fmt.Fprint(hash, s.trials, quarantined)
	return hash.Sum64()
}

func (s *suspect) evidence(now time.Time, request Fingerprint) Evidence {
	evidence := Evidence{Request: request, Trials: s.trials}
	for _, crash := range s.crashes {
		evidence.Crashes = append(evidence.Crashes, CrashEvidence{Incarnation: crash.Incarnation, Age: now.Sub(crash.At)})
	}
	if !s.clearedAt.IsZero() {
		evidence.Cleared, evidence.ClearedAge = true, now.Sub(s.clearedAt)
	}
	if !s.trialAt.IsZero() {
		evidence.TrialAge = now.Sub(s.trialAt)
	}
	return evidence
}

// Merge adds evidence as of a time. It returns the requests and parts that are quarantined from now on,
// and those on which this ledger has more evidence than was received.
func (l *Ledger) Merge(at time.Time, all []Evidence) (quarantined, more []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, evidence := range all {
		known := l.suspectOf(evidence.Request)
		for _, crash := range evidence.Crashes {
			merged := Crash{Incarnation: crash.Incarnation, At: at.Add(-crash.Age)}
			known.add(merged)
			l.recordLife(merged)
		}
		if evidence.Cleared {
			known.clear(at.Add(-evidence.ClearedAge))
		}
		known.recordTrials(evidence.Trials, at.Add(-evidence.TrialAge))
		if known.exceeds(&evidence) {
			more = append(more, evidence.Request)
		}
	}
	l.revision++
	for _, evidence := range all {
		quarantined = l.reportOnce(evidence.Request, quarantined)
	}
	return quarantined, more
}

// exceeds reports whether there is more evidence than was received.
func (s *suspect) exceeds(received *Evidence) bool {
	if len(s.crashes) > len(received.Crashes) {
		return true
	}
	cleared := !s.clearedAt.IsZero() && !received.Cleared
	if received.Request.IsPart() {
		// Most routers have had a success of a frequent part at some time.
		return cleared && len(s.countedCrashes()) < len(received.Crashes)
	}
	return cleared
}
