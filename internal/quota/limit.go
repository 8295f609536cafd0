// Package quota enforces rate limits over a whole fleet of routers: those of tenants and those
// of back ends.
//
// Routers share the limits in pools. A pool is led by one router, which has a token bucket for
// each subject and grants requests from it to the routers that are its members. Each router is
// a member of one pool at a time and contributes its equal share of every limit: a pool of k
// members out of n routers grants k/n of a limit. All routers normally form one pool, so that
// the whole limit can be used through any of them; a router that reaches no other leads a pool
// of its own. In any network partition the shares of all pools add up to the limit, without an
// election of leaders.
//
// Agent is the state machine of one router, without I/O or clock. Pool is the leader's part,
// Ranking chooses the leader.
package quota

import "time"

// Limit is the rate limit of a subject, in units of its own: requests or tokens.
type Limit struct {
	// Rate is in units a second; 0 means unlimited.
	Rate float64 `cbor:"1,keyasint"`
	// Burst is the number of units that may be used at once beyond the rate.
	Burst float64 `cbor:"2,keyasint"`
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// minBurst is the part of a second's use that may be used at once if Burst is smaller: an empty
// bucket grants nothing.
const minBurst = 0.25

// capacity returns the size of the bucket.
func (l Limit) capacity() float64 { return max(l.Burst, minBurst*l.Rate) }

// Bounds state how far the use of a subject may exceed its limit in any window.
type Bounds struct {
	Window time.Duration
	// Overshoot is a part of what the limit allows in a window.
	Overshoot float64
	// Slack is a number of units beyond Overshoot.
	Slack float64
	// Unit is the amount of each reservation where all are equal, else 0. A pool of at least
	// unitFraction of all routers accumulates one unit even if its share of the limit is smaller.
	Unit float64
}

// Max returns the most units that may be used in any window.
func (b Bounds) Max(limit Limit) float64 {
	return b.allowed(limit) + b.spare(limit)
}

// allowed returns the units that the limit itself allows in a window.
func (b Bounds) allowed(limit Limit) float64 {
	return limit.Rate*b.Window.Seconds() + limit.Burst
}

// spare returns the units that may be used in a window beyond the limit.
func (b Bounds) spare(limit Limit) float64 {
	return b.Overshoot*b.allowed(limit) + b.Slack
}

// rate returns the rate at which buckets fill: the limit's rate and a part of the spare, since
// a needless denial costs more than a request too many.
func (b Bounds) rate(limit Limit) float64 {
	return limit.Rate + rateFraction*b.spare(limit)/max(b.Window.Seconds(), 1)
}

// The spare of a window is divided. The rest covers the time for which two pools count a router
// that moves from one to the other.
const (
	// rateFraction of the spare is granted evenly over the window.
	rateFraction = 0.4
	// startCreditFraction of the spare is the start credit of all routers together: each adds its
	// share to the pool that it joins, at most once in a window.
	startCreditFraction = 0.1
	// overdraftFraction of the spare may be granted to one large request beyond a full bucket.
	overdraftFraction = 0.15
)

const (
	// unitFraction is the part of all routers from which on a pool accumulates a whole unit. Many
	// smaller pools could grant their units all at once.
	unitFraction = 0.25
	// preferredFraction of a unit may be missing when a preferred reservation is granted, so that
	// preferred ones come first where there are enough of them to use a limit.
	preferredFraction = 0.5
)
