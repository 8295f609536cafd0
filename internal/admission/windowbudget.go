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

const (
	// windowSlots is the number of pieces a window is counted in; it is even.
	windowSlots = 20
	// repeatSlots are kept of repeats: one piece more than the window, so that a repeat
	// leaves the count only after it has left every window that it lay in.
	repeatSlots = windowSlots + 1
	// requestSlots are kept of requests: the window and the one before it.
	requestSlots = 2*windowSlots + 1
)

// WindowBudget counts requests and repeats in a sliding window. It is not safe for
// concurrent use.
//
// Invariant: a repeat is granted on requests that count in every window that it will lie
// in, whenever that ends. In each one those count that lie in it, in the window before it
// or in the one half a window before it, whichever has most. Pieces that are only in part
// in a window do not count for requests, and count for repeats, so that the budget errs
// towards fewer repeats.
type WindowBudget struct {
	config   WindowConfig
	requests [requestSlots]int
	repeats  [repeatSlots]int
	// beganAt is when the router started, current the number of the newest piece since.
	beganAt time.Time
	current int64
}

// NewWindowBudget returns a budget that has seen nothing, of a router that started at a time.
func NewWindowBudget(config WindowConfig, startedAt time.Time) *WindowBudget {
	config.GrowthShare = cmp.Or(config.GrowthShare, config.Share)
	return &WindowBudget{config: config, beganAt: startedAt}
}

// RecordRequest counts a request that a client made.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.current%requestSlots]++
}

// Allow reports whether a repeat may leave now, and if so counts it. slack is
// the number of repeats granted in each window without any request; it may be a
// fraction, and may change from call to call.
func (b *WindowBudget) Allow(now time.Time, slack float64) bool {
	requests, repeats := b.Counts(now)
	if float64(repeats+1) > b.earned(requests)+slack {
		return false
	}
	b.repeats[b.current%repeatSlots]++
	return true
}

// SpareForTrials reports whether less than half of the repeats that are granted now are used, so
// that something may be tried that is likely to need one. The other half is for what nobody
// foresees.
func (b *WindowBudget) SpareForTrials(now time.Time, slack float64) bool {
	requests, repeats := b.Counts(now)
	return float64(2*(repeats+1)) <= b.earned(requests)+slack
}

// earned returns how many of the requests that count now may be repeated.
func (b *WindowBudget) earned(requests int) float64 {
	known := b.history()
	steady := min(requests, known.formerWindow())
	return b.config.Share*float64(steady) + b.config.GrowthShare*float64(requests-steady)
}

// Counts returns the requests that earn a share of repeats now, and the repeats that the
// window may hold.
func (b *WindowBudget) Counts(now time.Time) (requests, repeats int) {
	b.advance(now)
	for _, count := range b.repeats {
		repeats += count
	}
	known := b.history()
	requests = known.judged(0)
	for later := 1; later <= windowSlots; later++ {
		requests = min(requests, known.judged(later))
	}
	return requests, repeats
}

// history holds sums of the requests of the last pieces, from the oldest on: the first of
// them is 0, and the last one has the newest piece.
type history [requestSlots + 1]int

// history returns the sums of what is known now.
func (b *WindowBudget) history() (sums history) {
	for index := range b.requests {
		piece := b.current + 1 + int64(index)
		sums[index+1] = sums[index] + b.requests[piece%requestSlots]
	}
	return sums
}

// judged returns the requests known so far that count in a window that ends so many pieces
// later than now.
func (h *history) judged(later int) int {
	half := windowSlots / 2
	return max(h.until(later), h.before(later-half), h.before(later-windowSlots))
}

// until returns the requests of a window that ends now or so many pieces later.
func (h *history) until(later int) int {
	return h[requestSlots] - h[requestSlots+min(later-windowSlots, 0)]
}

// before returns the requests of a window that ends within a piece, so many after the newest
// one. Those of the piece itself may have come after its end.
func (h *history) before(later int) int {
	last := requestSlots + min(later-1, 0)
	return h[last] - h[requestSlots+later-windowSlots]
}

// formerWindow returns the requests of the window before the one that ends now.
func (h *history) formerWindow() int {
	return h[requestSlots-windowSlots] - h[requestSlots-2*windowSlots]
}

// advance clears the pieces that the window has moved past.
func (b *WindowBudget) advance(now time.Time) {
	// The time since the begin does not change when the wall clock is set: that must neither
	// forget repeats that were just granted nor keep requests of long ago.
	piece := int64(now.Sub(b.beganAt) / (b.config.Window / windowSlots))
	if piece <= b.current {
		return
	}
	for step := max(b.current+1, piece-requestSlots+1); step <= piece; step++ {
		b.requests[step%requestSlots] = 0
		b.repeats[step%repeatSlots] = 0
	}
	b.current = piece
}
