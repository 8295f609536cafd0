package backend

import "time"

// Outlook says when a back end may take an attempt that none can take now: MaySoon, NotBefore or
// AllLeave.
type Outlook interface{ outlook() }

// MaySoon says that one may be back at any moment, or that none is known.
type MaySoon struct{}

// NotBefore says that nothing is to be sent to any of them before a time.
type NotBefore struct{ At time.Time }

// AllLeave says that all that are left leave.
type AllLeave struct{}

func (MaySoon) outlook()   {}
func (NotBefore) outlook() {}
func (AllLeave) outlook()  {}

// Outlook tells when one of the back ends of a query may take it.
func (r *Registry) Outlook(now time.Time, query *Query) Outlook {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var earliest time.Time
	left, leaving := 0, 0
	for _, known := range r.allowed(query) {
		if known.leaving.begun() {
			leaving++
			continue
		}
		if !known.fit(now, query) {
			continue
		}
		left++
		// One that just rests after a failure or a refusal is worth a short wait.
		until := known.heldBackUntil(now)
		if until.IsZero() {
			return MaySoon{}
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	switch {
	case left > 0:
		return NotBefore{At: earliest}
	case leaving > 0 && leaving == len(r.services[query.Service]):
		return AllLeave{}
	default:
		return MaySoon{}
	}
}

// heldBackUntil returns when the back end may get an attempt again, the zero time if nothing but
// the pauses of this router's own keeps it from that.
func (s *state) heldBackUntil(now time.Time) time.Time {
	if s.limit.usedUp(now) {
		return s.limit.usedUpUntil
	}
	return time.Time{}
}
