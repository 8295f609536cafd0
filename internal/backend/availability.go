package backend

import "time"

// Availability is when a back end may take an attempt that none can take now: AvailableSoon,
// AvailableAfter or AllDraining.
type Availability interface{ availability() }

// AvailableSoon means that one may be available at any moment, or that none is known.
type AvailableSoon struct{}

// AvailableAfter means that none of them gets an attempt before At.
type AvailableAfter struct {
	At time.Time
	// Backoff is whether At is the end of a back-off.
	Backoff bool
}

// AllDraining means that all remaining back ends are draining.
type AllDraining struct{}

func (AvailableSoon) availability()  {}
func (AvailableAfter) availability() {}
func (AllDraining) availability()    {}

// Availability returns when one of the back ends of a query may be available.
func (r *Registry) Availability(now time.Time, query *Query) Availability {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// New releases are avoided only while there are others.
	allowed := *query
	allowed.AvoidNewReleases = false
	backends := r.allowed(now, &allowed)
	total := len(r.services[query.Service])
	if query.Continues {
		total = len(backends)
	}
	var earliest AvailableAfter
	suitable, draining := 0, 0
	for _, known := range backends {
		if known.drain.active() {
			draining++
			continue
		}
		if !known.suitable(now, query) {
			continue
		}
		suitable++
		// Pauses after a failure or a refusal are short enough to wait for.
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
	case draining > 0 && draining == total:
		return AllDraining{}
	default:
		return AvailableSoon{}
	}
}

// availableAfter returns the end of the back end's used-up limit or back-off, the zero value if
// it has neither; pauses set by this router don't count.
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
