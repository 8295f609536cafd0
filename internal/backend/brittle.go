package backend

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Brittleness is what an answer of a back end states about how it bears overload.
type Brittleness struct {
	// Brittle is whether the back end fails when it has to refuse too many requests for want of
	// room.
	Brittle bool
	// MaxRefusals is the number of refusals in a second that it bears.
	MaxRefusals int
}

const (
	// maxRoomShare is the part of a brittle back end's room that is used at most, since routers'
	// counts of each other lag, and minRoomShare the least after refusals.
	maxRoomShare = 0.9
	minRoomShare = 0.25
	// brittleTTL is how long a service still counts as brittle once an answer of its back ends no
	// longer states it.
	brittleTTL = 10 * time.Second
	// trialDelay is how long a router without a place waits for an answer to another one before it
	// sends an attempt to a service that has not answered, and trialSpread the span over which such
	// routers do so.
	trialDelay  = 300 * time.Millisecond
	trialSpread = 300 * time.Millisecond
	// roomCut multiplies the room of a brittle back end that refused, at most once in
	// roomCutInterval: refusals of one moment have one cause.
	roomCut         = 0.6
	roomCutInterval = 300 * time.Millisecond
	// roomGrowth is the part of a back end's room that it gets back in a second.
	roomGrowth = 0.1
)

// room is the part of a brittle back end's room that all routers together use; the zero value
// stands for maxRoomShare.
type room struct {
	share float64
	cutAt time.Time
}

// shareAt returns the part at a time.
func (r *room) shareAt(now time.Time) float64 {
	if r.cutAt.IsZero() {
		return maxRoomShare
	}
	return min(r.share+roomGrowth*now.Sub(r.cutAt).Seconds(), maxRoomShare)
}

// cut reduces the room after a refusal, and reports whether it did.
func (r *room) cut(now time.Time) bool {
	if !r.cutAt.IsZero() && now.Sub(r.cutAt) < roomCutInterval {
		return false
	}
	r.share, r.cutAt = max(roomCut*r.shareAt(now), minRoomShare), now
	return true
}

// overload is how the back ends of a service bear overload, as their answers last stated; the zero
// value means that none has answered.
type overload struct {
	answered    bool
	brittle     bool
	maxRefusals int
	// soundSince is when an answer first no longer stated that they are brittle, zero if none did.
	soundSince time.Time
	// deniedSince is when an attempt first found no room before any answer, deniedAt when one last
	// did.
	deniedSince, deniedAt time.Time
}

// deny records that an attempt found no room.
func (o *overload) deny(now time.Time) {
	if o.deniedSince.IsZero() {
		o.deniedSince = now
	}
	o.deniedAt = now
}

// brittleAt reports whether the back ends are brittle. Without answers nothing changes: they may
// fail after a quiet time as well as before.
func (o *overload) brittleAt(now time.Time) bool {
	return o.brittle && (o.soundSince.IsZero() || now.Sub(o.soundSince) < brittleTTL)
}

// observe applies what an answer states.
func (o *overload) observe(now time.Time, stated Brittleness) {
	o.answered = true
	switch {
	case stated.Brittle:
		o.brittle, o.maxRefusals, o.soundSince = true, stated.MaxRefusals, time.Time{}
	case !o.brittleAt(now):
		o.brittle, o.soundSince = false, time.Time{}
	case o.soundSince.IsZero():
		o.soundSince = now
	}
}

// observeBrittleness records what the answer to a request states, or what a report or an answer to
// an order does if it states that the service is brittle. It reports whether the service was not
// known to be brittle; the caller holds the mutex.
func (r *Registry) observeBrittleness(now time.Time, service ident.Service, stated Brittleness, by Source) bool {
	if by != SourceAnswer && !stated.Brittle {
		return false
	}
	known := r.overloadOf(service)
	before := known.brittleAt(now)
	known.observe(now, stated)
	return !before && known.brittle
}

// overloadOf returns how the back ends of a service bear overload; the caller holds the mutex.
func (r *Registry) overloadOf(service ident.Service) *overload {
	known := r.overloads[service]
	if known == nil {
		known = &overload{}
		r.overloads[service] = known
	}
	return known
}

// brittle reports whether the back ends of a service are brittle; the caller holds the mutex.
func (r *Registry) brittle(now time.Time, service ident.Service) bool {
	return r.config.Disabled.Enabled(mechanism.BrittleRoom) && r.overloadOf(service).brittleAt(now)
}

// ServiceOverload is how the back ends of a service bear overload, for a router that starts.
type ServiceOverload struct {
	Service     ident.Service `cbor:"1,keyasint"`
	Brittle     bool          `cbor:"2,keyasint,omitempty"`
	MaxRefusals int           `cbor:"3,keyasint,omitempty"`
}

// Overloads returns what is known of the services whose back ends have answered, ordered by name.
func (r *Registry) Overloads(now time.Time) []ServiceOverload {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var known []ServiceOverload
	for _, service := range slices.Sorted(maps.Keys(r.overloads)) {
		if found := r.overloads[service]; found.answered {
			known = append(known, ServiceOverload{Service: service, Brittle: found.brittleAt(now), MaxRefusals: found.maxRefusals})
		}
	}
	return known
}

// ApplyOverloads applies what a peer knows of listed services: that one is brittle, and that others
// are sound if their back ends have not answered this router.
func (r *Registry) ApplyOverloads(now time.Time, told []ServiceOverload) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, service := range told {
		if len(r.services[service.Service]) == 0 {
			continue
		}
		if known := r.overloadOf(service.Service); !known.answered || service.Brittle {
			known.observe(now, Brittleness{Brittle: service.Brittle, MaxRefusals: max(service.MaxRefusals, 0)})
		}
	}
}

// ObserveNoRoom records that a brittle back end refused a request of this router or of a peer for
// want of room. It reports whether peers must be notified.
func (r *Registry) ObserveNoRoom(now time.Time, instance ident.Incarnation) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	return known != nil && r.brittle(now, known.record.Service) && known.room.cut(now)
}

// Room is how much of a brittle back end's room this router may use.
type Room struct {
	// InFlight is the number of this router's attempts there, Places how many it may have.
	InFlight, Places int
	// Share is the part of the room that all routers together use.
	Share float64
}

// Room returns this router's room at a back end, the zero value for an unknown one.
func (r *Registry) Room(now time.Time, instance ident.Incarnation, routers int) Room {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil {
		return Room{}
	}
	return Room{InFlight: len(known.attempts), Places: r.roomOf(now, known, routers), Share: known.room.shareAt(now)}
}

// roomBound bounds this router's attempts at the back ends of a service by their room.
type roomBound struct {
	// bounded is whether they are brittle, or may be as none of them has answered.
	bounded bool
	// trial allows one attempt whatever this router's part of the room is: the first answer ends
	// the bound of sound ones.
	trial bool
}

// roomBoundOf returns the bound of the back ends of a service; the caller holds the mutex.
func (r *Registry) roomBoundOf(now time.Time, query *Query) roomBound {
	switch known := r.overloadOf(query.Service); {
	case !r.config.Disabled.Enabled(mechanism.BrittleRoom):
		return roomBound{}
	case known.brittleAt(now):
		return roomBound{bounded: true}
	case known.answered || query.Routers == 0:
		return roomBound{}
	}
	return roomBound{bounded: true, trial: r.trialDue(now, query.Service) && !r.busy(query.Service)}
}

// trialAt returns when this router may send an attempt to a service that has not answered, though it
// has no place there; the caller holds the mutex.
func (r *Registry) trialAt(service ident.Service) time.Time {
	spread := time.Duration(r.placeOf(ident.Incarnation(service)) * float64(trialSpread))
	return r.overloadOf(service).deniedSince.Add(trialDelay + spread)
}

// trialDue reports whether that time has come; the caller holds the mutex.
func (r *Registry) trialDue(now time.Time, service ident.Service) bool {
	return !r.overloadOf(service).deniedSince.IsZero() && !now.Before(r.trialAt(service))
}

// busy reports whether an attempt of this router is under way at a service; the caller holds the
// mutex.
func (r *Registry) busy(service ident.Service) bool {
	return slices.ContainsFunc(r.services[service], func(known *state) bool { return len(known.attempts) > 0 })
}

// TrialAt returns when an attempt that found no room at a time may go to the service, which has not
// answered; the zero time if that was not the cause, or another attempt is under way.
func (r *Registry) TrialAt(deniedAt time.Time, service ident.Service) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.overloadOf(service)
	if known.answered || !known.deniedAt.Equal(deniedAt) || r.busy(service) {
		return time.Time{}
	}
	return r.trialAt(service)
}

// roomLeft reports whether a back end may get one more attempt of this router; the caller holds
// the mutex. A brittle one may have as many in flight as this router's part of its room: its slots,
// and half of the refusals that it bears, which lets busy routers use what others leave.
func (r *Registry) roomLeft(now time.Time, candidate *state, bound roomBound, routers int) bool {
	return !bound.bounded || bound.trial || len(candidate.attempts) < r.roomOf(now, candidate, routers)
}

// roomOf returns this router's part of the room of a back end. A fraction left over is one place
// at as many routers, the same ones each time.
func (r *Registry) roomOf(now time.Time, candidate *state, routers int) int {
	slots := max(candidate.record.Slots, 1)
	spare := min(r.overloadOf(candidate.record.Service).maxRefusals/2, slots)
	part := float64(slots+spare) * candidate.room.shareAt(now) / float64(max(routers, 1))
	whole := math.Floor(part)
	if r.placeOf(candidate.record.Instance) < part-whole {
		whole++
	}
	return int(whole)
}

// placeOf returns a number in [0, 1) that differs among routers and back ends.
func (r *Registry) placeOf(instance ident.Incarnation) float64 {
	return float64(rendezvous.Score(r.seed, ident.Engine(instance))) / math.MaxUint64
}
