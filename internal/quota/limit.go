// Package quota keeps what has a limit within it over a whole fleet of routers: the requests
// of a tenant, and those that a back end takes.
//
// Routers share the limits in pools. A pool is led by one router, which holds a token
// bucket for each subject and grants requests from it, one by one, to the routers that
// are its members. Each router is a member of one pool at a time, and brings its equal
// share of every limit with it: a pool of k members out of n routers grants k/n of a
// limit. All routers normally form one pool, so that a limit may be used through any
// of them; a router that reaches no other leads a pool of its own. However a
// network falls apart, the shares of all pools add up to the limit, without a
// decision about who leads.
//
// Agent is the state machine of one router, without I/O or clock. Pool is the part of
// the leader, Ranking the choice of whom to ask.
package quota

import "time"

// Limit is what may be used of a subject, in units of its own: requests or tokens.
type Limit struct {
	// Rate is what comes free in a second; 0 means that there is no limit.
	Rate float64 `cbor:"1,keyasint"`
	// Burst is what may be used above that at once.
	Burst float64 `cbor:"2,keyasint"`
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// minBurst is the part of a second's use that may be used at once, whatever the burst
// says: a bucket that holds nothing grants nothing.
const minBurst = 0.25

// capacity returns what a bucket holds.
func (l Limit) capacity() float64 { return max(l.Burst, minBurst*l.Rate) }

// Bounds say by how much the use of a subject in any window may be above its limit.
type Bounds struct {
	// Window is the length of a window.
	Window time.Duration
	// Overshoot is a part of what the limit allows in a window.
	Overshoot float64
	// Slack is a number of units besides.
	Slack float64
	// Unit is the amount of each claim where all are alike, 0 where they differ. A pool with
	// a good part of all routers (unitPart) saves up one, however little its share of the
	// limit comes to.
	Unit float64
}

// Max returns the most that may be used in any window.
func (b Bounds) Max(limit Limit) float64 {
	return b.allowed(limit) + b.spare(limit)
}

// allowed returns what a limit itself allows in a window.
func (b Bounds) allowed(limit Limit) float64 {
	return limit.Rate*b.Window.Seconds() + limit.Burst
}

// spare returns what may be used in a window beyond the limit.
func (b Bounds) spare(limit Limit) float64 {
	return b.Overshoot*b.allowed(limit) + b.Slack
}

// rate returns what comes free in a second: the limit's rate, and a part of the spare
// that the window allows besides, since a refusal that was not needed costs a caller
// more than a request too many costs anyone.
func (b Bounds) rate(limit Limit) float64 {
	return limit.Rate + ratePart*b.spare(limit)/max(b.Window.Seconds(), 1)
}

// The spare of a window is divided. What is left over covers the time for which two
// pools count a router that goes from one to the other.
const (
	// ratePart of the spare is granted evenly over the window.
	ratePart = 0.4
	// startCreditPart of the spare is the start credit of all routers together: each adds
	// its share to the pool that it joins, at most once in a window.
	startCreditPart = 0.1
	// debtPart of the spare may be granted beyond a full bucket to one large request.
	debtPart = 0.15
)

const (
	// unitPart is the part of all routers from which on a pool saves up a whole unit: of
	// pools with less there are too many, and all may grant what they saved at once.
	unitPart = 0.25
	// preferredPart of a unit may still be lacking when a preferred claim is granted, so that
	// preferred claims come before others wherever there are enough of them to use a limit.
	preferredPart = 0.5
)
