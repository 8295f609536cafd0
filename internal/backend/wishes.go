package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// SaysLeaving takes in that an answer of a back end says that it leaves. It reports whether
// no answer said so before.
func (r *Registry) SaysLeaving(instance ident.Incarnation) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil || known.saysLeaving {
		return false
	}
	known.saysLeaving = true
	return true
}

// AskedRest takes in that a back end wants nothing from this router for a time.
func (r *Registry) AskedRest(now time.Time, instance ident.Incarnation, rest time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil && now.Add(rest).After(known.restUntil) {
		known.restUntil = now.Add(rest)
	}
}

// resting reports whether the back end wants nothing from this router.
func (s *state) resting(now time.Time) bool { return now.Before(s.restUntil) }

// Wishes returns the numbers of the back ends that said in an answer that they leave, and of
// those that want nothing from this router now.
func (r *Registry) Wishes(now time.Time) (leaving, resting int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.byID {
		if known.saysLeaving {
			leaving++
		}
		if known.resting(now) {
			resting++
		}
	}
	return leaving, resting
}
