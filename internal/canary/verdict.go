package canary

import (
	"fmt"
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
	// othersPrior is what the others may weigh by chance while one back end is broken: in
	// 8 of 300 histories more than 6 without it.
	othersPrior = 3.0
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

// sequential is the verdict by likelihood ratios: it compares the answers of the target
// with those of the other releases in the same seconds, by route.
type sequential struct {
	// parts are the parts of the target that have answered, with their answers.
	parts   []uint32
	answers []uint64
	streams []*stream
	many    many
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
	s.many.weighed(seen.since)
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
	for at := range seen.parts {
		partBad, partAnswers := count(&seen.parts[at].cell)
		s.many.add(s.part(seen.parts[at].part), float64(partBad)-rate*float64(partAnswers))
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
		own.tests[index].add(step, only, without, seen.inherited)
		if kind != slow {
			all.tests[index].add(step, only, without, seen.inherited)
		}
	}
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
		full, left, paused := stream.weight(several, singlePrior)
		if full < guilty || left < guiltyLeft {
			continue
		}
		if !paused || s.many.tooLong() {
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
		full, left, paused := stream.weight(several, doubtPrior)
		if paused && stream.windows < leastWindows {
			// A new holder sees all that came before it in a few windows, and cannot
			// tell a pause from a target that is slow.
			left, paused = full, false
		}
		if left >= limit && !paused {
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
