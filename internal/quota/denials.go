package quota

import (
	"math"
	"time"
)

const (
	denialHalfLife = time.Second
	// denialAllowance is the number of recent denials from which on denied requests are delayed
	// for longer than until the next unit is free.
	denialAllowance = 8
	// requestsPerUnit is the number of requests that may come for each free unit.
	requestsPerUnit = 4
)

// denialCounter counts recent denials, so that the routers of a large fleet don't all request
// each unit of a small limit.
type denialCounter struct {
	count     float64
	countedAt time.Time
}

// add counts a denial and returns the decayed number.
func (c *denialCounter) add(now time.Time) float64 {
	c.count *= math.Exp2(-now.Sub(c.countedAt).Seconds() / denialHalfLife.Seconds())
	c.count++
	c.countedAt = now
	return c.count
}

// extraDelay returns the delay of a denied request beyond the time until it could be granted,
// since others compete for it. Reservations of different amounts are not delayed.
func (p *Pool) extraDelay(now time.Time, tokens *bucket, routers int) time.Duration {
	if p.bounds.Unit == 0 {
		return 0
	}
	excess := tokens.denials.add(now) - denialAllowance
	rate := p.bounds.rate(tokens.limit) * p.share(routers)
	if excess <= 0 || rate <= 0 {
		return 0
	}
	return min(time.Duration(excess*p.bounds.Unit/(requestsPerUnit*rate)*float64(time.Second)), maxRetryAfter)
}
