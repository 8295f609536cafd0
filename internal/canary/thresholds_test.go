package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// thresholds is an alternative evaluator: it compares the rates of a route's last windows
// with fixed limits.
type thresholds struct {
	routes   []*thresholdRoute
	answered uint64
}

type thresholdRoute struct {
	route   string
	windows []*window
}

const (
	thresholdWindows = 6
	thresholdAnswers = 20
	thresholdBad     = 4
	thresholdExcess  = 0.08
)

func (v *thresholds) addWindow(observed *window) {
	target := observed.target()
	v.answered += target.answers
	for _, known := range v.routes {
		if known.route == observed.route {
			known.windows = append(known.windows, observed)
			known.windows = known.windows[max(0, len(known.windows)-thresholdWindows):]
			return
		}
	}
	v.routes = append(v.routes, &thresholdRoute{route: observed.route, windows: []*window{observed}})
}

func (v *thresholds) rejection(several bool) string {
	for _, route := range v.routes {
		if route.exceeds(several) {
			return "over the threshold on route " + route.route
		}
	}
	return ""
}

// exceeds reports whether the rate of failures or slow answers is too high over the last
// windows, also without any one group of the target.
func (r *thresholdRoute) exceeds(several bool) bool {
	var others, target cell
	groups := map[uint32]*cell{}
	for _, observed := range r.windows {
		merge(&others, &observed.others)
		for index := range observed.groups {
			group := observed.groups[index].group
			if groups[group] == nil {
				groups[group] = &cell{}
			}
			merge(groups[group], &observed.groups[index].cell)
			merge(&target, &observed.groups[index].cell)
		}
	}
	usual := median{}
	usual.add(&others)
	from := usual.bin() + slowBins
	over := func(bad, answers, othersBad, othersAnswers uint64) bool {
		if answers < thresholdAnswers || bad < thresholdBad {
			return false
		}
		rate := float64(othersBad) / float64(max(othersAnswers, 1))
		return float64(bad)/float64(answers) > rate+thresholdExcess
	}
	exceeds := func(c *cell) bool {
		return over(c.failures, c.answers, others.failures, others.answers) ||
			over(c.slowFrom(from), c.answers, others.slowFrom(from), others.answers)
	}
	if !exceeds(&target) {
		return false
	}
	if !several {
		return true
	}
	for _, group := range groups {
		rest := target
		rest.answers -= group.answers
		rest.failures -= group.failures
		for bin := range rest.times {
			rest.times[bin] -= group.times[bin]
		}
		if rest.answers >= thresholdAnswers && !exceeds(&rest) {
			return false
		}
	}
	return true
}

func merge(sum, more *cell) {
	sum.answers += more.answers
	sum.failures += more.failures
	for bin := range sum.times {
		sum.times[bin] += more.times[bin]
	}
}

func (v *thresholds) inconclusive(bool, bool) string { return "" }

func (v *thresholds) insufficient() string {
	if v.answered < minAnswers {
		return fmt.Sprintf("%d answers", v.answered)
	}
	return ""
}

func (v *thresholds) targetAnswers() uint64 { return v.answered }

// defaultCompared is the default number of histories of a bad and of a good target for each
// evaluator.
const defaultCompared = 2

// TestCompareEvaluators logs the outcomes of the same histories under both evaluators; the
// one in use must violate no bound. FIELDPOND_CANARY_HISTORIES sets how many are played.
func TestCompareEvaluators(t *testing.T) {
	perKind, good := historyCount(0), len(disturbances)*historyCount(0)
	kinds := badKinds
	if perKind == 0 {
		perKind, good, kinds = defaultCompared, defaultCompared, badKinds[:1]
	}
	evaluators := []struct {
		name  string
		make  func() evaluator
		judge func(got *outcomes, name string)
	}{
		{"likelihood ratios", nil, func(got *outcomes, name string) { got.report(t, name) }},
		// Promoting a bad target violates the bound after its 50th bad answer.
		{"thresholds", func() evaluator { return &thresholds{} }, func(got *outcomes, name string) { t.Logf("%s: %v", name, got) }},
	}
	for _, tt := range evaluators {
		for _, bad := range kinds {
			got := playAll(perKind, func(seed uint64) (history, string) {
				h, name := drawBad(seed, bad)
				h.hooks.newEvaluator = tt.make
				return h, name
			})
			tt.judge(got, tt.name+": bad, "+bad.name)
		}
		got := playAll(good, func(seed uint64) (history, string) {
			extra := disturbances[seed%uint64(len(disturbances))]
			h := drawGood(seed, extra)
			h.hooks.newEvaluator = tt.make
			return h, extra.name
		})
		tt.judge(got, tt.name+": good, all disturbances")
	}
}

// drawBad draws a history of a bad target, every other one with a disturbance.
func drawBad(seed uint64, bad disturbance) (history, string) {
	random := rand.New(rand.NewPCG(seed, 2))
	h := drawHistory(seed, random)
	bad.add(&h, random)
	extra := disturbances[random.IntN(len(disturbances))]
	if seed%2 == 0 {
		return h, bad.name
	}
	extra.add(&h, random)
	return h, bad.name + ", " + extra.name
}

// drawGood draws a history of a good target with a disturbance.
func drawGood(seed uint64, extra disturbance) history {
	random := rand.New(rand.NewPCG(seed, 1))
	h := drawHistory(seed, random)
	extra.add(&h, random)
	return h
}
