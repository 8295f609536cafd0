package rollout

import "time"

const (
	// loadWeight and spreadWeight are the parts of a new observation in the mean and
	// in the mean deviation: those of the usual estimator of round trips (RFC 6298).
	loadWeight   = 8
	spreadWeight = 4
	// spreadFactor times the mean deviation bounds nearly all loads.
	spreadFactor = 2
	// initialSpreadDivisor is the deviation before the first load was seen, as a divisor of
	// the mean.
	initialSpreadDivisor = 4
	// minSpread is about the time between two reports, at which loads are seen to
	// end.
	minSpread = 50 * time.Millisecond
	// maxLoadTime bounds what is learned: an engine that froze while it loaded says
	// nothing of others.
	maxLoadTime = 5 * time.Second
)

// loadTimes learns how long engines take to load weights, from the answer to an order
// until the version is seen.
type loadTimes struct{ mean, spread time.Duration }

func newLoadTimes(mean time.Duration) loadTimes {
	return loadTimes{mean: mean, spread: mean / initialSpreadDivisor}
}

// observe takes in one load.
func (l *loadTimes) observe(took time.Duration) {
	if took <= 0 || took > maxLoadTime {
		return
	}
	deviation := took - l.mean
	l.mean += deviation / loadWeight
	l.spread = max(l.spread+(deviation.Abs()-l.spread)/spreadWeight, minSpread)
}

// shortest is the time after which a load may be over.
func (l *loadTimes) shortest() time.Duration { return max(l.mean-spreadFactor*l.spread, 0) }

// longest is the time after which a load is mostly over.
func (l *loadTimes) longest() time.Duration { return l.mean + spreadFactor*l.spread }

// LoadTime is the time after which an engine that takes an order now mostly has its
// version.
func (p *Planner) LoadTime() time.Duration { return p.loads.longest() }
