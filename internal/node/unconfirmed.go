package node

import (
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
