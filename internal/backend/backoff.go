package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// maxBackoffCalls bounds the reports and orders that a back end gets from this router while it
	// wants nothing: new weights need a report and an order, and have a deadline.
	maxBackoffCalls = 2
	// firstReopenLimit is the number of attempts that may await their answers after a rest. Each answer
	// doubles it, up to lastReopenLimit, from which there is no bound.
	firstReopenLimit = 1
	lastReopenLimit  = 32
	// reopenPeriod bounds the time for which there is such a bound, as answers may be slow.
	reopenPeriod = 2 * time.Second
	// recentBackoffPeriod is how long after its rest a back end may well refuse again.
	recentBackoffPeriod = 5 * time.Second
)

// backoff is the time for which a back end wants nothing from this router; the zero value means that
// it never asked. Other routers are not told: it goes on serving them.
type backoff struct {
	until time.Time
	// calls counts the reports and orders since it was asked for.
	calls int
	// reopenLimit is the number of attempts that may await their answers once it is over, so that not
	// all that was held back comes at that moment; 0 means that there is no bound.
	reopenLimit int
}

// asked takes in that the back end wants nothing for a time. Of several such times the one that
// ends last holds.
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

// active reports whether the back end wants nothing now.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// reopening reports whether the rest was over lately, and the back end is tried with a few attempts.
func (b *backoff) reopening(now time.Time) bool {
	return b.reopenLimit > 0 && !b.active(now) && now.Before(b.until.Add(reopenPeriod))
}

// recent reports whether the back end asked for rest lately.
func (b *backoff) recent(now time.Time) bool { return now.Before(b.until.Add(recentBackoffPeriod)) }

// answered takes in an answer to an attempt that began at a time.
func (b *backoff) observeAnswer(startedAt time.Time) {
	if b.reopenLimit == 0 || startedAt.Before(b.until) {
		return
	}
	if b.reopenLimit *= 2; b.reopenLimit > lastReopenLimit {
		b.reopenLimit = 0
	}
}

// backoffAllows reports whether the back end may get one more attempt as far as its rest goes.
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

// BackingOff reports whether a back end wants nothing from this router.
func (r *Registry) BackingOff(now time.Time, instance ident.Incarnation) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.advertisedStateOf(instance)
	return known != nil && known.backoff.active(now)
}

// AllowCall reports whether a back end may be sent a report or an order now, and counts it if the
// back end rests.
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
