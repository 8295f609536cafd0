package backend

import "time"

// Outlook says when a back end may take an attempt that none can take now: MaySoon, NotBefore or
// AllLeave.
type Outlook interface{ availability() }

// MaySoon says that one may be back at any moment, or that none is known.
type MaySoon struct{}

// NotBefore says that nothing is to be sent to any of them before a time.
type NotBefore struct {
	At time.Time
	// Rest says that the first of them wants rest until then.
	Rest bool
}

// AllLeave says that all that are left leave.
type AllLeave struct{}

func (MaySoon) availability()   {}
func (NotBefore) availability() {}
func (AllLeave) availability()  {}

// Outlook tells when one of the back ends of a query may take it.
func (r *Registry) Outlook(now time.Time, query *Query) Outlook {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var earliest NotBefore
	suitable, draining := 0, 0
	for _, known := range r.allowed(query) {
		if known.drain.active() {
			draining++
			continue
		}
		if !known.suitable(now, query) {
			continue
		}
		suitable++
		// One that just rests after a failure or a refusal is worth a short wait.
		after := known.availableAfter(now)
		if after.At.IsZero() {
			return MaySoon{}
		}
		if earliest.At.IsZero() || after.At.Before(earliest.At) {
			earliest = after
		}
	}
	switch {
	case suitable > 0:
		return earliest
	case draining > 0 && draining == len(r.services[query.Service]):
		return AllLeave{}
	default:
		return MaySoon{}
	}
}

// availableAfter returns when the back end may get an attempt again, the zero value if nothing but the
// pauses of this router's own, or attempts that it awaits, keep it from that.
func (s *state) availableAfter(now time.Time) NotBefore {
	var after NotBefore
	if s.limit.usedUp(now) {
		after.At = s.limit.usedUpUntil
	}
	if s.backoff.active(now) && s.backoff.until.After(after.At) {
		after = NotBefore{At: s.backoff.until, Rest: true}
	}
	return after
}
