package canary

import (
	"slices"
	"time"
)

const (
	// excessLimit is the number of bad answers beyond the usual from which a target is not
	// given the benefit of the doubt for long: from the 50th on it may get requests for
	// Bounds.Rollback only. Of these excessElsewhere have to come from other back ends than
	// the worst.
	excessLimit, excessElsewhere = 45, 20
	// maxExcessTime is the time for which it is given all the same, half of the 5 s that the
	// users allow. The verdict and its way to the routers take the rest.
	maxExcessTime = 2500 * time.Millisecond
)

// excessCounter counts the bad answers of the target beyond those that other releases would have had.
type excessCounter struct {
	// byGroup is the number by part.
	byGroup []float64
	// exceededAt is when there were many, newest the time of the newest window.
	exceededAt, newest time.Time
}

// add adds bad answers of a part beyond the usual.
func (m *excessCounter) add(group int, excess float64) {
	for len(m.byGroup) <= group {
		m.byGroup = append(m.byGroup, 0)
	}
	m.byGroup[group] += excess
}

// update says that a window was weighed.
func (m *excessCounter) update(at time.Time) {
	if at.After(m.newest) {
		m.newest = at
	}
	if m.exceededAt.IsZero() && m.exceeded() {
		m.exceededAt = m.newest
	}
}

// exceeded reports whether there are many now.
func (m *excessCounter) exceeded() bool {
	if len(m.byGroup) == 0 {
		return false
	}
	total := 0.0
	for _, excess := range m.byGroup {
		total += max(0, excess)
	}
	return total >= excessLimit && (len(m.byGroup) == 1 || total-slices.Max(m.byGroup) >= excessElsewhere)
}

// expired reports whether there have been many for as long as is allowed.
func (m *excessCounter) expired() bool {
	return !m.exceededAt.IsZero() && m.newest.Sub(m.exceededAt) >= maxExcessTime
}
