package admission

import "time"

// SharersConfig sets a Sharers.
type SharersConfig struct {
	// Window is the length of the window in which a bound of the whole system holds.
	Window time.Duration
	// Lag is how long it may take until every router has counted one that joined, and the
	// age up to which a count divides the bound.
	Lag time.Duration
}

// Sharers tells among how many routers a bound of the whole system over a window is
// divided. It is not safe for concurrent use.
//
// Invariant: routers that take a part in the same window have counted each other. A router
// takes a part only once it has been listed for Lag and Window, and only if at no moment of
// the last window its newest count was older than Lag. The count that it held when a window
// began therefore has all that take a part in that window: they were listed before it was
// read, and none leaves the list before it has taken its last part. The largest number that
// a router held in its window is as large, and what a router's former life took, which
// nobody remembers, has left the window before the next life takes a part.
type Sharers struct {
	cfg      SharersConfig
	joinedAt time.Time
	// current was counted last, as of countedAt; former are the numbers held before.
	current   int
	countedAt time.Time
	former    []formerCount
	// staleUntil is when a count that was too old was last replaced by another one.
	staleUntil time.Time
}

// formerCount is a number of routers that was held until another one was counted.
type formerCount struct {
	routers int
	until   time.Time
}

// NewSharers returns the sharers as a router knows them that has not joined the others.
func NewSharers(cfg SharersConfig) *Sharers { return &Sharers{cfg: cfg} }

// SetJoined takes in that this router is surely listed since now.
func (s *Sharers) SetJoined(now time.Time) { s.joinedAt = now }

// RecordCount takes in the number of routers that were listed at a time, or later. A count that
// is not newer than the last one changes nothing.
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
		s.former = append(s.former, formerCount{routers: s.current, until: now})
	}
	s.current = routers
	s.forget(now)
}

// Count returns the number of routers that have a part each, or 0 while this router has
// none.
func (s *Sharers) Count(now time.Time) int {
	if s.joinedAt.IsZero() || now.Sub(s.joinedAt) < s.cfg.Lag+s.cfg.Window {
		return 0
	}
	// Routers may have joined that an old count does not have. Some of them may have left
	// before it was replaced, and are in no count: their parts leave the window first.
	if s.stale(now) || now.Sub(s.staleUntil) < s.cfg.Window {
		return 0
	}
	s.forget(now)
	most := s.current
	for _, former := range s.former {
		most = max(most, former.routers)
	}
	return most
}

// stale reports whether the newest count is older than the others rely on.
func (s *Sharers) stale(now time.Time) bool { return now.Sub(s.countedAt) > s.cfg.Lag }

// forget drops what was not held in the window any more.
func (s *Sharers) forget(now time.Time) {
	kept := s.former[:0]
	for _, former := range s.former {
		if now.Sub(former.until) <= s.cfg.Window {
			kept = append(kept, former)
		}
	}
	s.former = kept
}
