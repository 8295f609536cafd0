package backend

import (
	"math"
	"time"
)

// prefillRate estimates how fast engines prefill prompts, from the times to the first byte of
// answers. It tracks a low quantile of the time per token, since other delays (other routers'
// requests, cache misses) only add to it.
//
// Each observation moves the estimate by a fixed ratio, further down than up, so that it
// settles at prefillQuantile. It stays within a factor of maxPrefillRatio of its prior.
type prefillRate struct {
	prior, perToken time.Duration
}

const (
	// prefillQuantile is the share of observations that are faster than the estimate.
	prefillQuantile = 0.2
	// prefillStep is the most by which one observation moves the estimate, as a
	// natural logarithm.
	prefillStep = 0.1
	// maxPrefillRatio is the largest ratio of the estimate and its prior, either way.
	maxPrefillRatio = 8
	// minPrefillTokens is the length in tokens of the shortest prompt that is observed: the
	// time of shorter ones is not mainly prefill.
	minPrefillTokens = 1000
	// prefillOverhead is the part of the time to the first byte that is not prefill: the
	// network, and the first step of the engine.
	prefillOverhead = 15 * time.Millisecond
)

func newPrefillRate(prior time.Duration) prefillRate {
	return prefillRate{prior: prior, perToken: prior}
}

// observe records the time to the first byte of a prompt of which tokens had to be prefilled.
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

// estimate returns the time to prefill this many tokens.
func (r *prefillRate) estimate(tokens int) time.Duration { return time.Duration(tokens) * r.perToken }
