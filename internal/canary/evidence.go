package canary

import (
	"slices"
	"time"
)

const (
	// fullWindowAnswers is the number of other releases' answers that completes a window.
	fullWindowAnswers = 80
	// maxWindowAge is the age at which any window is complete.
	maxWindowAge = time.Second
)

type cell struct {
	answers, failures uint64
	times             [timeBins]uint64
}

// add adds the answers that a tally counts beyond an earlier one.
func (c *cell) add(tally, earlier *Tally) {
	c.answers += saturatingSub(tally.Answers, earlier.Answers)
	c.failures += saturatingSub(tally.Failures, earlier.Failures)
	for bin := range c.times {
		c.times[bin] += saturatingSub(uint64(tally.Times.at(bin)), uint64(earlier.Times.at(bin)))
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

// groupCell counts answers of one back-end group of the target.
type groupCell struct {
	group uint32
	cell
}

// window holds the answers of one route within about a second, so that the target and the
// other releases are compared under the same conditions.
type window struct {
	route string
	since time.Time
	// inherited is set if it contains answers from a longer time, under an earlier holder.
	inherited bool
	others    cell
	groups    []groupCell
}

// add adds what a report's tally counts beyond an earlier report's.
func (w *window) add(tally, earlier *Tally) {
	if tally.Group == 0 {
		w.others.add(tally, earlier)
		return
	}
	index := slices.IndexFunc(w.groups, func(known groupCell) bool { return known.group == tally.Group })
	if index < 0 {
		index = len(w.groups)
		w.groups = append(w.groups, groupCell{group: tally.Group})
	}
	w.groups[index].add(tally, earlier)
}

// target returns the answers of all groups together.
func (w *window) target() cell {
	var sum cell
	for index := range w.groups {
		group := &w.groups[index].cell
		sum.answers += group.answers
		sum.failures += group.failures
		for bin := range sum.times {
			sum.times[bin] += group.times[bin]
		}
	}
	return sum
}

// due reports whether the window is complete.
func (w *window) due(now time.Time) bool {
	return w.others.answers >= fullWindowAnswers || now.Sub(w.since) >= maxWindowAge
}

// openWindows collects the reports of all routers.
type openWindows struct {
	windows []*window
}

// add adds the difference of two reports of one incarnation; earlier may be nil. Inherited
// is set if it sent to the target under an earlier holder.
func (o *openWindows) add(now time.Time, report, earlier *Report, inherited bool) {
	none := &Tally{}
	for index := range report.Tallies {
		tally := &report.Tallies[index]
		before := none
		if earlier != nil {
			before = earlier.tally(tally.Route, tally.Group, none)
		}
		if tally.Answers > before.Answers {
			open := o.window(now, tally.Route)
			open.add(tally, before)
			open.inherited = open.inherited || inherited
		}
	}
}

// tally returns the report's tally of a route and group, or otherwise if it has none.
func (r *Report) tally(route string, group uint32, otherwise *Tally) *Tally {
	for index := range r.Tallies {
		if r.Tallies[index].Group == group && r.Tallies[index].Route == route {
			return &r.Tallies[index]
		}
	}
	return otherwise
}

// window returns the open window of a route, which is added if it is new.
func (o *openWindows) window(now time.Time, route string) *window {
	for _, open := range o.windows {
		if open.route == route {
			return open
		}
	}
	open := &window{route: route, since: now}
	o.windows = append(o.windows, open)
	return open
}

// removeDue removes and returns the complete windows, or all.
func (o *openWindows) removeDue(now time.Time, all bool) []*window {
	var due []*window
	o.windows = slices.DeleteFunc(o.windows, func(open *window) bool {
		if all || open.due(now) {
			due = append(due, open)
			return true
		}
		return false
	})
	return due
}
