package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// thresholds is the other verdict that was weighed: rates over the last windows of a route
// against fixed limits.
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

func (v *thresholds) weigh(seen *window) {
	target := seen.target()
	v.answered += target.answers
	for _, known := range v.routes {
		if known.route == seen.route {
			known.windows = append(known.windows, seen)
			known.windows = known.windows[max(0, len(known.windows)-thresholdWindows):]
			return
		}
	}
	v.routes = append(v.routes, &thresholdRoute{route: seen.route, windows: []*window{seen}})
}

func (v *thresholds) bad(several bool) string {
	for _, route := range v.routes {
		if route.exceeds(several) {
			return "over the threshold on route " + route.route
		}
	}
	return ""
}

// exceeds reports whether the rate of failures, or of slow answers, is too high over the last
// windows, also without any one part of the target.
func (r *thresholdRoute) exceeds(several bool) bool {
	var others, target cell
	parts := map[uint32]*cell{}
	for _, seen := range r.windows {
		merge(&others, &seen.others)
		for index := range seen.parts {
			part := seen.parts[index].part
			if parts[part] == nil {
				parts[part] = &cell{}
			}
			merge(parts[part], &seen.parts[index].cell)
			merge(&target, &seen.parts[index].cell)
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
	for _, part := range parts {
		rest := target
		rest.answers -= part.answers
		rest.failures -= part.failures
		for bin := range rest.times {
			rest.times[bin] -= part.times[bin]
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

func (v *thresholds) doubt(bool, bool) string { return "" }

func (v *thresholds) scarce() string {
	if v.answered < leastAnswers {
		return fmt.Sprintf("%d answers", v.answered)
	}
	return ""
}

func (v *thresholds) total() uint64 { return v.answered }

// fewCompared is the number of histories of a bad and of a good target that are played
// under each verdict by default: a second or two under the race detector.
const fewCompared = 2

// TestVerdictsCompared prints what the two verdicts make of the same histories; under the one
// in use none may break a promise. By default it plays the first few, and for the figures of
// the design note as many of each kind as FIELDPOND_CANARY_HISTORIES says.
func TestVerdictsCompared(t *testing.T) {
	perKind, good := histories(0), len(troubles)*histories(0)
	kinds := badKinds
	if perKind == 0 {
		perKind, good, kinds = fewCompared, fewCompared, badKinds[:1]
	}
	verdicts := []struct {
		name  string
		make  func() verdict
		judge func(got *outcomes, name string)
	}{
		{"likelihood ratios", nil, func(got *outcomes, name string) { got.report(t, name) }},
		// Those that pass a bad target break the bound on what follows its 50th bad answer.
		{"thresholds", func() verdict { return &thresholds{} }, func(got *outcomes, name string) { t.Logf("%s: %v", name, got) }},
	}
	for _, tt := range verdicts {
		for _, bad := range kinds {
			got := playAll(perKind, func(seed uint64) (history, string) {
				h, name := drawBad(seed, bad)
				h.hooks.newVerdict = tt.make
				return h, name
			})
			tt.judge(got, tt.name+": bad, "+bad.name)
		}
		got := playAll(good, func(seed uint64) (history, string) {
			trouble := troubles[seed%uint64(len(troubles))]
			h := drawGood(seed, trouble)
			h.hooks.newVerdict = tt.make
			return h, trouble.name
		})
		tt.judge(got, tt.name+": good, all troubles")
	}
}

// drawBad draws a history of a bad target, every other one with some trouble besides.
func drawBad(seed uint64, bad trouble) (history, string) {
	random := rand.New(rand.NewPCG(seed, 2))
	h := drawHistory(seed, random)
	bad.add(&h, random)
	also := troubles[random.IntN(len(troubles))]
	if seed%2 == 0 {
		return h, bad.name
	}
	also.add(&h, random)
	return h, bad.name + ", " + also.name
}

// drawGood draws a history of a good target with some trouble.
func drawGood(seed uint64, trouble trouble) history {
	random := rand.New(rand.NewPCG(seed, 1))
	h := drawHistory(seed, random)
	trouble.add(&h, random)
	return h
}
