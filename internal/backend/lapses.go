package backend

import "time"

const (
	// outageFrom is how long the list must not have been read for its entries to
	// have lapsed meanwhile: back ends write theirs every second or so, and entries
	// that are not written for some seconds are removed.
	outageFrom = 2400 * time.Millisecond
	// returnWithin is how long after an outage a back end that lives has its entry
	// again.
	returnWithin = 2 * time.Second
)

// lapses follows outages of the list, during which the entries of back ends that
// live may have lapsed.
type lapses struct{ until time.Time }

// read takes in that the list was read again, with the time of the read before;
// the zero time means that there was none.
func (l *lapses) read(before, now time.Time) {
	if !before.IsZero() && now.Sub(before) >= outageFrom {
		l.until = now.Add(returnWithin)
	}
}

// cameBack takes in that the store of the list came back from an older copy, which lacks the
// entries of back ends that began since.
func (l *lapses) cameBack(now time.Time) { l.until = now.Add(returnWithin) }

// mayReturn reports whether an entry that is missing from a list may still come
// back.
func (l *lapses) mayReturn(listedAt time.Time) bool { return listedAt.Before(l.until) }
