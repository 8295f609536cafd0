package backend

import "time"

// SkipReason is why a back end that said something of itself got no attempt.
type SkipReason string

// The reasons.
const (
	SkipNone     SkipReason = ""
	SkipBackoff  SkipReason = "rest"
	SkipDraining SkipReason = "leaving"
)

// skipCounts counts the back ends that an attempt did not go to as they said that they want rest
// or leave, and keeps the least cost of those.
type skipCounts struct {
	backoff, draining int
	cheapestReason    SkipReason
	cheapestCost      float64
}

// add takes in a back end, with what the attempt would have cost there.
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

// ifCheaper returns why the attempt did not go to a back end that would have cost less than the one
// that was chosen.
func (s *skipCounts) ifCheaper(chosen float64) SkipReason {
	if s.cheapestCost < chosen {
		return s.cheapestReason
	}
	return SkipNone
}

// skipReason returns why the back end gets nothing, as far as it said so itself.
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
