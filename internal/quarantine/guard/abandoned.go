package guard

import (
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

const (
	// abandonedWindow is how long before its crash a back end may have begun a request that was given
	// up. Most drop what is given up; the others begin it once a place is free.
	abandonedWindow = 2 * time.Second
	// maxAbandoned bounds the attempts remembered that were given up, the newest: 250 a second, in
	// 30 kB.
	maxAbandoned = 512
)

// abandonedAttempt is an attempt that was given up while its back end may have been at work on it.
type abandonedAttempt struct {
	incarnation ident.Incarnation
	request     quarantine.Fingerprint
	at          time.Time
}

// abandonedAttempts remembers the newest attempts that were given up. It is safe for concurrent use.
type abandonedAttempts struct {
	mu   sync.Mutex
	all  [maxAbandoned]abandonedAttempt
	next int
}

// add takes in an attempt that was given up.
func (l *abandonedAttempts) add(attempt abandonedAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[l.next] = attempt
	l.next = (l.next + 1) % maxAbandoned
}

// take returns the requests that were given up at a life of a back end shortly before it crashed
// at a time, and forgets them.
func (l *abandonedAttempts) take(incarnation ident.Incarnation, crashedAt time.Time) []quarantine.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []quarantine.Fingerprint
	for index := range l.all {
		attempt := &l.all[index]
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

// has reports whether a request was given up at a life of a back end shortly before a time.
func (l *abandonedAttempts) has(incarnation ident.Incarnation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for index := range l.all {
		if attempt := &l.all[index]; attempt.incarnation == incarnation && now.Sub(attempt.at) <= abandonedWindow {
			return true
		}
	}
	return false
}
