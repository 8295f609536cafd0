package catalog

import "time"

// Gap is a period in which a store in contact is read, but its answers do not confirm the
// configuration in force: the row has changed and its earlier content is forgotten, or cannot be
// read. It bounds that period, since waiting longer returns no more of what the store has lost.
// The zero value is no gap.
type Gap struct {
	openedAt time.Time
}

// Observe records a read, begun at askedAt, that was answered and confirmed nothing.
func (g *Gap) Observe(askedAt time.Time) {
	if g.openedAt.IsZero() {
		g.openedAt = askedAt
	}
}

// Due reports whether a read that begins at askedAt ends the gap, which is then at least wait long.
func (g *Gap) Due(askedAt time.Time, wait time.Duration) bool {
	return !g.openedAt.IsZero() && askedAt.Sub(g.openedAt) >= wait
}

// Length returns the time from the first read in the gap to askedAt, 0 without a gap.
func (g *Gap) Length(askedAt time.Time) time.Duration {
	if g.openedAt.IsZero() {
		return 0
	}
	return askedAt.Sub(g.openedAt)
}

// Close ends the gap: a read has confirmed the configuration, or the gap is skipped.
func (g *Gap) Close() { g.openedAt = time.Time{} }
