package canary

import (
	"slices"
	"time"
)

const (
	// manyBad is the number of bad answers beyond the usual from which a target is not
	// given the benefit of the doubt for long: from the 50th on it may get requests for
	// Bounds.Rollback only. Of these manyElsewhere have to come from other back ends than
	// the worst.
	manyBad, manyElsewhere = 45, 20
	// manyFor is the time for which it is given all the same, half of the 5 s that the
	// users allow. The verdict and its way to the routers take the rest.
	manyFor = 2500 * time.Millisecond
)

// many counts the bad answers of the target beyond those that other releases would have had.
type many struct {
	// excess is the number by part.
	excess []float64
	// since is when there were many, newest the time of the newest window.
	since, newest time.Time
}

// add adds bad answers of a part beyond the usual.
func (m *many) add(part int, excess float64) {
	for len(m.excess) <= part {
		m.excess = append(m.excess, 0)
	}
	m.excess[part] += excess
}

// weighed says that a window was weighed.
func (m *many) weighed(at time.Time) {
	if at.After(m.newest) {
		m.newest = at
	}
	if m.since.IsZero() && m.reached() {
		m.since = m.newest
	}
}

// reached reports whether there are many now.
func (m *many) reached() bool {
	if len(m.excess) == 0 {
		return false
	}
	total := 0.0
	for _, excess := range m.excess {
		total += max(0, excess)
	}
	return total >= manyBad && (len(m.excess) == 1 || total-slices.Max(m.excess) >= manyElsewhere)
}

// tooLong reports whether there have been many for as long as is allowed.
func (m *many) tooLong() bool { return !m.since.IsZero() && m.newest.Sub(m.since) >= manyFor }
