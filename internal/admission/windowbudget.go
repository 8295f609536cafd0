package admission

import (
	"cmp"
	"time"
)

// WindowConfig bounds the repeats of one service at one router, so that the
// repeats of all routers together stay under a bound on every sliding window.
type WindowConfig struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Share of the window's requests that may be repeated, as far as there were as many in
	// the window before.
	Share float64
	// GrowthShare is that of the requests beyond those of the window before. Their clients may
	// have come from another router, or from a former life of this one, which repeated Share
	// of the same clients' requests in the same window. Both shares together must not be above
	// the bound of all routers. Default: Share.
	GrowthShare float64
}

// windowSlots is the number of pieces a window is counted in. One piece more
// than the window is kept, so that a repeat leaves the count only after it has
// left every window that it lay in.
const windowSlots = 10

// requestSlots is the number of pieces of the window just past and of the one before it.
const requestSlots = 2 * windowSlots

// WindowBudget counts requests and repeats in a sliding window. Requests count
// from the window just past only, repeats from a piece more, so that the
// budget errs towards fewer repeats. It is not safe for concurrent use.
type WindowBudget struct {
	config   WindowConfig
	requests [requestSlots]int
	repeats  [windowSlots + 1]int
	// beganAt is when the router started, current the number of the newest piece since.
	beganAt time.Time
	current int64
}

// NewWindowBudget returns a budget that has seen nothing, of a router that started at a time.
func NewWindowBudget(config WindowConfig, startedAt time.Time) *WindowBudget {
	config.GrowthShare = cmp.Or(config.GrowthShare, config.Share)
	return &WindowBudget{config: config, beganAt: startedAt}
}

// Requested counts a request that a client made.
func (b *WindowBudget) Requested(now time.Time) {
	b.advance(now)
	b.requests[b.current%requestSlots]++
}

// Allow reports whether a repeat may leave now, and if so counts it. slack is
// the number of repeats granted in each window without any request; it may be a
// fraction, and may change from call to call.
func (b *WindowBudget) Allow(now time.Time, slack float64) bool {
	requests, repeats := b.Counted(now)
	if float64(repeats+1) > b.earned(requests)+slack {
		return false
	}
	b.repeats[b.current%(windowSlots+1)]++
	return true
}

// earned returns how many of the window's requests may be repeated.
func (b *WindowBudget) earned(requests int) float64 {
	steady := min(requests, b.requestsIn(b.current-windowSlots))
	return b.config.Share*float64(steady) + b.config.GrowthShare*float64(requests-steady)
}

// Counted returns the requests of the window, and the repeats that it may hold.
func (b *WindowBudget) Counted(now time.Time) (requests, repeats int) {
	b.advance(now)
	for slot := range b.repeats {
		repeats += b.repeats[slot]
	}
	return b.requestsIn(b.current), repeats
}

// requestsIn returns the requests of the window whose newest piece is given.
func (b *WindowBudget) requestsIn(newest int64) (requests int) {
	for piece := max(0, newest-windowSlots+1); piece <= newest; piece++ {
		requests += b.requests[piece%requestSlots]
	}
	return requests
}

// advance clears the pieces that the windows have moved past.
func (b *WindowBudget) advance(now time.Time) {
	// The time since the begin does not change when the wall clock is set: that must neither
	// forget repeats that were just granted nor keep requests of long ago.
	piece := int64(now.Sub(b.beganAt) / (b.config.Window / windowSlots))
	if piece <= b.current {
		return
	}
	for step := max(b.current+1, piece-requestSlots+1); step <= piece; step++ {
		b.requests[step%requestSlots] = 0
		b.repeats[step%(windowSlots+1)] = 0
	}
	b.current = piece
}
