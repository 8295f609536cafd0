package backend

import "time"

// SkipReason is why a back end that is draining or backing off got no attempt.
type SkipReason string

// The reasons.
const (
	SkipNone     SkipReason = ""
	SkipBackoff  SkipReason = "rest"
	SkipDraining SkipReason = "leaving"
)

// skipCounts counts the back ends skipped for an attempt since they are draining or backing
// off, and holds the reason and cost of the cheapest.
type skipCounts struct {
	backoff, draining int
	cheapestReason    SkipReason
	cheapestCost      float64
}

// add counts a back end, with what the attempt would have cost there.
func (s *skipCounts) add(reason SkipReason, cost float64) {
	if reason == SkipBackoff {
		s.backoff++
	} else {
		s.draining++
	}
	if s.cheapestReason == SkipNone || cost < s.cheapestCost {
		s.cheapestReason, s.cheapestCost = reason, cost
	}
}

// ifCheaper returns why a back end cheaper than the chosen one was skipped, if one was.
func (s *skipCounts) ifCheaper(chosen float64) SkipReason {
	if s.cheapestCost < chosen {
		return s.cheapestReason
	}
	return SkipNone
}

// skipReason returns why the back end is skipped, if it is draining or backing off.
func (s *state) skipReason(now time.Time) SkipReason {
	switch {
	case s.drain.active():
		return SkipDraining
	case s.backoff.active(now):
		return SkipBackoff
	default:
		return SkipNone
	}
}
