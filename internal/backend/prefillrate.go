package backend

import (
	"math"
	"time"
)

// prefillRate learns how fast engines read prompts, from the times to the first byte
// of answers: a low quantile of the time per token, since whatever else delays an
// answer (other routers' requests, a part that was not kept) only adds to it.
//
// The estimate moves by a fixed ratio with each observation, down further than up,
// so that it settles where one in five observations is faster. It stays within a
// factor of maxPrefillRatio of its prior.
type prefillRate struct {
	prior, perToken time.Duration
}

const (
	// prefillQuantile is the part of observations that are faster than the estimate.
	prefillQuantile = 0.2
	// prefillStep is the most by which one observation moves the estimate, as a
	// natural logarithm.
	prefillStep = 0.1
	// maxPrefillRatio is the largest ratio of the estimate and its prior, either way.
	maxPrefillRatio = 8
	// minPrefillTokens is the length of the shortest prompt, in tokens, that is looked
	// at: with short ones the time does not come from reading.
	minPrefillTokens = 1000
	// prefillOverhead is the part of the time to the first byte that is no reading:
	// ways, and the first step of the engine.
	prefillOverhead = 15 * time.Millisecond
)

func newPrefillRate(prior time.Duration) prefillRate {
	return prefillRate{prior: prior, perToken: prior}
}

// observe takes in the time to the first byte of a prompt of which tokens had to
// be read.
func (r *prefillRate) observe(tokens int, took time.Duration) {
	if tokens < minPrefillTokens || took <= prefillOverhead {
		return
	}
	observed := (took - prefillOverhead) / time.Duration(tokens)
	step := prefillStep * prefillQuantile
	if observed < r.perToken {
		step = -prefillStep * (1 - prefillQuantile)
	}
	moved := time.Duration(float64(r.perToken) * math.Exp(step))
	r.perToken = min(max(moved, r.prior/maxPrefillRatio), r.prior*maxPrefillRatio)
}

// estimate returns the time to read so many tokens.
func (r *prefillRate) estimate(tokens int) time.Duration { return time.Duration(tokens) * r.perToken }
