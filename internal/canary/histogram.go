package canary

import (
	"math"
	"time"
)

const (
	// timeBins is the number of bins of a Histogram. In steps of the square root of two
	// they reach from firstBin to 128 times the predicted time; the last one has no upper
	// end.
	timeBins = 15
	// firstBin is the end of the first bin, as a multiple of the predicted time. It
	// includes all faster answers, so that a new back end without cached prompts does not
	// seem slower than others that have them.
	firstBin = 1
)

// Histogram counts answers by the ratio of their time to the predicted one
// (Sample.Predicted). Trailing empty bins may be omitted.
type Histogram []uint32

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
