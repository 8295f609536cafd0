package backend

import "time"

const (
	// minListOutage is how long the list must not have been read for its entries to
	// have lapsed meanwhile: back ends write theirs every second or so, and entries
	// that are not written for some seconds are removed.
	minListOutage = 2400 * time.Millisecond
	// listOutageGrace is how long after an outage a back end that lives has its entry
	// again.
	listOutageGrace = 2 * time.Second
)

// listOutage follows outages of the list, during which the entries of back ends that
// live may have lapsed.
type listOutage struct{ graceUntil time.Time }

// observeRead takes in that the list was read again, with the time of the read before;
// the zero time means that there was none.
func (l *listOutage) observeRead(before, now time.Time) {
	if !before.IsZero() && now.Sub(before) >= minListOutage {
		l.graceUntil = now.Add(listOutageGrace)
	}
}

// observeRestore takes in that the store of the list came back from an older copy, which lacks the
// entries of back ends that began since.
func (l *listOutage) observeRestore(now time.Time) { l.graceUntil = now.Add(listOutageGrace) }

// mayReturn reports whether an entry that is missing from a list may still come
// back.
func (l *listOutage) mayReturn(listedAt time.Time) bool { return listedAt.Before(l.graceUntil) }
