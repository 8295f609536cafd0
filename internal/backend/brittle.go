package backend

import (
	"math"
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
	// brittleTTL is how long a service counts as brittle after one of its back ends said so.
	brittleTTL = 10 * time.Second
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

// brittleService is what the back ends of a service last stated; the zero value stands for sound
// ones.
type brittleService struct {
	until       time.Time
	maxRefusals int
}

// observeBrittleness records what an answer states, and reports whether the service was not known to
// be brittle; the caller holds the mutex.
func (r *Registry) observeBrittleness(now time.Time, service ident.Service, stated Brittleness) bool {
	if !stated.Brittle || !r.config.Disabled.Enabled(mechanism.BrittleRoom) {
		return false
	}
	known := r.brittle(now, service)
	r.brittleServices[service] = brittleService{until: now.Add(brittleTTL), maxRefusals: stated.MaxRefusals}
	return !known
}

// brittle reports whether the back ends of a service are brittle; the caller holds the mutex.
func (r *Registry) brittle(now time.Time, service ident.Service) bool {
	return now.Before(r.brittleServices[service].until)
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

// roomLeft reports whether a back end may get one more attempt of this router; the caller holds
// the mutex. A brittle one may have as many in flight as this router's part of its room: its slots,
// and half of the refusals that it bears, which lets busy routers use what others leave.
func (r *Registry) roomLeft(now time.Time, candidate *state, routers int) bool {
	if !r.brittle(now, candidate.record.Service) {
		return true
	}
	return len(candidate.attempts) < r.roomOf(now, candidate, routers)
}

// roomOf returns this router's part of the room of a back end. A fraction left over is one place
// at as many routers, the same ones each time.
func (r *Registry) roomOf(now time.Time, candidate *state, routers int) int {
	slots := max(candidate.record.Slots, 1)
	spare := min(r.brittleServices[candidate.record.Service].maxRefusals/2, slots)
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
