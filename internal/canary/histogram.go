package canary

import (
	"math"
	"time"
)

const (
	// timeBins is the number of bins of a Histogram. With steps of the square root of two
	// they reach from firstBin to 128 times the predicted time; what lies beyond falls
	// into the last one.
	timeBins = 15
	// firstBin is the end of the first bin, as a multiple of the predicted time. What is
	// faster counts as equally fast: answers that make use of a cached prompt come in a
	// third of the time that is predicted without one, and those of a new back end, which
	// has none cached, are no slower for that.
	firstBin = 1
)

// Histogram counts answers by the time that they took, in bins of its ratio to the time
// that was predicted for them (Sample.Predicted). Bins at its end that are empty may be
// missing.
type Histogram []uint32

// add counts one answer.
func (h *Histogram) add(elapsed, predicted time.Duration) {
	bin := timeBin(elapsed, predicted)
	for len(*h) <= bin {
		*h = append(*h, 0)
	}
	(*h)[bin]++
}

// timeBin returns the bin of an answer.
func timeBin(elapsed, predicted time.Duration) int {
	if predicted <= 0 || elapsed <= 0 {
		return 0
	}
	ratio := elapsed.Seconds() / predicted.Seconds()
	bin := math.Ceil(2 * math.Log2(ratio/firstBin))
	return int(min(max(bin, 0), timeBins-1))
}

// at returns the count of a bin.
func (h Histogram) at(bin int) uint32 {
	if bin >= len(h) {
		return 0
	}
	return h[bin]
}

// total returns the number of answers in all bins.
func (h Histogram) total() uint64 {
	var sum uint64
	for _, count := range h {
		sum += uint64(count)
	}
	return sum
}
