package quarantine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Told is what one router tells others of a request, and what is kept of it. Ages count up to
// the moment it was told.
type Told struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	Crashes []ToldCrash
	// Cleared says that the request was answered, or lifted, ClearedAge ago.
	Cleared    bool
	ClearedAge time.Duration
	Trials     int
	TrialAge   time.Duration
}

// ToldCrash is a crash as it is told.
type ToldCrash struct {
	_    struct{} `cbor:",toarray"`
	Life ident.Incarnation
	Age  time.Duration
}

// ToStore returns for how many crashes evidence was told, as Ledger.ToStore counts them.
func (t *Told) ToStore() int {
	merged := NewLedger()
	merged.Merge(time.Unix(0, 0), []Told{*t})
	return merged.ToStore(t.Request)
}

// Evidence returns what is known of a request; it is false if nothing is.
func (l *Ledger) Evidence(now time.Time, request Fingerprint) (Told, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[request]
	if known == nil {
		return Told{}, false
	}
	return known.evidence(now, request), true
}

// QuarantinedEvidence returns what is known of all requests that are held, or were held and are cleared.
func (l *Ledger) QuarantinedEvidence(now time.Time) []Told {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Told
	for request, known := range l.suspects {
		if len(known.crashes) >= crashesToQuarantine {
			all = append(all, known.evidence(now, request))
		}
	}
	return all
}

// Digest names what QuarantinedEvidence tells, apart from ages; it is 0 if that is nothing.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	digest := uint64(0)
	for request, known := range l.suspects {
		if len(known.crashes) >= crashesToQuarantine {
			digest ^= known.digest(request)
		}
	}
	return digest
}

func (s *suspect) digest(request Fingerprint) uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(request[:])
	for _, crash := range s.crashes {
		_, _ = fmt.Fprint(hash, crash.Life, ";")
	}
	_, _ = fmt.Fprint(hash, s.trials, s.quarantined())
	return hash.Sum64()
}

func (s *suspect) evidence(now time.Time, request Fingerprint) Told {
	evidence := Told{Request: request, Trials: s.trials}
	for _, crash := range s.crashes {
		evidence.Crashes = append(evidence.Crashes, ToldCrash{Life: crash.Life, Age: now.Sub(crash.At)})
	}
	if !s.clearedAt.IsZero() {
		evidence.Cleared, evidence.ClearedAge = true, now.Sub(s.clearedAt)
	}
	if !s.trialAt.IsZero() {
		evidence.TrialAge = now.Sub(s.trialAt)
	}
	return evidence
}

// Take merges what was told as of a time. It returns the requests that are held from now on,
// and those of which more is known here than was told.
func (l *Ledger) Merge(at time.Time, all []Told) (quarantined, more []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, evidence := range all {
		known := l.suspectOf(at, evidence.Request)
		for _, crash := range evidence.Crashes {
			known.add(Crash{Life: crash.Life, At: at.Add(-crash.Age)})
		}
		if evidence.Cleared {
			known.clear(at.Add(-evidence.ClearedAge))
		}
		known.recordTrials(evidence.Trials, at.Add(-evidence.TrialAge))
		quarantined = l.reportOnce(evidence.Request, quarantined)
		if len(known.crashes) > len(evidence.Crashes) || (!known.clearedAt.IsZero() && !evidence.Cleared) {
			more = append(more, evidence.Request)
		}
	}
	return quarantined, more
}
