package rollout

import "time"

const (
	// loadWeight and spreadWeight are the divisors that weigh a new observation in the mean and
	// in the mean deviation, as in RFC 6298.
	loadWeight   = 8
	spreadWeight = 4
	// spreadFactor times the mean deviation bounds nearly all loads.
	spreadFactor = 2
	// initialSpreadDivisor divides the expected mean into the deviation before any observation.
	initialSpreadDivisor = 4
	// minSpread is about the time between two reports, the resolution of observed loads.
	minSpread = 50 * time.Millisecond
	// maxLoadTime is the longest observation used: an engine that froze during a load is no
	// measure for others.
	maxLoadTime = 5 * time.Second
)

// loadTimes estimates durations of loads from their mean and mean deviation.
type loadTimes struct{ mean, spread time.Duration }

func newLoadTimes(mean time.Duration) loadTimes {
	return loadTimes{mean: mean, spread: mean / initialSpreadDivisor}
}

// observe records the duration of one load.
func (l *loadTimes) observe(took time.Duration) {
	if took <= 0 || took > maxLoadTime {
		return
	}
	deviation := took - l.mean
	l.mean += deviation / loadWeight
	l.spread = max(l.spread+(deviation.Abs()-l.spread)/spreadWeight, minSpread)
}

// shortest is the time after which a load may have ended.
func (l *loadTimes) shortest() time.Duration { return max(l.mean-spreadFactor*l.spread, 0) }

// longest is the time after which nearly all loads have ended.
func (l *loadTimes) longest() time.Duration { return l.mean + spreadFactor*l.spread }

// LoadTime is the time from the acceptance of an order until nearly all engines have its version.
func (p *Planner) LoadTime() time.Duration { return p.loads.longest() }
