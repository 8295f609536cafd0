package backend

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// StateUpdate is what routers send each other about one incarnation of a back end. Back-offs
// are not sent, as each concerns one router.
type StateUpdate struct {
	Instance ident.Incarnation `cbor:"1,keyasint"`
	// Sequence orders limits; 0 means that the update has none.
	Sequence uint64  `cbor:"2,keyasint"`
	Limited  bool    `cbor:"3,keyasint,omitempty"`
	Rate     float64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since an answer last confirmed the limit.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Draining is whether the back end advertised a drain. False means unknown: the sender may
	// not have received it, or be of an older build.
	Draining bool `cbor:"6,keyasint,omitempty"`
}

// valid reports whether the update may be applied: a peer may send anything.
func (u *StateUpdate) valid() bool {
	return u.Sequence < maxLimitSequence && u.Age >= 0 && u.Age <= limitTTL && u.Rate >= 0 && u.Rate <= maxLimit
}

// AppliedUpdate is a state update with what it changed.
type AppliedUpdate struct {
	StateUpdate
	LimitChanged, DrainBegan bool
}

// ApplyUpdates applies state updates of peers and returns those that changed anything.
func (r *Registry) ApplyUpdates(now time.Time, updates []StateUpdate) []AppliedUpdate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var applied []AppliedUpdate
	for _, update := range updates {
		if !update.valid() {
			continue
		}
		known := r.advertisedStateOf(update.Instance)
		draining := update.Draining && r.config.Disabled.Enabled(mechanism.BackendAdvertised)
		if known == nil && draining {
			known = r.removed.addUnlisted(now, update.Instance)
		}
		if known == nil {
			continue
		}
		change := AppliedUpdate{StateUpdate: update, LimitChanged: known.limit.merge(now, &update)}
		change.DrainBegan = draining && known.drain.begin(now, SourcePeer)
		if change.LimitChanged || change.DrainBegan {
			r.advertising[update.Instance] = struct{}{}
			applied = append(applied, change)
		}
	}
	return applied
}

// merge applies the limit of an update and reports whether that changes anything. The highest
// sequence wins; at equal sequences, when two routers observed changes at once, the tighter
// limit does.
func (l *limit) merge(now time.Time, update *StateUpdate) bool {
	next := limit{limited: update.Limited, sequence: update.Sequence, changedAt: now, confirmedAt: now.Add(-update.Age)}
	if update.Limited {
		next.rate = max(update.Rate, minLimit)
	}
	if update.Sequence == l.sequence && next.limited == l.limited && next.rate == l.rate {
		if next.confirmedAt.After(l.confirmedAt) {
			l.confirmedAt = next.confirmedAt
		}
		return false
	}
	if update.Sequence < l.sequence || (update.Sequence == l.sequence && !next.tighter(l)) {
		return false
	}
	*l = next
	return true
}

// StateUpdates returns the updates for peers, ordered by back end: limits, ended ones among
// them, and advertised drains.
func (r *Registry) StateUpdates(now time.Time) []StateUpdate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var updates []StateUpdate
	for instance, known := range r.advertisingStates() {
		if update, found := known.stateUpdate(now, instance); found {
			updates = append(updates, update)
		}
	}
	slices.SortFunc(updates, func(a, b StateUpdate) int { return cmp.Compare(a.Instance, b.Instance) })
	return updates
}

// StateUpdateOf returns the update for peers about one back end, if there is any.
func (r *Registry) StateUpdateOf(now time.Time, instance ident.Incarnation) (StateUpdate, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.advertisedStateOf(instance)
	if known == nil {
		return StateUpdate{}, false
	}
	return known.stateUpdate(now, instance)
}

// stateUpdate returns the update for peers, if there is any. It omits drains known only from
// the instance list, which peers read themselves.
func (s *advertisedState) stateUpdate(now time.Time, instance ident.Incarnation) (update StateUpdate, found bool) {
	update = StateUpdate{Instance: instance, Draining: s.drain.advertised()}
	if s.limit.sequence > 0 && now.Sub(s.limit.confirmedAt) <= limitTTL {
		update.Sequence, update.Limited, update.Rate = s.limit.sequence, s.limit.limited, s.limit.rate
		update.Age = max(now.Sub(s.limit.confirmedAt), 0)
	}
	return update, update.Draining || update.Sequence > 0
}

// UpdatesDigest hashes updates without their ages; it is 0 if there are none.
func UpdatesDigest(updates []StateUpdate) uint64 {
	if len(updates) == 0 {
		return 0
	}
	sum := fnv.New64a()
	for _, update := range updates {
		line := string(update.Instance) + " " + strconv.FormatUint(update.Sequence, 10) + " " + strconv.FormatFloat(update.Rate, 'g', -1, 64) + "\n"
		if update.Draining {
			line += "leaving\n"
		}
		// Writing to a hash never fails.
		_, _ = sum.Write([]byte(line))
	}
	return max(sum.Sum64(), 1)
}
