package admission

import "time"

const (
	// floorWindow is the length of each of the two windows of the minimum.
	floorWindow = 30 * time.Second
	// floorProbes is the number of attempts under the lowered limit at the start of a window.
	floorProbes = 16
	// floorProbeDivisor divides the limit during probing.
	floorProbeDivisor = 4
)

// latencyFloor is the smallest time to first token of the last 30 to 60 seconds, in seconds.
// Under permanent load all samples include queueing at the back end and the minimum would rise
// with the limit, so the limit is lowered at the start of each window until a few attempts have
// ended.
type latencyFloor struct {
	current, previous float64
	windowStart       time.Time
	probesLeft        int
}

// observe adds a sample. Attempts that started before the limit was lowered are no probes.
func (f *latencyFloor) observe(now time.Time, sample Sample) {
	latency := sample.TimeToFirstToken.Seconds()
	if f.windowStart.IsZero() {
		f.windowStart = now
	}
	if now.Sub(f.windowStart) >= floorWindow {
		f.previous, f.current = f.current, 0
		f.windowStart = now
		f.probesLeft = floorProbes
	}
	if f.probing() && !now.Add(-sample.ServiceTime).Before(f.windowStart) {
		f.probesLeft--
	}
	if f.current == 0 || latency < f.current {
		f.current = latency
	}
}

func (f *latencyFloor) minimum() float64 {
	if f.previous > 0 {
		return min(f.previous, f.current)
	}
	return f.current
}

// probing reports whether the limit is lowered.
func (f *latencyFloor) probing() bool { return f.probesLeft > 0 }

// lowered returns the limit, lowered while probing.
func (f *latencyFloor) lowered(limit float64, bounds LimitBounds) int {
	if f.probing() {
		return int(max(float64(bounds.Minimum), limit/floorProbeDivisor))
	}
	return int(limit)
}
