package canary

import (
	"fmt"
	"math"
	"slices"
)

// test weighs whether a target has an excess of bad answers from some moment on: a
// cumulative sum of the logarithms of likelihood ratios that never falls below zero.
type test struct {
	full float64
	// only is the same for each part of the target by itself, without for all but it.
	only, without []float64
	// largest are the two windows that have added most since the sum was zero.
	largest [2]float64
}

// stream weighs one kind of bad answers on one route, or on all together.
type stream struct {
	route string
	kind  kind
	// answers and bad are those of the other releases, earlier ones counting less.
	answers, bad float64
	// targetAnswers and targetBad, othersAnswers and othersBad are counts for reasons.
	targetAnswers, targetBad, othersAnswers, othersBad uint64
	// windows is the number of windows with answers of the target.
	windows int
	tests   [len(excesses)]test
}

// evidenceOf returns the logarithm of the ratio of how likely some bad answers are if the
// target has an excess of them, and if it has the rate of the other releases.
func evidenceOf(bad, answers uint64, rate, excess float64) float64 {
	higher := rate + excess*(1-rate)
	good := float64(answers - bad)
	return float64(bad)*math.Log(higher/rate) + good*math.Log((1-higher)/(1-rate))
}

// add takes in the weights of one window. One that is inherited from an earlier holder covers
// a longer time.
func (t *test) add(full float64, only, without []float64, inherited bool) {
	for len(t.only) < len(only) {
		// A part that is new has added nothing so far.
		t.only, t.without = append(t.only, 0), append(t.without, t.full)
	}
	t.full = max(0, t.full+full)
	for part := range only {
		t.only[part] = max(0, t.only[part]+only[part])
		t.without[part] = max(0, t.without[part]+without[part])
	}
	switch {
	case t.full == 0:
		t.largest = [2]float64{}
	case inherited:
	case full > t.largest[0]:
		t.largest = [2]float64{full, t.largest[0]}
	case full > t.largest[1]:
		t.largest[1] = full
	}
}

// lasting returns the weight without the two windows that weigh most.
func (t *test) lasting() float64 { return t.full - t.largest[0] - t.largest[1] }

// weight returns the most weight against the target of all tests, and how much of it is
// left when it is held against the chance that one of its back ends is broken, which is
// less likely by prior: what counts is by how much the weight exceeds the one against that
// back end alone, or what the others weigh without it, less what chance may add to that.
// Paused says that slow answers came
// within so short a time that all back ends may have paused once, as when they load
// weights.
func (s *stream) weight(several bool, prior float64) (full, left float64, paused bool) {
	single, others, lasting := 0.0, 0.0, 0.0
	for index := range s.tests {
		test := &s.tests[index]
		full = max(full, test.full)
		lasting = max(lasting, test.lasting())
		if len(test.only) > 0 {
			single = max(single, slices.Max(test.only))
			others = max(others, slices.Min(test.without))
		}
	}
	left = full
	if several {
		left = max(full-max(0, single-prior), others-othersPrior)
	}
	return full, left, s.kind == slow && lasting < leastLasting
}

// rate returns the rate of bad answers of the other releases in a window.
func (s *stream) rate(bad, answers uint64) float64 {
	least := leastFailing
	if s.kind == slow {
		least = leastSlow
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

// learn adds a window of the other releases to their long-run rate.
func (s *stream) learn(bad, answers uint64) {
	s.answers = s.answers*decay + float64(answers)
	s.bad = s.bad*decay + float64(bad)
	s.othersAnswers += answers
	s.othersBad += bad
}

// reason says what the stream has counted.
func (s *stream) reason() string {
	route := "all routes"
	if s.route != "" {
		route = "route " + s.route
	}
	return fmt.Sprintf("%s: %d of %d answers %s, %d of %d of other releases",
		route, s.targetBad, s.targetAnswers, kindNames[s.kind], s.othersBad, s.othersAnswers)
}
