package admission

import "time"

// SharersConfig configures Sharers.
type SharersConfig struct {
	// Window is the length of the window in which the system-wide bound holds.
	Window time.Duration
	// Lag is the time until every router has counted a new one, and the age up to which a count
	// is used.
	Lag time.Duration
}

// Sharers counts the routers among which a system-wide bound over a window is divided. It is
// not safe for concurrent use.
//
// Invariant: routers that use a share in the same window have counted each other. A router uses
// a share only once it has been listed for Lag and Window, and only if during the last window
// its newest count was never older than Lag. Its count at the begin of a window therefore
// includes all routers that use a share in that window: they were listed before it was read,
// and none is removed before it has used its last share. The largest count during the window is
// at least that. What an earlier process of a router used has left the window before its
// successor uses a share.
type Sharers struct {
	cfg      SharersConfig
	joinedAt time.Time
	// current is the last count, as of countedAt; previous are earlier ones.
	current   int
	countedAt time.Time
	previous  []previousCount
	// staleUntil is when a stale count was last replaced.
	staleUntil time.Time
}

// previousCount is a count and when it was replaced.
type previousCount struct {
	routers int
	until   time.Time
}

// NewSharers returns the Sharers of a router that is not listed yet.
func NewSharers(cfg SharersConfig) *Sharers { return &Sharers{cfg: cfg} }

// SetJoined records that this router is listed from now on.
func (s *Sharers) SetJoined(now time.Time) { s.joinedAt = now }

// RecordCount sets the number of routers that were listed at a time, or later. A count that is
// not newer than the last one is ignored.
func (s *Sharers) RecordCount(now, countedAt time.Time, routers int) {
	if !countedAt.After(s.countedAt) {
		return
	}
	if s.stale(now) {
		s.staleUntil = now
	}
	s.countedAt = countedAt
	if routers == s.current {
		return
	}
	if s.current > 0 {
		s.previous = append(s.previous, previousCount{routers: s.current, until: now})
	}
	s.current = routers
	s.dropExpired(now)
}

// Count returns the number of routers that share the bound, or 0 while this router has no
// share.
func (s *Sharers) Count(now time.Time) int {
	if s.joinedAt.IsZero() || now.Sub(s.joinedAt) < s.cfg.Lag+s.cfg.Window {
		return 0
	}
	// New routers may be missing in a stale count, and some may even be gone before the next
	// count: their shares must leave the window first.
	if s.stale(now) || now.Sub(s.staleUntil) < s.cfg.Window {
		return 0
	}
	s.dropExpired(now)
	most := s.current
	for _, earlier := range s.previous {
		most = max(most, earlier.routers)
	}
	return most
}

// stale reports whether the newest count is too old to be used.
func (s *Sharers) stale(now time.Time) bool { return now.Sub(s.countedAt) > s.cfg.Lag }

// dropExpired drops counts that were replaced before the window.
func (s *Sharers) dropExpired(now time.Time) {
	kept := s.previous[:0]
	for _, earlier := range s.previous {
		if now.Sub(earlier.until) <= s.cfg.Window {
			kept = append(kept, earlier)
		}
	}
	s.previous = kept
}
