package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// Advertised is what one answer of a back end, to any call, states about itself.
type Advertised struct {
	// Limit is nil if the answer states nothing about a limit.
	Limit AdvertisedLimit
	// Draining is whether the back end is about to end and accepts no new work.
	Draining bool
	// Backoff is how long this router must send nothing; 0 if the back end did not ask for it.
	Backoff time.Duration
	// Brittleness is how the back end bears overload.
	Brittleness Brittleness
}

// AdvertisedFunc receives what the answer to a call sent at sentAt advertises about its back
// end.
type AdvertisedFunc func(instance ident.Incarnation, sentAt time.Time, advertised Advertised, by Source)

// Source is where advertised state came from.
type Source string

// The sources of advertised state.
const (
	SourceAnswer Source = "answer"
	SourceReport Source = "report"
	SourceOrder  Source = "order"
	SourcePeer   Source = "router"
	SourceList   Source = "list"
)

// advertisedState is what one incarnation of a back end advertised, from any source. It
// outlasts the listing of the back end, and ends with the incarnation.
//
// Sources need no priority, as the order in which they are applied does not matter: a drain
// only begins, the limit with the highest sequence applies, and the back-off that ends last. So
// a late write of the list, a reordered answer or an update from a peer that has received less
// reverts nothing.
type advertisedState struct {
	limit   limit
	drain   drain
	backoff backoff
}

// drain is whether a back end is about to end; the zero value means that it is not.
type drain struct {
	// since is when this router first learned of the drain, from by.
	since time.Time
	by    Source
}

// active reports whether the back end is draining.
func (d *drain) active() bool { return !d.since.IsZero() }

// begin records a drain, and reports whether it is new.
func (d *drain) begin(now time.Time, by Source) bool {
	if d.active() {
		return false
	}
	d.since, d.by = now, by
	return true
}

// advertised reports whether the back end stated the drain itself, to this router or a peer.
func (d *drain) advertised() bool { return d.active() && d.by != SourceList }

// AdvertisedChange is what an answer changed in the state of its back end.
type AdvertisedChange struct {
	// Limit is the change of its limit, if LimitChanged.
	Limit        LimitChange
	LimitChanged bool
	// DrainBegan is whether the back end was not known to be draining before.
	DrainBegan bool
	// Backoff is how long this router must send nothing from now on; 0 if the back end did not
	// ask for it.
	Backoff time.Duration
	// BecameBrittle is whether the back ends of its service were not known to be brittle before.
	BecameBrittle bool
}

// ConcernsPeers reports whether peers must be notified of the change.
func (c *AdvertisedChange) ConcernsPeers() bool { return c.LimitChanged || c.DrainBegan }

// ObserveAdvertised applies what the answer to a call sent at sentAt advertises about its back
// end.
func (r *Registry) ObserveAdvertised(now time.Time, instance ident.Incarnation, sentAt time.Time, advertised Advertised, by Source) AdvertisedChange {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change := AdvertisedChange{}
	known := r.advertisedStateOf(instance)
	if known == nil {
		return change
	}
	if listed := r.byID[instance]; listed != nil {
		change.BecameBrittle = r.observeBrittleness(now, listed.record.Service, advertised.Brittleness, by)
	}
	change.Limit, change.LimitChanged = known.limit.observe(now, sentAt, advertised.Limit)
	if advertised.Draining && r.config.Disabled.Enabled(mechanism.BackendAdvertised) {
		change.DrainBegan = known.drain.begin(now, by)
	}
	if change.ConcernsPeers() {
		r.advertising[instance] = struct{}{}
	}
	if advertised.Backoff > 0 && r.config.Disabled.Enabled(mechanism.BackendAdvertised) {
		change.Backoff = advertised.Backoff
		known.backoff.extend(now, advertised.Backoff)
	}
	return change
}

// advertisedStateOf returns the advertised state of an incarnation, nil if it is unknown; the
// caller holds the mutex.
func (r *Registry) advertisedStateOf(instance ident.Incarnation) *advertisedState {
	if known := r.byID[instance]; known != nil {
		return known.advertisedState
	}
	if known, gone := r.removed[instance]; gone {
		return known.advertised
	}
	return nil
}

// advertisingStates returns the listed back ends that have advertised a limit or a drain, so that
// reading them costs as much as there are. The caller holds the mutex.
func (r *Registry) advertisingStates() map[ident.Incarnation]*state {
	states := make(map[ident.Incarnation]*state, len(r.advertising))
	for instance := range r.advertising {
		if known := r.byID[instance]; known != nil {
			states[instance] = known
			continue
		}
		if _, removed := r.removed[instance]; !removed {
			delete(r.advertising, instance)
		}
	}
	return states
}

// UnavailableCounts returns the numbers of listed back ends that are draining, and that are
// backing off.
func (r *Registry) UnavailableCounts(now time.Time) (draining, backingOff int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.byID {
		if known.drain.active() {
			draining++
		}
		if known.backoff.active(now) {
			backingOff++
		}
	}
	return draining, backingOff
}
