package backend

import (
	"math"
	"time"
)

// reading learns how fast engines read prompts, from the times to the first byte
// of answers: a low quantile of the time per token, since whatever else delays an
// answer (other routers' requests, a part that was not kept) only adds to it.
//
// The estimate moves by a fixed ratio with each observation, down further than up,
// so that it settles where one in five observations is faster. It stays within a
// factor of readingBound of its prior.
type reading struct {
	prior, perToken time.Duration
}

const (
	// readingQuantile is the part of observations that are faster than the estimate.
	readingQuantile = 0.2
	// readingStep is the most by which one observation moves the estimate, as a
	// natural logarithm.
	readingStep = 0.1
	// readingBound is the largest ratio of the estimate and its prior, either way.
	readingBound = 8
	// readingLeast is the length of the shortest prompt, in tokens, that is looked
	// at: with short ones the time does not come from reading.
	readingLeast = 1000
	// readingBase is the part of the time to the first byte that is no reading:
	// ways, and the first step of the engine.
	readingBase = 15 * time.Millisecond
)

func newReading(prior time.Duration) reading {
	return reading{prior: prior, perToken: prior}
}

// observe takes in the time to the first byte of a prompt of which tokens had to
// be read.
func (r *reading) observe(tokens int, took time.Duration) {
	if tokens < readingLeast || took <= readingBase {
		return
	}
	seen := (took - readingBase) / time.Duration(tokens)
	step := readingStep * readingQuantile
	if seen < r.perToken {
		step = -readingStep * (1 - readingQuantile)
	}
	moved := time.Duration(float64(r.perToken) * math.Exp(step))
	r.perToken = min(max(moved, r.prior/readingBound), r.prior*readingBound)
}

// of returns the time to read so many tokens.
func (r *reading) of(tokens int) time.Duration { return time.Duration(tokens) * r.perToken }
