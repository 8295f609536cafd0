package guard

import (
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

const (
	// abandonedWindow is how long before its crash a back end may have begun an abandoned
	// request. Most drop those; the others begin them once a slot is free.
	abandonedWindow = 2 * time.Second
	// maxAbandoned is the number of the newest suspects of abandoned attempts remembered.
	maxAbandoned = 2048
)

// abandonedAttempt is a request, or a part of its prompt, of an attempt given up by this router while the
// back end may have been running it.
type abandonedAttempt struct {
	incarnation ident.Incarnation
	request     quarantine.Fingerprint
	at          time.Time
}

// abandonedAttempts remembers the newest abandoned attempts. It is safe for concurrent use.
type abandonedAttempts struct {
	mu   sync.Mutex
	all  [maxAbandoned]abandonedAttempt
	next int
}

func (a *abandonedAttempts) add(attempt abandonedAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[a.next] = attempt
	a.next = (a.next + 1) % maxAbandoned
}

// take removes and returns the requests abandoned at an incarnation shortly before its crash.
func (a *abandonedAttempts) take(incarnation ident.Incarnation, crashedAt time.Time) []quarantine.Fingerprint {
	a.mu.Lock()
	defer a.mu.Unlock()
	var requests []quarantine.Fingerprint
	for index := range a.all {
		attempt := &a.all[index]
		if attempt.incarnation != incarnation {
			continue
		}
		if crashedAt.Sub(attempt.at) <= abandonedWindow {
			requests = append(requests, attempt.request)
		}
		*attempt = abandonedAttempt{}
	}
	return requests
}

// has reports whether a request was abandoned at an incarnation shortly before a time.
func (a *abandonedAttempts) has(incarnation ident.Incarnation, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index := range a.all {
		if attempt := &a.all[index]; attempt.incarnation == incarnation && now.Sub(attempt.at) <= abandonedWindow {
			return true
		}
	}
	return false
}
