package quota

import (
	"math"
	"time"
)

const (
	// crowdHalfLife is the time in which denied claims count for half.
	crowdHalfLife = time.Second
	// crowdFree is the number of denied claims from which on those that come are told to
	// stay away for longer than until the next unit comes free.
	crowdFree = 8
	// crowdFactor is how many claims may come for each unit that comes free. With 390
	// routers that ask for 1.3 a second these are 37 asks a second in place of 300, by
	// arithmetic, and nine of ten units still find a claim.
	crowdFactor = 4
)

// crowd counts claims that were denied lately, so that the routers of a large fleet do not
// all ask for each unit of a small limit.
type crowd struct {
	count     float64
	countedAt time.Time
}

// add counts a denied claim, and returns the number of those that count.
func (c *crowd) add(now time.Time) float64 {
	c.count *= math.Exp2(-now.Sub(c.countedAt).Seconds() / crowdHalfLife.Seconds())
	c.count++
	c.countedAt = now
	return c.count
}

// yield returns for how long a denied claim is to stay away beyond the time until it could be
// granted, since others come too. Claims of different amounts are not delayed.
func (p *Pool) yield(now time.Time, filling *bucket, routers int) time.Duration {
	if p.bounds.Unit == 0 {
		return 0
	}
	ahead := filling.crowd.add(now) - crowdFree
	rate := p.bounds.rate(filling.limit) * p.share(routers)
	if ahead <= 0 || rate <= 0 {
		return 0
	}
	return min(time.Duration(ahead*p.bounds.Unit/(crowdFactor*rate)*float64(time.Second)), longestDenial)
}
