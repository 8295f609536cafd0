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
	// Share of the window's requests that may be repeated.
	Share float64
	// FirstShare is that of the requests of a router that started less than a window ago:
	// what its former life repeated lies in the same window, and nobody remembers it. Both
	// together must not be above the bound of all routers. Default: Share.
	FirstShare float64
}

// windowSlots is the number of pieces a window is counted in. One piece more
// than the window is kept, so that a repeat leaves the count only after it has
// left every window that it lay in.
const windowSlots = 10

// WindowBudget counts requests and repeats in a sliding window. Requests count
// from the window just past only, repeats from a piece more, so that the
// budget errs towards fewer repeats. It is not safe for concurrent use.
type WindowBudget struct {
	config   WindowConfig
	requests [windowSlots + 1]int
	repeats  [windowSlots + 1]int
	// beganAt is when the router started, current the number of the newest piece since.
	beganAt time.Time
	current int64
}

// NewWindowBudget returns a budget that has seen nothing, of a router that started at a time.
func NewWindowBudget(config WindowConfig, startedAt time.Time) *WindowBudget {
	return &WindowBudget{config: config, beganAt: startedAt}
}

// Requested counts a request that a client made.
func (b *WindowBudget) Requested(now time.Time) {
	b.advance(now)
	b.requests[b.current%(windowSlots+1)]++
}

// Allow reports whether a repeat may leave now, and if so counts it. slack is
// the number of repeats granted in each window without any request; it may be a
// fraction, and may change from call to call.
func (b *WindowBudget) Allow(now time.Time, slack float64) bool {
	requests, repeats := b.Counted(now)
	if float64(repeats+1) > b.share(now)*float64(requests)+slack {
		return false
	}
	b.repeats[b.current%(windowSlots+1)]++
	return true
}

// share returns the part of the window's requests that may be repeated now.
func (b *WindowBudget) share(now time.Time) float64 {
	if now.Sub(b.beganAt) < b.config.Window {
		return cmp.Or(b.config.FirstShare, b.config.Share)
	}
	return b.config.Share
}

// Counted returns the requests of the window, and the repeats that it may hold.
func (b *WindowBudget) Counted(now time.Time) (requests, repeats int) {
	b.advance(now)
	oldest := (b.current + 1) % (windowSlots + 1)
	for slot := range b.requests {
		if int64(slot) != oldest {
			requests += b.requests[slot]
		}
		repeats += b.repeats[slot]
	}
	return requests, repeats
}

// advance clears the pieces that the window has moved past.
func (b *WindowBudget) advance(now time.Time) {
	// The time since the begin does not change when the wall clock is set: that must neither
	// forget repeats that were just granted nor keep requests of long ago.
	piece := int64(now.Sub(b.beganAt) / (b.config.Window / windowSlots))
	if piece <= b.current {
		return
	}
	for step := max(b.current+1, piece-windowSlots); step <= piece; step++ {
		b.requests[step%(windowSlots+1)] = 0
		b.repeats[step%(windowSlots+1)] = 0
	}
	b.current = piece
}
