package canary

import (
	"fmt"
	"math"
	"slices"
)

// cusum is a cumulative sum of log-likelihood ratios that never falls below zero. It
// detects an excess of bad answers that begins at any time.
type cusum struct {
	total float64
	// single is the same sum for each group of the target alone, rest for all but it.
	single, rest []float64
	// largest are the two largest windows since the sum was zero.
	largest [2]float64
}

// stream weighs one kind of bad answers on one route, or on all together.
type stream struct {
	route string
	kind  kind
	// answers and bad are decayed counts of the other releases.
	answers, bad float64
	// targetAnswers and targetBad, othersAnswers and othersBad are counts for reasons.
	targetAnswers, targetBad, othersAnswers, othersBad uint64
	// windows is the number of windows with answers of the target.
	windows int
	tests   [len(excessRates)]cusum
}

// logLikelihoodRatio compares the likelihoods of some bad answers with an excess rate and
// at the other releases' rate.
func logLikelihoodRatio(bad, answers uint64, rate, excess float64) float64 {
	higher := rate + excess*(1-rate)
	good := float64(answers - bad)
	return float64(bad)*math.Log(higher/rate) + good*math.Log((1-higher)/(1-rate))
}

// add adds the weights of one window. An inherited one covers a longer time, and is never
// among the largest.
func (c *cusum) add(total float64, single, rest []float64, inherited bool) {
	for len(c.single) < len(single) {
		// A new group has added nothing so far.
		c.single, c.rest = append(c.single, 0), append(c.rest, c.total)
	}
	c.total = max(0, c.total+total)
	for group := range single {
		c.single[group] = max(0, c.single[group]+single[group])
		c.rest[group] = max(0, c.rest[group]+rest[group])
	}
	switch {
	case c.total == 0:
		c.largest = [2]float64{}
	case inherited:
	case total > c.largest[0]:
		c.largest = [2]float64{total, c.largest[0]}
	case total > c.largest[1]:
		c.largest[1] = total
	}
}

// withoutLargest returns the weight without the two largest windows.
func (c *cusum) withoutLargest() float64 { return c.total - c.largest[0] - c.largest[1] }

// weight returns the greatest weight of all tests against the target, and how much of it is
// left after discounting that only one back end is broken, which is less likely by prior:
// its excess over the weight against that back end alone, or the weight of the rest less
// what chance may add. Paused is set if slow answers came in so short a time that all back
// ends may have paused once, as when they load weights.
func (s *stream) weight(several bool, prior float64) (total, left float64, paused bool) {
	single, rest, lasting := 0.0, 0.0, 0.0
	for index := range s.tests {
		test := &s.tests[index]
		total = max(total, test.total)
		lasting = max(lasting, test.withoutLargest())
		if len(test.single) > 0 {
			single = max(single, slices.Max(test.single))
			rest = max(rest, slices.Min(test.rest))
		}
	}
	left = total
	if several {
		left = max(total-max(0, single-prior), rest-restPrior)
	}
	return total, left, s.kind == slow && lasting < minLastingWeight
}

// rate returns the rate of bad answers of the other releases in a window.
func (s *stream) rate(bad, answers uint64) float64 {
	least := minFailureRate
	if s.kind == slow {
		least = minSlowRate
	}
	usual := least
	if s.answers > 0 {
		usual = s.bad / s.answers
	}
	prior := priorAnswers
	if expected := float64(answers) * usual; float64(bad) > expected+burstSigmas*math.Sqrt(expected)+1 {
		prior = burstPrior
	}
	rate := (float64(bad) + prior*usual) / (float64(answers) + prior)
	return min(max(rate, least), 1-least)
}

// addBaseline adds a window of the other releases to their long-run rate.
func (s *stream) addBaseline(bad, answers uint64) {
	s.answers = s.answers*baselineDecay + float64(answers)
	s.bad = s.bad*baselineDecay + float64(bad)
	s.othersAnswers += answers
	s.othersBad += bad
}

// reason describes the stream's counts.
func (s *stream) reason() string {
	route := "all routes"
	if s.route != "" {
		route = "route " + s.route
	}
	return fmt.Sprintf("%s: %d of %d answers %s, %d of %d of other releases",
		route, s.targetBad, s.targetAnswers, kindNames[s.kind], s.othersBad, s.othersAnswers)
}
