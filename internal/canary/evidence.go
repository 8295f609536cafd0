package canary

import (
	"slices"
	"time"
)

const (
	// windowAnswers is the number of answers of other releases from which a window of a
	// route is judged: their rate of failures is then known to 3 in 100 or so.
	windowAnswers = 80
	// windowFor is the time after which a window is judged in any case.
	windowFor = time.Second
)

// cell counts answers.
type cell struct {
	answers, failures uint64
	times             [timeBins]uint64
}

// add adds the answers that a tally counts beyond those of an earlier one.
func (c *cell) add(tally, earlier *Tally) {
	c.answers += less(tally.Answers, earlier.Answers)
	c.failures += less(tally.Failures, earlier.Failures)
	for bin := range c.times {
		c.times[bin] += less(uint64(tally.Times.at(bin)), uint64(earlier.Times.at(bin)))
	}
}

// slowFrom returns the number of answers in a bin and all later ones.
func (c *cell) slowFrom(bin int) uint64 {
	var sum uint64
	for _, count := range c.times[min(bin, timeBins):] {
		sum += count
	}
	return sum
}

// partCell counts answers of one part of the target.
type partCell struct {
	part uint32
	cell
}

// window holds the answers of one route within about a second, so that the target is
// compared with the other releases under the same conditions.
type window struct {
	route string
	since time.Time
	// inherited says that answers are among it which came over a longer time, under an
	// earlier holder.
	inherited bool
	others    cell
	parts     []partCell
}

// add adds what a report's tally counts beyond an earlier report's.
func (w *window) add(tally, earlier *Tally) {
	if tally.Group == 0 {
		w.others.add(tally, earlier)
		return
	}
	index := slices.IndexFunc(w.parts, func(known partCell) bool { return known.part == tally.Group })
	if index < 0 {
		index = len(w.parts)
		w.parts = append(w.parts, partCell{part: tally.Group})
	}
	w.parts[index].add(tally, earlier)
}

// target returns the answers of all parts together.
func (w *window) target() cell {
	var sum cell
	for index := range w.parts {
		part := &w.parts[index].cell
		sum.answers += part.answers
		sum.failures += part.failures
		for bin := range sum.times {
			sum.times[bin] += part.times[bin]
		}
	}
	return sum
}

// due reports whether the window is to be judged.
func (w *window) due(now time.Time) bool {
	return w.others.answers >= windowAnswers || now.Sub(w.since) >= windowFor
}

// evidence puts the reports of all routers together.
type evidence struct {
	windows []*window
}

// add takes in the difference of two reports of the same life; earlier may be nil. Inherited
// says that the life sent to the target under an earlier holder.
func (e *evidence) add(now time.Time, report, earlier *Report, inherited bool) {
	none := &Tally{}
	for index := range report.Tallies {
		tally := &report.Tallies[index]
		before := none
		if earlier != nil {
			before = earlier.tally(tally.Route, tally.Group, none)
		}
		if tally.Answers > before.Answers {
			open := e.window(now, tally.Route)
			open.add(tally, before)
			open.inherited = open.inherited || inherited
		}
	}
}

// tally returns the report's tally of a route and part, or another one if it has none.
func (r *Report) tally(route string, part uint32, otherwise *Tally) *Tally {
	for index := range r.Tallies {
		if r.Tallies[index].Group == part && r.Tallies[index].Route == route {
			return &r.Tallies[index]
		}
	}
	return otherwise
}

// window returns the open window of a route.
func (e *evidence) window(now time.Time, route string) *window {
	for _, open := range e.windows {
		if open.route == route {
			return open
		}
	}
	open := &window{route: route, since: now}
	e.windows = append(e.windows, open)
	return open
}

// due removes and returns the windows that are to be judged, or all.
func (e *evidence) due(now time.Time, all bool) []*window {
	var due []*window
	e.windows = slices.DeleteFunc(e.windows, func(open *window) bool {
		if all || open.due(now) {
			due = append(due, open)
			return true
		}
		return false
	})
	return due
}
