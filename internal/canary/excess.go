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

func (c *excessCounter) add(group int, excess float64) {
	for len(c.byGroup) <= group {
		c.byGroup = append(c.byGroup, 0)
	}
	c.byGroup[group] += excess
}

// update is called after each window that was added.
func (c *excessCounter) update(at time.Time) {
	if at.After(c.newest) {
		c.newest = at
	}
	if c.exceededAt.IsZero() && c.exceeded() {
		c.exceededAt = c.newest
	}
}

// exceeded reports whether the limit is reached now.
func (c *excessCounter) exceeded() bool {
	if len(c.byGroup) == 0 {
		return false
	}
	total := 0.0
	for _, excess := range c.byGroup {
		total += max(0, excess)
	}
	return total >= excessLimit && (len(c.byGroup) == 1 || total-slices.Max(c.byGroup) >= excessElsewhere)
}

// expired reports whether the limit was reached maxExcessTime ago.
func (c *excessCounter) expired() bool {
	return !c.exceededAt.IsZero() && c.newest.Sub(c.exceededAt) >= maxExcessTime
}
