package admission

import (
	"cmp"
	"time"
)

// WindowConfig bounds the retries of one service at one router, so that those of all routers
// together stay within a bound in every sliding window.
type WindowConfig struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Share of the window's requests may be retried, up to the number of requests of the
	// previous window.
	Share float64
	// GrowthShare applies to the requests beyond that. Their clients may come from another
	// router or an earlier process of this one, which retried Share of their requests in the
	// same window. Both shares together must not exceed the bound of all routers. Default:
	// Share.
	GrowthShare float64
}

const (
	// windowSlots is the number of slots that a window is counted in; it is even.
	windowSlots = 20
	// retrySlots are one more than the window has, so that a retry is counted until it has left
	// every window that included it.
	retrySlots = windowSlots + 1
	// requestSlots cover the window and the one before it.
	requestSlots = 2*windowSlots + 1
)

// WindowBudget counts requests and retries in a sliding window. It is not safe for concurrent
// use.
//
// Invariant: a retry is granted on requests that count in every window that will include it. In
// each window count the requests of itself, of the window before it or of the one half a window
// before it, whichever has most. Slots that are partly in a window count for retries but not
// for requests, so that the budget errs towards fewer retries.
type WindowBudget struct {
	config   WindowConfig
	requests [requestSlots]int
	retries  [retrySlots]int
	// startedAt is when the router started; currentSlot is the number of the newest slot since.
	startedAt   time.Time
	currentSlot int64
}

// NewWindowBudget returns an empty budget of a router that started at a time.
func NewWindowBudget(config WindowConfig, startedAt time.Time) *WindowBudget {
	config.GrowthShare = cmp.Or(config.GrowthShare, config.Share)
	return &WindowBudget{config: config, startedAt: startedAt}
}

// RecordRequest counts a client's request.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.currentSlot%requestSlots]++
}

// Allow reports whether a retry may be sent now, and if so counts it. slack is the number of
// retries granted in each window without any request; it may be a fraction and vary between
// calls.
func (b *WindowBudget) Allow(now time.Time, slack float64) bool {
	requests, retries := b.Counts(now)
	if float64(retries+1) > b.earned(requests)+slack {
		return false
	}
	b.retries[b.currentSlot%retrySlots]++
	return true
}

// SpareForTrials reports whether less than half of the retries granted now are used, so that an
// attempt that will probably need one may be made. The other half is reserved for unforeseen
// ones.
func (b *WindowBudget) SpareForTrials(now time.Time, slack float64) bool {
	requests, retries := b.Counts(now)
	return float64(2*(retries+1)) <= b.earned(requests)+slack
}

// earned returns how many of the counted requests may be retried.
func (b *WindowBudget) earned(requests int) float64 {
	known := b.history()
	steady := min(requests, known.previousWindow())
	return b.config.Share*float64(steady) + b.config.GrowthShare*float64(requests-steady)
}

// Counts returns the requests that earn retries now, and the retries that count.
func (b *WindowBudget) Counts(now time.Time) (requests, retries int) {
	b.advance(now)
	for _, count := range b.retries {
		retries += count
	}
	known := b.history()
	requests = known.counted(0)
	for later := 1; later <= windowSlots; later++ {
		requests = min(requests, known.counted(later))
	}
	return requests, retries
}

// history has cumulative sums of the requests of the last slots, from the oldest on; the first
// one is 0.
type history [requestSlots + 1]int

// history returns the current sums.
func (b *WindowBudget) history() (sums history) {
	for index := range b.requests {
		slot := b.currentSlot + 1 + int64(index)
		sums[index+1] = sums[index] + b.requests[slot%requestSlots]
	}
	return sums
}

// counted returns the requests so far that count in a window that ends a number of slots later
// than now.
func (h *history) counted(later int) int {
	half := windowSlots / 2
	return max(h.windowUntil(later), h.windowBefore(later-half), h.windowBefore(later-windowSlots))
}

// windowUntil returns the requests of a window that ends now or a number of slots later.
func (h *history) windowUntil(later int) int {
	return h[requestSlots] - h[requestSlots+min(later-windowSlots, 0)]
}

// windowBefore returns the requests of a window that ends within a slot, a number of slots
// after the newest one. Requests of that slot are excluded, as they may be later than its end.
func (h *history) windowBefore(later int) int {
	last := requestSlots + min(later-1, 0)
	return h[last] - h[requestSlots+later-windowSlots]
}

// previousWindow returns the requests of the window before the current one.
func (h *history) previousWindow() int {
	return h[requestSlots-windowSlots] - h[requestSlots-2*windowSlots]
}

// advance clears the slots that have left the window.
func (b *WindowBudget) advance(now time.Time) {
	// The time since the start is monotonic: setting the wall clock must neither drop recent
	// retries nor keep old requests.
	slot := int64(now.Sub(b.startedAt) / (b.config.Window / windowSlots))
	if slot <= b.currentSlot {
		return
	}
	for step := max(b.currentSlot+1, slot-requestSlots+1); step <= slot; step++ {
		b.requests[step%requestSlots] = 0
		b.retries[step%retrySlots] = 0
	}
	b.currentSlot = slot
}
