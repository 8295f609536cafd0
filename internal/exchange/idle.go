package exchange

import "time"

const (
	// minIdle is the least idle limit, unless the configured one is shorter.
	minIdle = time.Second
	// shortenTenths is the new limit in tenths of the idle time after which a peer
	// closed a connection.
	shortenTenths = 7
	// growthHundredths is the growth of the limit, in hundredths, when a connection
	// is still open after a long idle time.
	growthHundredths = 5
)

// idleLimit adapts the idle time of connections whose peers advertise no timeout.
// A close by a peer shortens it; connections still open after long idle times let
// it grow again, so that crashes of peers do not shorten it permanently.
type idleLimit struct {
	current, longest time.Duration
}

func newIdleLimit(longest time.Duration) idleLimit {
	return idleLimit{current: longest, longest: longest}
}

// shorten reduces the limit after a peer closed a connection idle for this time.
func (l *idleLimit) shorten(idleTime time.Duration) {
	l.current = min(l.current, max(idleTime*shortenTenths/10, min(minIdle, l.longest)))
}

// extend raises the limit after a connection idle for this time was still open,
// unless the time was short.
func (l *idleLimit) extend(idleTime time.Duration) {
	if 2*idleTime >= l.current {
		l.current = min(l.current+l.current*growthHundredths/100, l.longest)
	}
}
