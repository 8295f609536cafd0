package backend

import "time"

const (
	// minListOutage is how long the list must not have been read for entries of live back ends
	// to have expired: back ends write theirs about every second, and entries that are not
	// written for some seconds are removed.
	minListOutage = 2400 * time.Millisecond
	// listOutageGrace is how long after an outage it takes for a live back end to be listed
	// again.
	listOutageGrace = 2 * time.Second
)

// listOutage tracks outages of the instance list, during which the entries of live back ends
// may have expired.
type listOutage struct{ graceUntil time.Time }

// observeRead records a read of the list; before is the time of the previous read, zero if
// there was none.
func (l *listOutage) observeRead(before, now time.Time) {
	if !before.IsZero() && now.Sub(before) >= minListOutage {
		l.graceUntil = now.Add(listOutageGrace)
	}
}

// observeRestore records that the store was restored from an older copy, which lacks newer back
// ends.
func (l *listOutage) observeRestore(now time.Time) { l.graceUntil = now.Add(listOutageGrace) }

// mayReturn reports whether an entry that is missing from a list may still return.
func (l *listOutage) mayReturn(listedAt time.Time) bool { return listedAt.Before(l.graceUntil) }
