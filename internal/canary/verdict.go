package canary

import (
	"fmt"
	"math"
	"slices"
)

// verdict weighs the answers of a target against those of the other releases.
type verdict interface {
	// weigh takes in one window of a route.
	weigh(seen *window)
	// bad returns why the target is bad, or nothing. Several says that the target has
	// more than one back end, so that the evidence has to come from more than one.
	bad(several bool) string
	// doubt returns why the target is not to be promoted, or nothing; last says that
	// there is no time for more evidence.
	doubt(several, last bool) string
	// scarce returns what the target has too few answers of to be promoted, or nothing.
	scarce() string
	// total returns the number of answers of the target.
	total() uint64
}

// kind says what is bad of an answer.
type kind uint8

const (
	failing kind = iota
	slow
	kinds
)

// kindNames are the names of kinds in reasons.
var kindNames = [kinds]string{failing: "failed", slow: "slow"}

// excesses are the parts of a bad target's answers that are bad beyond those of the other
// releases, under each of which the evidence is weighed: the least that is to be found in
// the shortest rollouts, and two by which larger ones are found sooner.
var excesses = [...]float64{0.1, 0.3, 0.8}

const (
	// slowBins is the number of bins by which a slow answer lies above the median of the
	// other releases: two to three times their time.
	slowBins = 3
	// leastRate is the least rate of bad answers that is taken for granted of any release,
	// by kind: a handful of failures is no proof where there were none before.
	leastFailing, leastSlow = 0.005, 0.01
	// priorAnswers is the weight of the long-run rate of the other releases in that of a
	// window, in answers; burstPrior is the one for a window in which they had more bad
	// answers than chance explains, by burstSigmas standard deviations.
	priorAnswers = 200.0
	burstPrior   = 10.0
	burstSigmas  = 3.0
	// decay is the weight that earlier windows keep in the long-run rate and median.
	decay = 0.93
	// guilty is the logarithm of the likelihood ratio from which a target is bad. Good
	// ones reach it in under 1 in 200 histories (table in the design note).
	guilty = 11.0
	// guiltyLeft is what has to be left of it against the chance that one back end of
	// the target is broken, and singlePrior by how much less likely that is than that
	// the target is bad.
	guiltyLeft  = 6.0
	singlePrior = 4.0
	// doubtful is the one up to which a target is promoted, doubtfulAtLast up to which it
	// is when there is no time for more evidence.
	doubtful, doubtfulAtLast = 3.0, 4.5
	// doubtPrior is the same when it is asked whether there is doubt.
	doubtPrior = 10.0
	// leastLasting is what slow answers have to weigh without the two windows that weigh
	// most: a pause of all back ends in use shows in no more.
	leastLasting = 2.0
	// leastWindows is the number of windows from which a pause is told from that.
	leastWindows = 6
	// aloneRate is the least rate of failures that is taken for granted while there are
	// hardly any answers of other releases to compare with, and aloneAnswers the number
	// below which that is so.
	aloneRate    = 0.05
	aloneAnswers = 10
	// aloneExcess is the least excess that is looked for then.
	aloneExcess = 0.3
	// leastAnswers is the number of answers of the target without which it is not
	// promoted, leastRouteAnswers that of each route with a tenth of all answers.
	leastAnswers, leastRouteAnswers = 30, 8
	// routePart is the part of all answers that makes a route count for that.
	routePart = 0.1
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

// sequential is the verdict by likelihood ratios: it compares the answers of the target
// with those of the other releases in the same seconds, by route.
type sequential struct {
	// parts are the parts of the target that have answered, with their answers.
	parts   []uint32
	answers []uint64
	streams []*stream
	// medians are the decayed times of the other releases by route.
	medians []*median
}

// median follows the usual time of a route's answers by other releases.
type median struct {
	route string
	times [timeBins]float64
}

// add takes in a window of other releases.
func (m *median) add(others *cell) {
	for bin := range m.times {
		m.times[bin] = m.times[bin]*decay + float64(others.times[bin])
	}
}

// bin returns the bin of the median.
func (m *median) bin() int {
	total := 0.0
	for _, count := range m.times {
		total += count
	}
	sum := 0.0
	for bin, count := range m.times {
		sum += count
		if sum >= total/2 {
			return bin
		}
	}
	return 0
}

// weigh takes in one window of a route.
func (s *sequential) weigh(seen *window) {
	usual := s.median(seen.route)
	usual.add(&seen.others)
	for index := range seen.parts {
		s.answers[s.part(seen.parts[index].part)] += seen.parts[index].answers
	}
	alone := seen.others.answers < aloneAnswers
	s.weighKind(seen, failing, alone, func(c *cell) (bad, answers uint64) { return c.failures, c.answers })
	from := usual.bin() + slowBins
	s.weighKind(seen, slow, alone, func(c *cell) (bad, answers uint64) {
		return c.slowFrom(from), c.answers - c.failures
	})
}

// weighKind takes in one kind of bad answers of a window.
func (s *sequential) weighKind(seen *window, kind kind, alone bool, count func(*cell) (bad, answers uint64)) {
	own, all := s.stream(seen.route, kind), s.stream("", kind)
	othersBad, others := count(&seen.others)
	rate := own.rate(othersBad, others)
	own.learn(othersBad, others)
	all.learn(othersBad, others)
	if alone && kind == slow {
		return
	}
	if alone {
		rate = max(rate, aloneRate)
	}
	target := seen.target()
	bad, answers := count(&target)
	own.targetAnswers, own.targetBad = own.targetAnswers+answers, own.targetBad+bad
	all.targetAnswers, all.targetBad = all.targetAnswers+answers, all.targetBad+bad
	if answers > 0 {
		own.windows++
	}
	for index, excess := range excesses {
		if alone && excess < aloneExcess {
			continue
		}
		step := evidenceOf(bad, answers, rate, excess)
		only, without := make([]float64, len(s.parts)), make([]float64, len(s.parts))
		for part := range without {
			without[part] = step
		}
		for at := range seen.parts {
			part := s.part(seen.parts[at].part)
			partBad, partAnswers := count(&seen.parts[at].cell)
			only[part] = evidenceOf(partBad, partAnswers, rate, excess)
			without[part] = evidenceOf(bad-partBad, answers-partAnswers, rate, excess)
		}
		own.tests[index].add(step, only, without, seen.carried)
		if kind != slow {
			all.tests[index].add(step, only, without, seen.carried)
		}
	}
}

// evidenceOf returns the logarithm of the ratio of how likely some bad answers are if the
// target has an excess of them, and if it has the rate of the other releases.
func evidenceOf(bad, answers uint64, rate, excess float64) float64 {
	higher := rate + excess*(1-rate)
	good := float64(answers - bad)
	return float64(bad)*math.Log(higher/rate) + good*math.Log((1-higher)/(1-rate))
}

// add takes in the weights of one window. One that a former holder has left tells of its
// whole time, so that a pause does not explain it.
func (t *test) add(full float64, only, without []float64, carried bool) {
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
	case carried:
	case full > t.largest[0]:
		t.largest = [2]float64{full, t.largest[0]}
	case full > t.largest[1]:
		t.largest[1] = full
	}
}

// lasting returns the weight without the two windows that weigh most.
func (t *test) lasting() float64 { return t.full - t.largest[0] - t.largest[1] }

// weight returns the most weight against the target of all tests, and how much of it is
// left when it is held against other causes: that one of its back ends is broken, which
// is less likely by prior, so that what counts is by how much the weight exceeds the one
// against that back end alone, or what the others weigh without it; and, for slow
// answers, that all paused once, as when they load weights.
func (s *stream) weight(several bool, prior float64) (full, left float64) {
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
		left = max(full-max(0, single-prior), others)
	}
	if s.kind == slow && lasting < leastLasting {
		left = 0
	}
	return full, left
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

// part returns the index of a part, which is added if it is new.
func (s *sequential) part(part uint32) int {
	if index := slices.Index(s.parts, part); index >= 0 {
		return index
	}
	s.parts = append(s.parts, part)
	s.answers = append(s.answers, 0)
	return len(s.parts) - 1
}

// median returns the usual time of a route.
func (s *sequential) median(route string) *median {
	for _, known := range s.medians {
		if known.route == route {
			return known
		}
	}
	s.medians = append(s.medians, &median{route: route})
	return s.medians[len(s.medians)-1]
}

// stream returns the stream of a route and kind.
func (s *sequential) stream(route string, kind kind) *stream {
	for _, known := range s.streams {
		if known.route == route && known.kind == kind {
			return known
		}
	}
	s.streams = append(s.streams, &stream{route: route, kind: kind})
	return s.streams[len(s.streams)-1]
}

// bad implements verdict.
func (s *sequential) bad(several bool) string {
	for _, stream := range s.streams {
		if full, left := stream.weight(several, singlePrior); full >= guilty && left >= guiltyLeft {
			return stream.reason()
		}
	}
	return ""
}

// doubt implements verdict.
func (s *sequential) doubt(several, last bool) string {
	limit := doubtful
	if last {
		limit = doubtfulAtLast
	}
	for _, stream := range s.streams {
		full, left := stream.weight(several, doubtPrior)
		if stream.kind == slow && stream.windows < leastWindows {
			// A new holder sees all that came before it in a few windows, and cannot
			// tell a pause from a target that is slow.
			left = full
		}
		if left >= limit {
			return "in doubt at the end of its observation: " + stream.reason()
		}
	}
	return ""
}

// total implements verdict.
func (s *sequential) total() uint64 {
	var sum uint64
	for _, answers := range s.answers {
		sum += answers
	}
	return sum
}

// scarce implements verdict.
func (s *sequential) scarce() string {
	if total := s.total(); total < leastAnswers {
		return fmt.Sprintf("too little evidence: %d answers of the target", total)
	}
	all := s.stream("", failing)
	for _, stream := range s.streams {
		if stream.kind != failing || stream.route == "" {
			continue
		}
		counts := float64(stream.othersAnswers) >= routePart*float64(all.othersAnswers)
		if counts && stream.targetAnswers < leastRouteAnswers {
			return fmt.Sprintf("too little evidence: %d answers of the target on route %s", stream.targetAnswers, stream.route)
		}
	}
	return ""
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
