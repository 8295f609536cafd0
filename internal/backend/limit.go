package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// ToldLimit is what an answer of a back end says of a limit of its own: LimitedTo,
// Unlimited or LimitUntold.
type ToldLimit interface{ toldLimit() }

// LimitedTo names a limit.
type LimitedTo struct {
	// Rate is the number of requests a second that the back end takes from all routers
	// together.
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

// limit is what is believed of a back end's limit; the zero value means that it has none.
type limit struct {
	// limited says that there is one, of rate requests a second.
	limited bool
	rate    float64
	// since is when this was learnt.
	since time.Time
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
	next, said := limitTold(now, told)
	if !said {
		return LimitChange{}, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil {
		return LimitChange{}, false
	}
	before := known.limit
	if next.limited == before.limited && next.rate == before.rate {
		return LimitChange{}, false
	}
	if before.limited && !next.within(before) && sentAt.Before(before.since) {
		return LimitChange{}, false
	}
	known.limit = next
	return LimitChange{Limited: next.limited, Rate: next.rate, Before: before.rate}, true
}

// limitTold returns the limit that an answer tells, and whether it tells one or that there
// is none.
func limitTold(now time.Time, told ToldLimit) (limit, bool) {
	switch told := told.(type) {
	case LimitedTo:
		return limit{limited: true, rate: told.Rate, since: now}, true
	case Unlimited:
		return limit{since: now}, true
	default:
		return limit{}, false
	}
}

// within reports whether a limit allows no more than another one.
func (l limit) within(other limit) bool { return l.limited && l.rate <= other.rate }

// Limited returns the number of back ends that have a limit.
func (r *Registry) Limited() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, known := range r.byID {
		if known.limit.limited {
			count++
		}
	}
	return count
}
