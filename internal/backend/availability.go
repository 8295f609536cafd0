package backend

import "time"

// Availability says when a back end may take an attempt that none can take now: AvailableSoon, AvailableAfter or
// AllDraining.
type Availability interface{ availability() }

// AvailableSoon says that one may be back at any moment, or that none is known.
type AvailableSoon struct{}

// AvailableAfter says that nothing is to be sent to any of them before a time.
type AvailableAfter struct {
	At time.Time
	// Backoff says that the first of them wants rest until then.
	Backoff bool
}

// AllDraining says that all that are left leave.
type AllDraining struct{}

func (AvailableSoon) availability()  {}
func (AvailableAfter) availability() {}
func (AllDraining) availability()    {}

// Availability tells when one of the back ends of a query may take it.
func (r *Registry) Availability(now time.Time, query *Query) Availability {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var earliest AvailableAfter
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
			return AvailableSoon{}
		}
		if earliest.At.IsZero() || after.At.Before(earliest.At) {
			earliest = after
		}
	}
	switch {
	case suitable > 0:
		return earliest
	case draining > 0 && draining == len(r.services[query.Service]):
		return AllDraining{}
	default:
		return AvailableSoon{}
	}
}

// availableAfter returns when the back end may get an attempt again, the zero value if nothing but the
// pauses of this router's own, or attempts that it awaits, keep it from that.
func (s *state) availableAfter(now time.Time) AvailableAfter {
	var after AvailableAfter
	if s.limit.usedUp(now) {
		after.At = s.limit.usedUpUntil
	}
	if s.backoff.active(now) && s.backoff.until.After(after.At) {
		after = AvailableAfter{At: s.backoff.until, Backoff: true}
	}
	return after
}
