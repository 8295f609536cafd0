package canary

import (
	"fmt"
	"math/rand/v2"
	"os"
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

// TestVerdictsCompared prints what the two verdicts make of the same histories. It only runs
// when a number of histories is asked for: the figures are for the design note.
func TestVerdictsCompared(t *testing.T) {
	if os.Getenv("FIELDPOND_CANARY_HISTORIES") == "" {
		t.Skip("set FIELDPOND_CANARY_HISTORIES to a number of histories a kind")
	}
	verdicts := []struct {
		name string
		make func() verdict
	}{
		{"likelihood ratios", nil},
		{"thresholds", func() verdict { return &thresholds{} }},
	}
	for _, tt := range verdicts {
		for _, bad := range badKinds {
			got := playAll(histories(0), func(seed uint64) (history, string) {
				h, name := drawBad(seed, bad)
				h.hooks.newVerdict = tt.make
				return h, name
			})
			t.Logf("%s: bad, %s: %v", tt.name, bad.name, got)
		}
		got := playAll(len(troubles)*histories(0), func(seed uint64) (history, string) {
			h := drawGood(seed, troubles[seed%uint64(len(troubles))])
			h.hooks.newVerdict = tt.make
			return h, ""
		})
		t.Logf("%s: good, all troubles: %v", tt.name, got)
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
