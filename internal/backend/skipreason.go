package backend

import "time"

// PassedOver is why a back end that said something of itself got no attempt.
type PassedOver string

// The reasons.
const (
	NotPassedOver  PassedOver = ""
	PassedOverRest PassedOver = "rest"
	PassedOverLeft PassedOver = "leaving"
)

// skipCounts counts the back ends that an attempt did not go to as they said that they want rest
// or leave, and keeps the least cost of those.
type skipCounts struct {
	backoff, draining int
	cheapestReason    PassedOver
	cheapestCost      float64
}

// add takes in a back end, with what the attempt would have cost there.
func (p *skipCounts) add(reason PassedOver, cost float64) {
	if reason == PassedOverRest {
		p.backoff++
	} else {
		p.draining++
	}
	if p.cheapestReason == NotPassedOver || cost < p.cheapestCost {
		p.cheapestReason, p.cheapestCost = reason, cost
	}
}

// ifCheaper returns why the attempt did not go to a back end that would have cost less than the one
// that was chosen.
func (p *skipCounts) ifCheaper(chosen float64) PassedOver {
	if p.cheapestCost < chosen {
		return p.cheapestReason
	}
	return NotPassedOver
}

// skipReason returns why the back end gets nothing, as far as it said so itself.
func (s *state) skipReason(now time.Time) PassedOver {
	switch {
	case s.drain.active():
		return PassedOverLeft
	case s.backoff.active(now):
		return PassedOverRest
	default:
		return NotPassedOver
	}
}
