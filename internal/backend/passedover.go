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

// passedOver counts the back ends that an attempt did not go to as they said that they want rest
// or leave, and keeps the least cost of those.
type passedOver struct {
	resting, leaving int
	why              SkipReason
	cost             float64
}

// add takes in a back end, with what the attempt would have cost there.
func (p *passedOver) add(why SkipReason, cost float64) {
	if why == SkipBackoff {
		p.resting++
	} else {
		p.leaving++
	}
	if p.why == SkipNone || cost < p.cost {
		p.why, p.cost = why, cost
	}
}

// instead returns why the attempt did not go to a back end that would have cost less than the one
// that was chosen.
func (p *passedOver) instead(chosen float64) SkipReason {
	if p.cost < chosen {
		return p.why
	}
	return SkipNone
}

// passedOver returns why the back end gets nothing, as far as it said so itself.
func (s *state) passedOver(now time.Time) SkipReason {
	switch {
	case s.leaving.begun():
		return SkipDraining
	case s.rest.on(now):
		return SkipBackoff
	default:
		return SkipNone
	}
}
