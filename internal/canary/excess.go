package canary

import (
	"slices"
	"time"
)

const (
	// excessLimit is the number of bad answers beyond the baseline after which a suspected
	// pause protects the target for maxExcessTime only: Bounds.Rollback begins at the 50th.
	// At least excessElsewhere of them must come from groups other than the worst.
	excessLimit, excessElsewhere = 45, 20
	// maxExcessTime leaves time within Bounds.Rollback for the verdict to reach the
	// routers.
	maxExcessTime = 2500 * time.Millisecond
)

// excessCounter counts the target's bad answers beyond the baseline rate.
type excessCounter struct {
	// byGroup is the excess by index of the group.
	byGroup []float64
	// exceededAt is when the limit was reached, newest the time of the newest window.
	exceededAt, newest time.Time
}

func (m *excessCounter) add(group int, excess float64) {
	for len(m.byGroup) <= group {
		m.byGroup = append(m.byGroup, 0)
	}
	m.byGroup[group] += excess
}

// update is called after each window that was added.
func (m *excessCounter) update(at time.Time) {
	if at.After(m.newest) {
		m.newest = at
	}
	if m.exceededAt.IsZero() && m.exceeded() {
		m.exceededAt = m.newest
	}
}

// exceeded reports whether the limit is reached now.
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

// expired reports whether the limit was reached maxExcessTime ago.
func (m *excessCounter) expired() bool {
	return !m.exceededAt.IsZero() && m.newest.Sub(m.exceededAt) >= maxExcessTime
}
