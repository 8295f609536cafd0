package admission

import "time"

const (
	// floorWindow is the length of each of the two windows that the minimum
	// is kept over.
	floorWindow = 30 * time.Second
	// floorProbes is the number of attempts that end under the lowered limit
	// at the start of a window.
	floorProbes = 16
	// floorProbeDivisor is the part of the limit that is allowed meanwhile.
	floorProbeDivisor = 4
)

// latencyFloor keeps the smallest time to first token of the last 30 to 60
// seconds, in seconds. Under lasting load every sample contains queueing at
// the back end, so the minimum would creep up with the limit; at the start of
// a window the limit is therefore lowered until a few attempts have ended.
type latencyFloor struct {
	current, previous float64
	windowStart       time.Time
	probesLeft        int
}

// observe takes a sample. Only attempts that started under the lowered limit
// count as probes; those already on their way still met the full load.
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

// probing reports whether the limit is to be lowered.
func (f *latencyFloor) probing() bool { return f.probesLeft > 0 }

// lowered returns the limit while probing, and else the limit itself.
func (f *latencyFloor) lowered(limit float64, bounds LimitBounds) int {
	if f.probing() {
		return int(max(float64(bounds.Minimum), limit/floorProbeDivisor))
	}
	return int(limit)
}
