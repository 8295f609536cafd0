package canary

import (
	"fmt"
	"slices"
)

// evaluator weighs the answers of a target against those of the other releases.
type evaluator interface {
	// addWindow takes in one window of a route.
	addWindow(seen *window)
	// rejection returns why the target is bad, or nothing. Several says that the target has
	// more than one back end, so that the evidence has to come from more than one.
	rejection(several bool) string
	// inconclusive returns why the target is not to be promoted, or nothing; last says that
	// there is no time for more evidence.
	inconclusive(several, last bool) string
	// insufficient returns what the target has too few answers of to be promoted, or nothing.
	insufficient() string
	// targetAnswers returns the number of answers of the target.
	targetAnswers() uint64
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

// excessRates are the parts of a bad target's answers that are bad beyond those of the other
// releases, under each of which the evidence is weighed: the least that is to be found in
// the shortest rollouts, and two by which larger ones are found sooner.
var excessRates = [...]float64{0.1, 0.3, 0.8}

const (
	// slowBins is the number of bins by which a slow answer lies above the median of the
	// other releases: two to three times their time.
	slowBins = 3
	// leastRate is the least rate of bad answers that is taken for granted of any release,
	// by kind: a handful of failures is no proof where there were none before.
	minFailureRate, minSlowRate = 0.005, 0.01
	// priorAnswers is the weight of the long-run rate of the other releases in that of a
	// window, in answers; burstPrior is the one for a window in which they had more bad
	// answers than chance explains, by burstSigmas standard deviations.
	priorAnswers = 200.0
	burstPrior   = 10.0
	burstSigmas  = 3.0
	// baselineDecay is the weight that earlier windows keep in the long-run rate and median.
	baselineDecay = 0.93
	// rejectWeight is the logarithm of the likelihood ratio from which a target is bad. Good
	// ones reach it in under 1 in 200 histories (table in the design note).
	rejectWeight = 11.0
	// rejectWeightLeft is what has to be left of it against the chance that one back end of
	// the target is broken, and rejectSinglePrior by how much less likely that is than that
	// the target is bad.
	rejectWeightLeft  = 6.0
	rejectSinglePrior = 4.0
	// doubtful is the one up to which a target is promoted, maxLastPromoteWeight up to which it
	// is when there is no time for more evidence.
	maxPromoteWeight, maxLastPromoteWeight = 3.0, 4.5
	// restPrior is what the others may weigh by chance while one back end is broken: in
	// 8 of 300 histories more than 6 without it.
	restPrior = 3.0
	// promoteSinglePrior is the same when it is asked whether there is doubt.
	promoteSinglePrior = 10.0
	// minLastingWeight is what slow answers have to weigh without the two windows that weigh
	// most: a pause of all back ends in use shows in no more.
	minLastingWeight = 2.0
	// minPauseWindows is the number of windows from which a pause is told from that.
	minPauseWindows = 6
	// noBaselineRate is the least rate of failures that is taken for granted while there are
	// hardly any answers of other releases to compare with, and minBaselineAnswers the number
	// below which that is so.
	noBaselineRate     = 0.05
	minBaselineAnswers = 10
	// noBaselineExcess is the least excess that is looked for then.
	noBaselineExcess = 0.3
	// minAnswers is the number of answers of the target without which it is not
	// promoted, minRouteAnswers that of each route with a tenth of all answers.
	minAnswers, minRouteAnswers = 30, 8
	// minRouteFraction is the part of all answers that makes a route count for that.
	minRouteFraction = 0.1
)

// sequentialEvaluator is the verdict by likelihood ratios: it compares the answers of the target
// with those of the other releases in the same seconds, by route.
type sequentialEvaluator struct {
	// groups are the parts of the target that have answered, with their answers.
	groups  []uint32
	answers []uint64
	streams []*stream
	excess  excessCounter
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
		m.times[bin] = m.times[bin]*baselineDecay + float64(others.times[bin])
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

// addWindow takes in one window of a route.
func (s *sequentialEvaluator) addWindow(observed *window) {
	usual := s.median(observed.route)
	usual.add(&observed.others)
	for index := range observed.groups {
		s.answers[s.group(observed.groups[index].group)] += observed.groups[index].answers
	}
	noBaseline := observed.others.answers < minBaselineAnswers
	s.addKind(observed, failing, noBaseline, func(c *cell) (bad, answers uint64) { return c.failures, c.answers })
	from := usual.bin() + slowBins
	s.addKind(observed, slow, noBaseline, func(c *cell) (bad, answers uint64) {
		return c.slowFrom(from), c.answers - c.failures
	})
	s.excess.update(observed.since)
}

// addKind takes in one kind of bad answers of a window.
func (s *sequentialEvaluator) addKind(observed *window, kind kind, noBaseline bool, count func(*cell) (bad, answers uint64)) {
	routeStream, totalStream := s.stream(observed.route, kind), s.stream("", kind)
	othersBad, others := count(&observed.others)
	rate := routeStream.rate(othersBad, others)
	routeStream.addBaseline(othersBad, others)
	totalStream.addBaseline(othersBad, others)
	if noBaseline && kind == slow {
		return
	}
	if noBaseline {
		rate = max(rate, noBaselineRate)
	}
	target := observed.target()
	bad, answers := count(&target)
	routeStream.targetAnswers, routeStream.targetBad = routeStream.targetAnswers+answers, routeStream.targetBad+bad
	totalStream.targetAnswers, totalStream.targetBad = totalStream.targetAnswers+answers, totalStream.targetBad+bad
	if answers > 0 {
		routeStream.windows++
	}
	for at := range observed.groups {
		groupBad, groupAnswers := count(&observed.groups[at].cell)
		s.excess.add(s.group(observed.groups[at].group), float64(groupBad)-rate*float64(groupAnswers))
	}
	for index, excess := range excessRates {
		if noBaseline && excess < noBaselineExcess {
			continue
		}
		step := logLikelihoodRatio(bad, answers, rate, excess)
		single, rest := make([]float64, len(s.groups)), make([]float64, len(s.groups))
		for group := range rest {
			rest[group] = step
		}
		for at := range observed.groups {
			group := s.group(observed.groups[at].group)
			groupBad, groupAnswers := count(&observed.groups[at].cell)
			single[group] = logLikelihoodRatio(groupBad, groupAnswers, rate, excess)
			rest[group] = logLikelihoodRatio(bad-groupBad, answers-groupAnswers, rate, excess)
		}
		routeStream.tests[index].add(step, single, rest, observed.inherited)
		if kind != slow {
			totalStream.tests[index].add(step, single, rest, observed.inherited)
		}
	}
}

// group returns the index of a part, which is added if it is new.
func (s *sequentialEvaluator) group(id uint32) int {
	if index := slices.Index(s.groups, id); index >= 0 {
		return index
	}
	s.groups = append(s.groups, id)
	s.answers = append(s.answers, 0)
	return len(s.groups) - 1
}

// median returns the usual time of a route.
func (s *sequentialEvaluator) median(route string) *median {
	for _, known := range s.medians {
		if known.route == route {
			return known
		}
	}
	s.medians = append(s.medians, &median{route: route})
	return s.medians[len(s.medians)-1]
}

// stream returns the stream of a route and kind.
func (s *sequentialEvaluator) stream(route string, kind kind) *stream {
	for _, known := range s.streams {
		if known.route == route && known.kind == kind {
			return known
		}
	}
	s.streams = append(s.streams, &stream{route: route, kind: kind})
	return s.streams[len(s.streams)-1]
}

// rejection implements verdict.
func (s *sequentialEvaluator) rejection(several bool) string {
	for _, stream := range s.streams {
		total, left, paused := stream.weight(several, rejectSinglePrior)
		if total < rejectWeight || left < rejectWeightLeft {
			continue
		}
		if !paused || s.excess.expired() {
			return stream.reason()
		}
	}
	return ""
}

// inconclusive implements verdict.
func (s *sequentialEvaluator) inconclusive(several, last bool) string {
	limit := maxPromoteWeight
	if last {
		limit = maxLastPromoteWeight
	}
	for _, stream := range s.streams {
		total, left, paused := stream.weight(several, promoteSinglePrior)
		if paused && stream.windows < minPauseWindows {
			// A new holder sees all that came before it in a few windows, and cannot
			// tell a pause from a target that is slow.
			left, paused = total, false
		}
		if left >= limit && !paused {
			return "in doubt at the end of its observation: " + stream.reason()
		}
	}
	return ""
}

// targetAnswers implements verdict.
func (s *sequentialEvaluator) targetAnswers() uint64 {
	var sum uint64
	for _, answers := range s.answers {
		sum += answers
	}
	return sum
}

// insufficient implements verdict.
func (s *sequentialEvaluator) insufficient() string {
	if total := s.targetAnswers(); total < minAnswers {
		return fmt.Sprintf("too little evidence: %d answers of the target", total)
	}
	all := s.stream("", failing)
	for _, stream := range s.streams {
		if stream.kind != failing || stream.route == "" {
			continue
		}
		counts := float64(stream.othersAnswers) >= minRouteFraction*float64(all.othersAnswers)
		if counts && stream.targetAnswers < minRouteAnswers {
			return fmt.Sprintf("too little evidence: %d answers of the target on route %s", stream.targetAnswers, stream.route)
		}
	}
	return ""
}
