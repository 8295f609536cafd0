package quota

import (
	"math"
	"time"
)

const (
	// denialHalfLife is the time in which denied claims count for half.
	denialHalfLife = time.Second
	// denialAllowance is the number of denied claims from which on those that come are told to
	// stay away for longer than until the next unit comes free.
	denialAllowance = 8
	// claimsPerUnit is how many claims may come for each unit that comes free. With 390
	// routers that ask for 1.3 a second these are 37 asks a second in place of 300, by
	// arithmetic, and nine of ten units still find a claim.
	claimsPerUnit = 4
)

// denialCounter counts claims that were denied lately, so that the routers of a large fleet do not
// all ask for each unit of a small limit.
type denialCounter struct {
	count     float64
	countedAt time.Time
}

// add counts a denied claim, and returns the number of those that count.
func (c *denialCounter) add(now time.Time) float64 {
	c.count *= math.Exp2(-now.Sub(c.countedAt).Seconds() / denialHalfLife.Seconds())
	c.count++
	c.countedAt = now
	return c.count
}

// extraDelay returns for how long a denied claim is to stay away beyond the time until it could be
// granted, since others come too. Claims of different amounts are not delayed.
func (p *Pool) extraDelay(now time.Time, filling *bucket, routers int) time.Duration {
	if p.bounds.Unit == 0 {
		return 0
	}
	excess := filling.denials.add(now) - denialAllowance
	rate := p.bounds.rate(filling.limit) * p.share(routers)
	if excess <= 0 || rate <= 0 {
		return 0
	}
	return min(time.Duration(excess*p.bounds.Unit/(claimsPerUnit*rate)*float64(time.Second)), maxRetryAfter)
}
