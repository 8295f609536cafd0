package canary

import (
	"fmt"
	"slices"
)

// evaluator compares the answers of a target with those of the other releases.
type evaluator interface {
	// addWindow adds one window of a route.
	addWindow(observed *window)
	// rejection returns why the target is bad, or "". With several, the target has more
	// than one back end, and the evidence must come from more than one.
	rejection(several bool) string
	// inconclusive returns why the target cannot be promoted, or "". With last, there is no
	// time for more evidence.
	inconclusive(several, last bool) string
	// insufficient returns which answers are too few to promote the target, or "".
	insufficient() string
	// targetAnswers returns the number of answers of the target.
	targetAnswers() uint64
}

// kind is a way in which an answer is bad.
type kind uint8

const (
	failing kind = iota
	slow
	kinds
)

// kindNames are the names of kinds in reasons.
var kindNames = [kinds]string{failing: "failed", slow: "slow"}

// excessRates are the tested rates of bad answers beyond those of the other releases. The
// higher ones detect worse targets sooner.
var excessRates = [...]float64{0.1, 0.3, 0.8}

const (
	// slowBins is by how many bins a slow answer exceeds the other releases' median: two to
	// three times their time.
	slowBins = 3
	// minFailureRate and minSlowRate are the least rates assumed of any release, so that a
	// few bad answers prove nothing where there were none before.
	minFailureRate, minSlowRate = 0.005, 0.01
	// priorAnswers is the weight, in answers, of the other releases' long-run rate in that
	// of a window; burstPrior replaces it if they exceed the long-run rate by burstSigmas
	// standard deviations.
	priorAnswers = 200.0
	burstPrior   = 10.0
	burstSigmas  = 3.0
	// baselineDecay is the weight of earlier windows in the long-run rate and median.
	baselineDecay = 0.93
	// rejectWeight is the log-likelihood ratio from which a target is bad.
	rejectWeight = 11.0
	// rejectWeightLeft is what must remain of it after discounting that only one back end
	// is broken; rejectSinglePrior is how much less likely that is than a bad target.
	rejectWeightLeft  = 6.0
	rejectSinglePrior = 4.0
	// maxPromoteWeight is the weight below which a target is promoted, maxLastPromoteWeight
	// the same when there is no time for more evidence.
	maxPromoteWeight, maxLastPromoteWeight = 3.0, 4.5
	// restPrior is what the rest may weigh by chance while one back end is broken.
	restPrior = 3.0
	// promoteSinglePrior replaces rejectSinglePrior in the decision to promote.
	promoteSinglePrior = 10.0
	// minLastingWeight is the weight that slow answers need without the two largest
	// windows, as a pause of all back ends in use shows in no more than two.
	minLastingWeight = 2.0
	// minPauseWindows is the number of windows needed to detect a pause.
	minPauseWindows = 6
	// noBaselineRate is the least failure rate assumed while the other releases have fewer
	// than minBaselineAnswers answers in a window.
	noBaselineRate     = 0.05
	minBaselineAnswers = 10
	// noBaselineExcess is the least excess rate tested in such a window.
	noBaselineExcess = 0.3
	// minAnswers is the number of answers needed to promote the target, minRouteAnswers
	// that on each frequent route.
	minAnswers, minRouteAnswers = 30, 8
	// minRouteFraction is the fraction of all answers that makes a route frequent.
	minRouteFraction = 0.1
)

// sequentialEvaluator compares the target with the other releases in the same seconds, by
// route, with sequential likelihood ratio tests.
type sequentialEvaluator struct {
	// groups are the target's back-end groups that answered, answers their counts.
	groups  []uint32
	answers []uint64
	streams []*stream
	excess  excessCounter
	// medians are the decayed times of the other releases by route.
	medians []*median
}

// median tracks the median time of the other releases on a route.
type median struct {
	route string
	times [timeBins]float64
}

// add adds a window of the other releases.
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

// addWindow implements evaluator.
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

// addKind adds one kind of bad answers of a window.
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

// group returns the index of a group, which is added if it is new.
func (s *sequentialEvaluator) group(id uint32) int {
	if index := slices.Index(s.groups, id); index >= 0 {
		return index
	}
	s.groups = append(s.groups, id)
	s.answers = append(s.answers, 0)
	return len(s.groups) - 1
}

// median returns the median of a route, which is added if it is new.
func (s *sequentialEvaluator) median(route string) *median {
	for _, known := range s.medians {
		if known.route == route {
			return known
		}
	}
	s.medians = append(s.medians, &median{route: route})
	return s.medians[len(s.medians)-1]
}

// stream returns the stream of a route and kind, which is added if it is new.
func (s *sequentialEvaluator) stream(route string, kind kind) *stream {
	for _, known := range s.streams {
		if known.route == route && known.kind == kind {
			return known
		}
	}
	s.streams = append(s.streams, &stream{route: route, kind: kind})
	return s.streams[len(s.streams)-1]
}

// rejection implements evaluator.
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

// inconclusive implements evaluator.
func (s *sequentialEvaluator) inconclusive(several, last bool) string {
	limit := maxPromoteWeight
	if last {
		limit = maxLastPromoteWeight
	}
	for _, stream := range s.streams {
		total, left, paused := stream.weight(several, promoteSinglePrior)
		if paused && stream.windows < minPauseWindows {
			// A new holder gets all earlier answers in a few windows, where a pause looks
			// the same as a slow target.
			left, paused = total, false
		}
		if left >= limit && !paused {
			return "in doubt at the end of its observation: " + stream.reason()
		}
	}
	return ""
}

// targetAnswers implements evaluator.
func (s *sequentialEvaluator) targetAnswers() uint64 {
	var sum uint64
	for _, answers := range s.answers {
		sum += answers
	}
	return sum
}

// insufficient implements evaluator.
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
