package backend

import "time"

// Availability says when a back end may take an attempt that none can take now: AvailableSoon, AvailableAfter or
// AllDraining.
type Availability interface{ outlook() }

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

func (AvailableSoon) outlook()  {}
func (AvailableAfter) outlook() {}
func (AllDraining) outlook()    {}

// Availability tells when one of the back ends of a query may take it.
func (r *Registry) Availability(now time.Time, query *Query) Availability {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var earliest AvailableAfter
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
		held := known.heldBack(now)
		if held.At.IsZero() {
			return AvailableSoon{}
		}
		if earliest.At.IsZero() || held.At.Before(earliest.At) {
			earliest = held
		}
	}
	switch {
	case left > 0:
		return earliest
	case leaving > 0 && leaving == len(r.services[query.Service]):
		return AllDraining{}
	default:
		return AvailableSoon{}
	}
}

// heldBack returns when the back end may get an attempt again, the zero value if nothing but the
// pauses of this router's own, or attempts that it awaits, keep it from that.
func (s *state) heldBack(now time.Time) AvailableAfter {
	var held AvailableAfter
	if s.limit.usedUp(now) {
		held.At = s.limit.usedUpUntil
	}
	if s.rest.on(now) && s.rest.until.After(held.At) {
		held = AvailableAfter{At: s.rest.until, Backoff: true}
	}
	return held
}
