package backend

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// ToldLimit is what an answer of a back end says of a limit of its own: LimitedTo,
// Unlimited or LimitUntold.
type ToldLimit interface{ toldLimit() }

// LimitedTo names a limit.
type LimitedTo struct {
	// Rate is the number of requests a second that the back end takes from all routers
	// together. One that takes none is tried at leastLimit all the same.
	Rate float64
}

// Unlimited says that the back end has no limit now.
type Unlimited struct{}

// LimitUntold says nothing: the answer is not that of the back end, or names a limit that
// cannot be read. What was told before holds on.
type LimitUntold struct{}

func (LimitedTo) toldLimit()   {}
func (Unlimited) toldLimit()   {}
func (LimitUntold) toldLimit() {}

const (
	// leastLimit is the number of requests a second that a back end is tried with which takes
	// fewer, or none: only an answer tells that its need is over. It is a twelfth of what may
	// reach a back end beyond its limit (five requests in 4 s).
	leastLimit = 0.1
	// mostLimit bounds a limit. No back end comes near it, and sums of it stay exact.
	mostLimit = 1e6
	// limitGrain is the part by which a named limit must differ to count as another one, so
	// that one that is worked out anew for each answer is not told to all routers each time.
	limitGrain = 0.1
	// limitKept is how long a limit is believed that no answer confirms, here or at a router
	// that tells of it. While there is demand an answer comes at least each 10 s (leastLimit);
	// a router that meanwhile can neither be granted a request nor hears of one must not shun
	// the back end for ever.
	limitKept = time.Minute
	// easedFactor and easedStep raise a limit with each answer that no longer names one, and
	// easedMost ends it. One answer without a limit may be one that a busy back end left it
	// out of: if all routers took it as the end, what waited would come at once. A limit of
	// 1.3 a second ends with the fourth such answer, 1.1 s after the first on the mean.
	easedFactor, easedStep = 2, 2
	easedMost              = 32
	// maxLimitSequence bounds what other routers may tell.
	maxLimitSequence = 1 << 53
)

// limit is what is believed of a back end's limit; the zero value means that none was ever
// named.
type limit struct {
	// limited says that there is one, of rate requests a second.
	limited bool
	rate    float64
	// sequence orders what routers tell of one life of a back end: the highest is the newest.
	sequence uint64
	// since is when this was learnt, heardAt when it was last confirmed.
	since, heardAt time.Time
	// usedUpUntil ends the time for which no request will be granted to this router.
	usedUpUntil time.Time
}

// inForce reports whether the back end gets only what is granted.
func (l *limit) inForce(now time.Time) bool { return l.limited && now.Sub(l.heardAt) <= limitKept }

// usedUp reports whether nothing more is granted for now.
func (l *limit) usedUp(now time.Time) bool { return l.inForce(now) && now.Before(l.usedUpUntil) }

// tighter reports whether a limit allows less than another one.
func (l *limit) tighter(other *limit) bool {
	return l.limited && (!other.limited || l.rate < other.rate)
}

// near reports whether two limits differ by too little to tell.
func (l *limit) near(other *limit) bool {
	if !l.limited || !other.limited {
		return l.limited == other.limited
	}
	return math.Abs(l.rate-other.rate) <= limitGrain*other.rate
}

// LimitChange is a change of what is believed of a back end's limit.
type LimitChange struct {
	Limited bool
	// Rate and Before are requests a second; 0 where there is no limit.
	Rate, Before float64
}

// TakeLimit takes in what an answer says of its back end's limit; the attempt was sent at a
// time. It reports whether that changes what was believed.
//
// A lower limit counts at once. A higher one, or none, counts only if the attempt was sent
// after the one in force was learnt: answers on several connections overtake one another.
func (r *Registry) TakeLimit(now time.Time, instance ident.Incarnation, sentAt time.Time, told ToldLimit) (LimitChange, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil {
		return LimitChange{}, false
	}
	before := known.limit
	next, said := before.after(now, told)
	switch {
	case !said:
		return LimitChange{}, false
	case next.near(&before):
		known.limit.heardAt = now
		return LimitChange{}, false
	case before.inForce(now) && !next.tighter(&before) && sentAt.Before(before.since):
		return LimitChange{}, false
	}
	next.sequence = before.sequence + 1
	known.limit = next
	return LimitChange{Limited: next.limited, Rate: next.rate, Before: before.rate}, true
}

// after returns the limit that an answer leaves, and whether it says anything of one.
func (l *limit) after(now time.Time, told ToldLimit) (limit, bool) {
	next := limit{since: now, heardAt: now}
	switch told := told.(type) {
	case LimitedTo:
		next.limited, next.rate = true, min(max(told.Rate, leastLimit), mostLimit)
	case Unlimited:
		if eased := easedFactor*l.rate + easedStep; l.inForce(now) && eased < easedMost {
			next.limited, next.rate = true, eased
		}
	default:
		return limit{}, false
	}
	return next, true
}

// LimitNews is what one router tells others of a back end's limit.
type LimitNews struct {
	Instance ident.Incarnation `cbor:"1,keyasint"`
	Sequence uint64            `cbor:"2,keyasint"`
	Limited  bool              `cbor:"3,keyasint,omitempty"`
	Rate     float64           `cbor:"4,keyasint,omitempty"`
	// Age is the time since an answer last confirmed it.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// sound reports whether the news may be taken in: what another router tells may be anything.
func (n *LimitNews) sound() bool {
	return n.Sequence < maxLimitSequence && n.Age >= 0 && n.Age <= limitKept && n.Rate >= 0 && n.Rate <= mostLimit
}

// ToldLimits takes in what other routers know of limits, and returns what that changes. The
// highest sequence counts; of two that are alike, as two routers saw changes at once, the
// tighter limit does.
func (r *Registry) ToldLimits(now time.Time, news []LimitNews) []LimitNews {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var changed []LimitNews
	for _, told := range news {
		known := r.byID[told.Instance]
		if known == nil || !told.sound() {
			continue
		}
		if known.limit.takes(now, &told) {
			changed = append(changed, told)
		}
	}
	return changed
}

// takes takes in one piece of news, and reports whether it changes anything.
func (l *limit) takes(now time.Time, told *LimitNews) bool {
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

// Limits returns what is known of limits, ordered by back end, those that ended among them.
func (r *Registry) Limits(now time.Time) []LimitNews {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var news []LimitNews
	for instance, known := range r.byID {
		if known.limit.sequence > 0 && now.Sub(known.limit.heardAt) <= limitKept {
			news = append(news, known.limit.news(now, instance))
		}
	}
	slices.SortFunc(news, func(a, b LimitNews) int { return cmp.Compare(a.Instance, b.Instance) })
	return news
}

// LimitOf returns what is known of one back end's limit.
func (r *Registry) LimitOf(now time.Time, instance ident.Incarnation) (LimitNews, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil || known.limit.sequence == 0 {
		return LimitNews{}, false
	}
	return known.limit.news(now, instance), true
}

func (l *limit) news(now time.Time, instance ident.Incarnation) LimitNews {
	return LimitNews{
		Instance: instance, Sequence: l.sequence, Limited: l.limited, Rate: l.rate, Age: max(now.Sub(l.heardAt), 0),
	}
}

// LimitsDigest names what is known of limits, ages aside; it is 0 if that is nothing.
func LimitsDigest(news []LimitNews) uint64 {
	if len(news) == 0 {
		return 0
	}
	sum := fnv.New64a()
	for _, one := range news {
		line := string(one.Instance) + " " + strconv.FormatUint(one.Sequence, 10) + " " + strconv.FormatFloat(one.Rate, 'g', -1, 64) + "\n"
		// A hash takes in everything.
		_, _ = sum.Write([]byte(line))
	}
	return max(sum.Sum64(), 1)
}

// Limited returns the back ends that have a limit.
func (r *Registry) Limited(now time.Time) []ident.Incarnation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var limited []ident.Incarnation
	for instance, known := range r.byID {
		if known.limit.inForce(now) {
			limited = append(limited, instance)
		}
	}
	return limited
}

// LimitConfirmed takes in that other routers still keep to a back end's limit.
func (r *Registry) LimitConfirmed(now time.Time, instance ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil && known.limit.inForce(now) {
		known.limit.heardAt = now
	}
}

// LimitUsedUp takes in that a back end with a limit gets no request of this router until a
// time.
func (r *Registry) LimitUsedUp(instance ident.Incarnation, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		known.limit.usedUpUntil = until
	}
}

// FreeAgain returns when a request may be granted to a back end of a query whose limit is
// used up; it reports whether just such back ends are left. One that rests for a moment after a
// refusal is left as well.
func (r *Registry) FreeAgain(now time.Time, query *Query) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var earliest time.Time
	for _, known := range r.allowed(query) {
		if !known.fit(now, query) {
			continue
		}
		if !known.limit.usedUp(now) {
			return time.Time{}, false
		}
		if until := known.limit.usedUpUntil; earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest, !earliest.IsZero()
}
