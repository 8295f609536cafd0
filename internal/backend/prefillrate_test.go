package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Whatever the prior, the estimate converges to the true rate although three answers in four
// are delayed by something else.
func TestPrefillRateConverges(t *testing.T) {
	const prior = 26 * time.Microsecond
	tests := []struct {
		name string
		rate time.Duration
	}{
		{"a third of the prior", 9 * time.Microsecond},
		{"as the prior", prior},
		{"twice the prior", 52 * time.Microsecond},
		{"four times the prior", 104 * time.Microsecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			rate := newPrefillRate(prior)
			for range 400 {
				tokens := 1000 + random.IntN(4000)
				took := prefillOverhead + time.Duration(tokens)*tt.rate
				if random.IntN(4) > 0 {
					took += time.Duration(random.IntN(200)) * time.Millisecond
				}
				rate.observe(tokens, took)
			}
			is.True(rate.perToken > tt.rate*8/10)
			is.True(rate.perToken < tt.rate*14/10)
		})
	}
}

func TestPrefillRateIsRobust(t *testing.T) {
	const prior = 20 * time.Microsecond
	tests := []struct {
		name   string
		tokens int
		took   time.Duration
		times  int
		least  time.Duration
		most   time.Duration
	}{
		{"a short prompt", 999, time.Second, 50, prior, prior},
		{"an answer within the overhead", 5000, prefillOverhead, 50, prior, prior},
		{"one answer", 5000, time.Hour, 1, prior, prior * 103 / 100},
		{"very slow answers", 5000, time.Hour, 5000, prior * maxPrefillRatio, prior * maxPrefillRatio},
		{"very fast answers", 5000, prefillOverhead + 1, 5000, prior / maxPrefillRatio, prior / maxPrefillRatio},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rate := newPrefillRate(prior)
			for range tt.times {
				rate.observe(tt.tokens, tt.took)
			}
			is.True(rate.perToken >= tt.least)
			is.True(rate.perToken <= tt.most)
		})
	}
}
