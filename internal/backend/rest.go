package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// callsInRest bounds the reports and orders that a back end gets from this router while it
	// wants nothing: new weights need a report and an order, and have a deadline.
	callsInRest = 2
	// firstRoom is the number of attempts that may await their answers after a rest. Each answer
	// doubles it, up to allRoom, from which there is no bound.
	firstRoom = 1
	allRoom   = 32
	// reopening bounds the time for which there is such a bound, as answers may be slow.
	reopening = 2 * time.Second
	// doubtedFor is how long after its rest a back end may well refuse again.
	doubtedFor = 5 * time.Second
)

// rest is the time for which a back end wants nothing from this router; the zero value means that
// it never asked. Other routers are not told: it goes on serving them.
type rest struct {
	until time.Time
	// calls counts the reports and orders since it was asked for.
	calls int
	// room is the number of attempts that may await their answers once it is over, so that not
	// all that was held back comes at that moment; 0 means that there is no bound.
	room int
}

// asked takes in that the back end wants nothing for a time. Of several such times the one that
// ends last holds.
func (r *rest) asked(now time.Time, rest time.Duration) {
	until := now.Add(rest)
	if !until.After(r.until) {
		return
	}
	if !r.on(now) {
		r.calls = 0
	}
	r.until, r.room = until, firstRoom
}

// on reports whether the back end wants nothing now.
func (r *rest) on(now time.Time) bool { return now.Before(r.until) }

// reopens reports whether the rest was over lately, and the back end is tried with a few attempts.
func (r *rest) reopens(now time.Time) bool {
	return r.room > 0 && !r.on(now) && now.Before(r.until.Add(reopening))
}

// doubted reports whether the back end asked for rest lately.
func (r *rest) doubted(now time.Time) bool { return now.Before(r.until.Add(doubtedFor)) }

// answered takes in an answer to an attempt that began at a time.
func (r *rest) answered(begunAt time.Time) {
	if r.room == 0 || begunAt.Before(r.until) {
		return
	}
	if r.room *= 2; r.room > allRoom {
		r.room = 0
	}
}

// hasRoom reports whether the back end may get one more attempt as far as its rest goes.
func (s *state) hasRoom(now time.Time) bool {
	if s.rest.on(now) {
		return false
	}
	if !s.rest.reopens(now) {
		return true
	}
	awaited := 0
	for flight := range s.flights {
		if !flight.first && !flight.begunAt.Before(s.rest.until) {
			awaited++
		}
	}
	return awaited < s.rest.room
}

// BackingOff reports whether a back end wants nothing from this router.
func (r *Registry) BackingOff(now time.Time, instance ident.Incarnation) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.wordsOf(instance)
	return known != nil && known.rest.on(now)
}

// AllowCall reports whether a back end may be sent a report or an order now, and counts it if the
// back end rests.
func (r *Registry) AllowCall(now time.Time, instance ident.Incarnation) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.wordsOf(instance)
	if known == nil || !known.rest.on(now) {
		return true
	}
	known.rest.calls++
	return known.rest.calls <= callsInRest
}
