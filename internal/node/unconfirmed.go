package node

import (
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
)

// unconfirmedInterval is the least time between two log lines about reads that do not confirm the
// configuration.
const unconfirmedInterval = 5 * time.Second

// unconfirmedReads reports reads of the store that do not confirm the configuration in force.
type unconfirmedReads struct {
	// onRead is called with the reason of each such read; it may be nil.
	onRead func(catalog.UnconfirmedReason)
	// count is the number of such reads in a row, loggedAt when one was last logged.
	count    int
	loggedAt time.Time
}

// observe records the result of a read; cause may be nil.
func (u *unconfirmedReads) observe(holder *catalog.Holder, unconfirmed catalog.Unconfirmed, cause error) {
	view := holder.View()
	if unconfirmed.Reason == "" {
		if u.count > 0 && view.Snapshot != nil {
			log.WithFields(log.Fields{"version": view.Snapshot.Version, "reads": u.count}).Info("configuration_confirmed_again")
		}
		u.count, u.loggedAt = 0, time.Time{}
		return
	}
	holder.SetUnconfirmed(unconfirmed)
	u.count++
	if u.onRead != nil {
		u.onRead(unconfirmed.Reason)
	}
	now := clock.Now()
	if !u.loggedAt.IsZero() && now.Sub(u.loggedAt) < unconfirmedInterval {
		return
	}
	u.loggedAt = now
	fields := log.Fields{
		"reason": unconfirmed.Reason, "reads": u.count, "row_version": unconfirmed.RowVersion, "row_revision": unconfirmed.RowRevision,
	}
	if view.Snapshot != nil {
		fields["version"], fields["age_ms"] = view.Snapshot.Version, view.Age(now).Milliseconds()
	}
	if cause != nil {
		fields["cause"] = cause.Error()
	}
	log.WithFields(fields).Warn("configuration_not_confirmed")
}

// unconfirmedBy returns why a read that began at askedAt did not confirm the configuration in force,
// given the error with which it was applied. The reason is empty if it did.
func (r *replica) unconfirmedBy(askedAt time.Time, reading *Reading, err error) catalog.Unconfirmed {
	view := r.holder.View()
	if view.Snapshot != nil && !view.ConfirmedAt.Before(askedAt) {
		return catalog.Unconfirmed{}
	}
	unconfirmed := catalog.Unconfirmed{AskedAt: askedAt, RowRevision: reading.Revision}
	row, decodeErr := r.decodeRow(reading)
	if decodeErr == nil {
		unconfirmed.RowVersion = row.snapshot.Version
	}
	r.mu.Lock()
	checked, suspect := r.config.checkedRevision, r.config.suspectRevision
	r.mu.Unlock()
	switch {
	case reading.Revision == 0:
		unconfirmed.Reason = catalog.RowMissing
	case decodeErr != nil:
		unconfirmed.Reason = catalog.RowUnreadable
	case reading.Revision < checked:
		unconfirmed.Reason = catalog.RevisionReturned
	case reading.Revision == suspect || errors.Is(err, ErrHistoryGone):
		unconfirmed.Reason = catalog.HistoryGone
	default:
		unconfirmed.Reason = catalog.HistoryNotRead
	}
	return unconfirmed
}
