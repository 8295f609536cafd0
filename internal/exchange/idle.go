package exchange

import "time"

const (
	// leastIdle is how long a connection may rest at least whose peer told no time.
	leastIdle = time.Second
	// idleKept is the part, in tenths, of the rest that a peer ended which later
	// rests may last.
	idleKept = 7
	// idleGrowth is the part, in hundredths, by which the limit grows when a long
	// rest turns out to have been borne.
	idleGrowth = 5
)

// idleLimit learns how long connections may rest whose peers tell no time. A rest
// that a peer ended shortens it, long ones that were borne let it grow again, so
// that peers which crash do not shorten it for good.
type idleLimit struct {
	current, most time.Duration
}

func newIdleLimit(most time.Duration) idleLimit {
	return idleLimit{current: most, most: most}
}

// ended takes in that a peer ended a connection which had rested for so long.
func (l *idleLimit) ended(rested time.Duration) {
	l.current = min(l.current, max(rested*idleKept/10, min(leastIdle, l.most)))
}

// borne takes in that a connection was still open after a rest.
func (l *idleLimit) borne(rested time.Duration) {
	if 2*rested >= l.current {
		l.current = min(l.current+l.current*idleGrowth/100, l.most)
	}
}
