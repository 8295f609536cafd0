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

// StateUpdate is what one router tells others of what one life of a back end said of itself. A rest is
// asked of one router, and is not told.
type StateUpdate struct {
	Instance ident.Incarnation `cbor:"1,keyasint"`
	// Sequence orders what is told of limits; 0 says nothing of them.
	Sequence uint64  `cbor:"2,keyasint"`
	Limited  bool    `cbor:"3,keyasint,omitempty"`
	Rate     float64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since an answer last confirmed the limit.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Draining says that the back end is about to end. False says nothing: the teller may not
	// know, or be of a build that does not tell.
	Draining bool `cbor:"6,keyasint,omitempty"`
}

// sound reports whether the news may be taken in: what another router tells may be anything.
func (n *StateUpdate) sound() bool {
	return n.Sequence < maxLimitSequence && n.Age >= 0 && n.Age <= limitKept && n.Rate >= 0 && n.Rate <= mostLimit
}

// AppliedUpdate is a piece of news with what it changed.
type AppliedUpdate struct {
	StateUpdate
	LimitChanged, DrainBegan bool
}

// ApplyUpdates takes in what other routers know of back ends, and returns what that changes.
func (r *Registry) ApplyUpdates(now time.Time, news []StateUpdate) []AppliedUpdate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var learnt []AppliedUpdate
	for _, told := range news {
		if !told.sound() {
			continue
		}
		known := r.wordsOf(told.Instance)
		leaving := told.Draining && r.config.Disabled.On(mechanism.BackendWords)
		if known == nil && leaving {
			known = r.formers.expect(now, told.Instance)
		}
		if known == nil {
			continue
		}
		change := AppliedUpdate{StateUpdate: told, LimitChanged: known.limit.takes(now, &told)}
		change.DrainBegan = leaving && known.leaving.begins(now, SourcePeer)
		if change.LimitChanged || change.DrainBegan {
			learnt = append(learnt, change)
		}
	}
	return learnt
}

// takes takes in one piece of news, and reports whether it changes anything. The highest
// sequence counts; of two that are alike, as two routers saw changes at once, the tighter
// limit does.
func (l *limit) takes(now time.Time, told *StateUpdate) bool {
	next := limit{limited: told.Limited, sequence: told.Sequence, since: now, heardAt: now.Add(-told.Age)}
	if told.Limited {
		next.rate = max(told.Rate, leastLimit)
	}
	if told.Sequence == l.sequence && next.limited == l.limited && next.rate == l.rate {
		if next.heardAt.After(l.heardAt) {
			l.heardAt = next.heardAt
		}
		return false
	}
	if told.Sequence < l.sequence || (told.Sequence == l.sequence && !next.tighter(l)) {
		return false
	}
	*l = next
	return true
}

// StateUpdates returns what is known of back ends that others are told, ordered by back end: limits,
// those that ended among them, and which back ends said that they leave.
func (r *Registry) StateUpdates(now time.Time) []StateUpdate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var news []StateUpdate
	for instance, known := range r.byID {
		if told, some := known.news(now, instance); some {
			news = append(news, told)
		}
	}
	slices.SortFunc(news, func(a, b StateUpdate) int { return cmp.Compare(a.Instance, b.Instance) })
	return news
}

// StateUpdateOf returns what others are told of one back end, if there is anything.
func (r *Registry) StateUpdateOf(now time.Time, instance ident.Incarnation) (StateUpdate, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.wordsOf(instance)
	if known == nil {
		return StateUpdate{}, false
	}
	return known.news(now, instance)
}

// news returns what others are told, and whether there is anything. That a back end leaves they
// read in the list as well, unless it was the back end itself that said so.
func (w *words) news(now time.Time, instance ident.Incarnation) (told StateUpdate, some bool) {
	told = StateUpdate{Instance: instance, Draining: w.leaving.own()}
	if w.limit.sequence > 0 && now.Sub(w.limit.heardAt) <= limitKept {
		told.Sequence, told.Limited, told.Rate = w.limit.sequence, w.limit.limited, w.limit.rate
		told.Age = max(now.Sub(w.limit.heardAt), 0)
	}
	return told, told.Draining || told.Sequence > 0
}

// UpdatesDigest names what is known of back ends, ages aside; it is 0 if that is nothing.
func UpdatesDigest(news []StateUpdate) uint64 {
	if len(news) == 0 {
		return 0
	}
	sum := fnv.New64a()
	for _, one := range news {
		line := string(one.Instance) + " " + strconv.FormatUint(one.Sequence, 10) + " " + strconv.FormatFloat(one.Rate, 'g', -1, 64) + "\n"
		if one.Draining {
			line += "leaving\n"
		}
		// A hash takes in everything.
		_, _ = sum.Write([]byte(line))
	}
	return max(sum.Sum64(), 1)
}
