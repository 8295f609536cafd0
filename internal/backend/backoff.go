package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// maxBackoffCalls bounds the reports and load orders that a back end gets from this router
	// during a back-off: new weights need one of each, and have a deadline.
	maxBackoffCalls = 2
	// firstReopenLimit is the number of attempts that may await answers after a back-off. Each
	// answer doubles it; above lastReopenLimit there is no bound.
	firstReopenLimit = 1
	lastReopenLimit  = 32
	// reopenPeriod is how long that limit applies at most, as answers may be slow.
	reopenPeriod = 2 * time.Second
	// recentBackoffPeriod is how long after its back-off a back end may well refuse again.
	recentBackoffPeriod = 5 * time.Second
)

// backoff is the time for which a back end asked this router to send nothing; the zero value
// means that it never asked. Peers are not notified, as it still serves them.
type backoff struct {
	until time.Time
	// calls counts the reports and load orders since the back-off began.
	calls int
	// reopenLimit bounds the attempts that await answers after the back-off, so that held
	// requests are not all sent at once; 0 means no bound.
	reopenLimit int
}

// extend begins a back-off or extends the current one; it never shortens it.
func (b *backoff) extend(now time.Time, duration time.Duration) {
	until := now.Add(duration)
	if !until.After(b.until) {
		return
	}
	if !b.active(now) {
		b.calls = 0
	}
	b.until, b.reopenLimit = until, firstReopenLimit
}

// active reports whether the back end is backing off now.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// reopening reports whether the back-off ended recently and the back end gets few attempts.
func (b *backoff) reopening(now time.Time) bool {
	return b.reopenLimit > 0 && !b.active(now) && now.Before(b.until.Add(reopenPeriod))
}

// recent reports whether the back end is backing off, or recently was.
func (b *backoff) recent(now time.Time) bool { return now.Before(b.until.Add(recentBackoffPeriod)) }

// observeAnswer raises the limit if the answer is to an attempt that began after the back-off.
func (b *backoff) observeAnswer(startedAt time.Time) {
	if b.reopenLimit == 0 || startedAt.Before(b.until) {
		return
	}
	if b.reopenLimit *= 2; b.reopenLimit > lastReopenLimit {
		b.reopenLimit = 0
	}
}

// backoffAllows reports whether the back-off allows one more attempt.
func (s *state) backoffAllows(now time.Time) bool {
	if s.backoff.active(now) {
		return false
	}
	if !s.backoff.reopening(now) {
		return true
	}
	awaited := 0
	for attempt := range s.attempts {
		if !attempt.firstByteReceived && !attempt.startedAt.Before(s.backoff.until) {
			awaited++
		}
	}
	return awaited < s.backoff.reopenLimit
}

// BackingOff reports whether a back end asked this router to send nothing now.
func (r *Registry) BackingOff(now time.Time, instance ident.Incarnation) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.advertisedStateOf(instance)
	return known != nil && known.backoff.active(now)
}

// AllowCall reports whether a back end may be sent a report or a load order now, and counts it
// during a back-off.
func (r *Registry) AllowCall(now time.Time, instance ident.Incarnation) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.advertisedStateOf(instance)
	if known == nil || !known.backoff.active(now) {
		return true
	}
	known.backoff.calls++
	return known.backoff.calls <= maxBackoffCalls
}
