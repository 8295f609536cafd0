package guard

import (
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

const (
	// leftFor is how long before its crash a back end may have begun a request that was given
	// up. Most drop what is given up; the others begin it once a place is free.
	leftFor = 2 * time.Second
	// maxLeft bounds the attempts remembered that were given up, the newest: 250 a second, in
	// 30 kB.
	maxLeft = 512
)

// leftAttempt is an attempt that was given up while its back end may have been at work on it.
type leftAttempt struct {
	life    ident.Incarnation
	request quarantine.Fingerprint
	at      time.Time
}

// leftAttempts remembers the newest attempts that were given up. It is safe for concurrent use.
type leftAttempts struct {
	mu   sync.Mutex
	all  [maxLeft]leftAttempt
	next int
}

// add takes in an attempt that was given up.
func (l *leftAttempts) add(left leftAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[l.next] = left
	l.next = (l.next + 1) % maxLeft
}

// take returns the requests that were given up at a life of a back end shortly before it crashed
// at a time, and forgets them.
func (l *leftAttempts) take(life ident.Incarnation, crashedAt time.Time) []quarantine.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []quarantine.Fingerprint
	for index := range l.all {
		left := &l.all[index]
		if left.life != life {
			continue
		}
		if crashedAt.Sub(left.at) <= leftFor {
			requests = append(requests, left.request)
		}
		*left = leftAttempt{}
	}
	return requests
}

// has reports whether a request was given up at a life of a back end shortly before a time.
func (l *leftAttempts) has(life ident.Incarnation, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for index := range l.all {
		if left := &l.all[index]; left.life == life && now.Sub(left.at) <= leftFor {
			return true
		}
	}
	return false
}
