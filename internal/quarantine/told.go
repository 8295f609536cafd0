package quarantine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Evidence is what one router tells others of a request, and what is kept of it. Ages count up to
// the moment it was told.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	Crashes []CrashEvidence
	// Cleared says that the request was answered, or lifted, ClearedAge ago.
	Cleared    bool
	ClearedAge time.Duration
	Trials     int
	TrialAge   time.Duration
}

// CrashEvidence is a crash as it is told.
type CrashEvidence struct {
	_           struct{} `cbor:",toarray"`
	Incarnation ident.Incarnation
	Age         time.Duration
}

// Kept returns for how many crashes evidence was told, as Ledger.ToKeep counts them.
func (t *Evidence) Kept() int {
	taken := NewLedger()
	taken.Take(time.Unix(0, 0), []Evidence{*t})
	return taken.ToKeep(t.Request)
}

// Tell returns what is known of a request; it is false if nothing is.
func (l *Ledger) Tell(now time.Time, request Fingerprint) (Evidence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[request]
	if known == nil {
		return Evidence{}, false
	}
	return known.tell(now, request), true
}

// TellHeld returns what is known of all requests that are held, or were held and are cleared.
func (l *Ledger) TellHeld(now time.Time) []Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Evidence
	for request, known := range l.suspects {
		if len(known.crashes) >= crashesToHold {
			all = append(all, known.tell(now, request))
		}
	}
	return all
}

// Digest names what TellHeld tells, apart from ages; it is 0 if that is nothing.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	digest := uint64(0)
	for request, known := range l.suspects {
		if len(known.crashes) >= crashesToHold {
			digest ^= known.digest(request)
		}
	}
	return digest
}

func (s *suspect) digest(request Fingerprint) uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(request[:])
	for _, crash := range s.crashes {
		_, _ = fmt.Fprint(hash, crash.Incarnation, ";")
	}
	_, _ = fmt.Fprint(hash, s.trials, s.held())
	return hash.Sum64()
}

func (s *suspect) tell(now time.Time, request Fingerprint) Evidence {
	told := Evidence{Request: request, Trials: s.trials}
	for _, crash := range s.crashes {
		told.Crashes = append(told.Crashes, CrashEvidence{Incarnation: crash.Incarnation, Age: now.Sub(crash.At)})
	}
	if !s.clearedAt.IsZero() {
		told.Cleared, told.ClearedAge = true, now.Sub(s.clearedAt)
	}
	if !s.trialAt.IsZero() {
		told.TrialAge = now.Sub(s.trialAt)
	}
	return told
}

// Take merges what was told as of a time. It returns the requests that are held from now on,
// and those of which more is known here than was told.
func (l *Ledger) Take(at time.Time, all []Evidence) (held, more []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, told := range all {
		known := l.known(at, told.Request)
		for _, crash := range told.Crashes {
			known.add(Crash{Incarnation: crash.Incarnation, At: at.Add(-crash.Age)})
		}
		if told.Cleared {
			known.clear(at.Add(-told.ClearedAge))
		}
		known.tried(told.Trials, at.Add(-told.TrialAge))
		held = l.announce(told.Request, held)
		if len(known.crashes) > len(told.Crashes) || (!known.clearedAt.IsZero() && !told.Cleared) {
			more = append(more, told.Request)
		}
	}
	return held, more
}
