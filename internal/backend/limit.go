package backend

import (
	"math"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// AdvertisedLimit is what an answer of a back end states about its limit: LimitedTo, Unlimited
// or LimitNotAdvertised.
type AdvertisedLimit interface{ advertisedLimit() }

// LimitedTo advertises a limit.
type LimitedTo struct {
	// Rate is the number of requests a second that the back end accepts from all routers
	// together. It is raised to minLimit.
	Rate float64
}

// Unlimited advertises that there is no limit.
type Unlimited struct{}

// LimitNotAdvertised leaves the limit as it is: the answer is not that of the back end, or its
// limit cannot be parsed.
type LimitNotAdvertised struct{}

func (LimitedTo) advertisedLimit()          {}
func (Unlimited) advertisedLimit()          {}
func (LimitNotAdvertised) advertisedLimit() {}

const (
	// minLimit is the least rate, in requests a second, at which a limited back end is tried:
	// only an answer can show that its limit has risen. It is a twelfth of what may reach a back
	// end beyond its limit, five requests in 4 s.
	minLimit = 0.1
	// maxLimit bounds a limit. No back end comes near it, and sums of it stay exact.
	maxLimit = 1e6
	// limitTolerance is the relative difference from which a limit counts as changed, so that
	// one that is recomputed for each answer is not sent to all peers each time.
	limitTolerance = 0.1
	// limitTTL is how long a limit applies that no answer confirms, here or at a peer. Without
	// it a router that gets neither grants nor updates would avoid the back end for ever. While
	// there is demand an answer comes each 10 s at least, by minLimit.
	limitTTL = time.Minute
	// raiseFactor and raiseStep raise a limit with each answer that no longer advertises one,
	// and raiseEnd ends it. A busy back end may omit its limit from one answer; if that ended
	// the limit at all routers, all waiting requests would be sent at once. A limit of 1.3 requests
	// a second ends with the fourth such answer, 1.1 s after the first on average.
	raiseFactor, raiseStep = 2, 2
	raiseEnd               = 32
	// maxLimitSequence bounds the sequences accepted from peers.
	maxLimitSequence = 1 << 53
)

// limit is the known limit of a back end; the zero value means that none was ever advertised.
type limit struct {
	// limited is whether there is one, of rate requests a second.
	limited bool
	rate    float64
	// sequence orders the limits of one incarnation among routers: the highest is the newest.
	sequence               uint64
	changedAt, confirmedAt time.Time
	// usedUpUntil is the time before which this router gets no grant.
	usedUpUntil time.Time
}

// inForce reports whether the back end gets only requests that were granted.
func (l *limit) inForce(now time.Time) bool { return l.limited && now.Sub(l.confirmedAt) <= limitTTL }

// usedUp reports whether no request is granted for now.
func (l *limit) usedUp(now time.Time) bool { return l.inForce(now) && now.Before(l.usedUpUntil) }

// tighter reports whether a limit allows less than another one.
func (l *limit) tighter(other *limit) bool {
	return l.limited && (!other.limited || l.rate < other.rate)
}

// similar reports whether two limits differ by too little to count as a change.
func (l *limit) similar(other *limit) bool {
	if !l.limited || !other.limited {
		return l.limited == other.limited
	}
	return math.Abs(l.rate-other.rate) <= limitTolerance*other.rate
}

// LimitChange is a change of the known limit of a back end.
type LimitChange struct {
	Limited bool
	// Rate and PreviousRate are in requests a second; 0 means no limit.
	Rate, PreviousRate float64
}

// observe applies the limit advertised in the answer to a call sent at sentAt, and reports
// whether it changed.
//
// A lower limit applies at once. A higher one, or none, applies only if the call was sent after
// the current one was received: answers on several connections may be reordered.
func (l *limit) observe(now, sentAt time.Time, advertised AdvertisedLimit) (LimitChange, bool) {
	before := *l
	next, known := before.next(now, advertised)
	switch {
	case !known:
		return LimitChange{}, false
	case next.similar(&before):
		l.confirmedAt = now
		return LimitChange{}, false
	case before.inForce(now) && !next.tighter(&before) && sentAt.Before(before.changedAt):
		return LimitChange{}, false
	}
	next.sequence = before.sequence + 1
	*l = next
	return LimitChange{Limited: next.limited, Rate: next.rate, PreviousRate: before.rate}, true
}

// next returns the limit after an answer, and whether the answer advertised anything about it.
func (l *limit) next(now time.Time, advertised AdvertisedLimit) (limit, bool) {
	next := limit{changedAt: now, confirmedAt: now}
	switch advertised := advertised.(type) {
	case LimitedTo:
		next.limited, next.rate = true, min(max(advertised.Rate, minLimit), maxLimit)
	case Unlimited:
		if raised := raiseFactor*l.rate + raiseStep; l.inForce(now) && raised < raiseEnd {
			next.limited, next.rate = true, raised
		}
	default:
		return limit{}, false
	}
	return next, true
}

// LimitedInstances returns the back ends with a limit in force.
func (r *Registry) LimitedInstances(now time.Time) []ident.Incarnation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var limited []ident.Incarnation
	for instance, known := range r.advertisingStates() {
		if known.limit.inForce(now) {
			limited = append(limited, instance)
		}
	}
	return limited
}

// ConfirmLimit records that peers still apply the limit of a back end.
func (r *Registry) ConfirmLimit(now time.Time, instance ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil && known.limit.inForce(now) {
		known.limit.confirmedAt = now
	}
}

// ObserveLimitUsedUp records that this router gets no grant for a limited back end until a
// time.
func (r *Registry) ObserveLimitUsedUp(instance ident.Incarnation, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		known.limit.usedUpUntil = until
	}
}
