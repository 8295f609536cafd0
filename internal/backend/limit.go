package backend

import (
	"math"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// AdvertisedLimit is what an answer of a back end says of a limit of its own: LimitedTo,
// Unlimited or LimitNotAdvertised.
type AdvertisedLimit interface{ toldLimit() }

// LimitedTo names a limit.
type LimitedTo struct {
	// Rate is the number of requests a second that the back end takes from all routers
	// together. One that takes none is tried at leastLimit all the same.
	Rate float64
}

// Unlimited says that the back end has no limit now.
type Unlimited struct{}

// LimitNotAdvertised says nothing: the answer is not that of the back end, or names a limit that
// cannot be read. What was told before holds on.
type LimitNotAdvertised struct{}

func (LimitedTo) toldLimit()          {}
func (Unlimited) toldLimit()          {}
func (LimitNotAdvertised) toldLimit() {}

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
	Rate, PreviousRate float64
}

// take takes in what an answer says of the limit; the call was sent at a time. It reports
// whether that changes what was believed.
//
// A lower limit counts at once. A higher one, or none, counts only if the call was sent after
// the one in force was learnt: answers on several connections overtake one another.
func (l *limit) take(now, sentAt time.Time, told AdvertisedLimit) (LimitChange, bool) {
	before := *l
	next, said := before.after(now, told)
	switch {
	case !said:
		return LimitChange{}, false
	case next.near(&before):
		l.heardAt = now
		return LimitChange{}, false
	case before.inForce(now) && !next.tighter(&before) && sentAt.Before(before.since):
		return LimitChange{}, false
	}
	next.sequence = before.sequence + 1
	*l = next
	return LimitChange{Limited: next.limited, Rate: next.rate, PreviousRate: before.rate}, true
}

// after returns the limit that an answer leaves, and whether it says anything of one.
func (l *limit) after(now time.Time, told AdvertisedLimit) (limit, bool) {
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

// LimitedInstances returns the back ends that have a limit.
func (r *Registry) LimitedInstances(now time.Time) []ident.Incarnation {
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

// ConfirmLimit takes in that other routers still keep to a back end's limit.
func (r *Registry) ConfirmLimit(now time.Time, instance ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil && known.limit.inForce(now) {
		known.limit.heardAt = now
	}
}

// ObserveLimitUsedUp takes in that a back end with a limit gets no request of this router until a
// time.
func (r *Registry) ObserveLimitUsedUp(instance ident.Incarnation, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		known.limit.usedUpUntil = until
	}
}
