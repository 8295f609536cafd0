package node

import (
	"cmp"
	"context"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// assumedRow is a revision of the row, 0 for a missing one.
type assumedRow struct {
	known    bool
	revision uint64
}

const (
	// expiringWaits and expiredWaits are the ages, in waits for the history, between which a
	// configuration is about to become invalid.
	expiringWaits, expiredWaits = 2, 4
	// minHistoryTime is the least time for one request for the history.
	minHistoryTime = 300 * time.Millisecond
)

// errHistoryNotRequested is the error of a history that is not requested any more, since the gap
// that it would close is over.
var errHistoryNotRequested = fault.New(fault.StoreUnavailable, "the history of the configuration's row was not read in time")

// applyReading applies a read of the store that began at askedAt, and returns why it does not
// confirm the configuration in force; the reason is empty if it does.
//
// A store in contact confirms the configuration after a bounded gap even if its answers prove
// less: the content that it has lost stays unknown however long routers wait, and a router that
// starts uses the row as it is.
func (f *follower) applyReading(
	ctx context.Context, askedAt time.Time, reading *Reading, rollouts *knownRollouts,
) (catalog.Unconfirmed, error) {
	due := f.gap.Due(askedAt, f.historyWait())
	unconfirmed, err := f.applyRow(ctx, askedAt, reading, rollouts, due)
	if unconfirmed.Reason == "" || f.replica.configurationVersion() == 0 {
		f.gap.Close()
		return unconfirmed, err
	}
	f.gap.Observe(askedAt)
	if !due && !f.expiring(clock.Now()) {
		return unconfirmed, err
	}
	f.adoptKept(ctx, askedAt)
	f.replica.skipGap(&unconfirmed, reading, f.gap.Length(askedAt))
	f.gap.Close()
	return catalog.Unconfirmed{}, nil
}

// historyWait is how long a gap may last.
func (f *follower) historyWait() time.Duration {
	return cmp.Or(f.config.HistoryWait, defaultHistoryWait)
}

// expiring reports whether the configuration would not stay valid for another wait, since the gap
// follows other failures of the store. One that is not valid any more can wait.
func (f *follower) expiring(now time.Time) bool {
	age := f.replica.holder.View().Age(now)
	return age >= expiringWaits*f.historyWait() && age < expiredWaits*f.historyWait()
}

// historyTime returns the time for one request for the history, within the validity of the
// configuration.
func (f *follower) historyTime(now time.Time) time.Duration {
	left := expiringWaits*f.historyWait() - f.replica.holder.View().Age(now)
	if left <= 0 && !f.expiring(now) {
		return f.historyWait()
	}
	return max(left, minHistoryTime)
}

// skipGap confirms the configuration in force by a read that was answered, though unconfirmed says
// that it proves less. The history is read later, if it is there again.
func (r *replica) skipGap(unconfirmed *catalog.Unconfirmed, reading *Reading, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := &r.config
	log.WithFields(log.Fields{
		"version": held.version, "row_version": unconfirmed.RowVersion, "from": held.checkedRevision, "to": reading.Revision,
		"reason": unconfirmed.Reason, "gap_ms": length.Milliseconds(),
	}).Warn("configuration_gap_skipped")
	if reading.Revision > held.checkedRevision {
		held.checkedRevision, held.confirmedStoreRevision, held.historyUnknown = reading.Revision, reading.StoreRevision, true
	} else {
		held.assumed = assumedRow{known: true, revision: reading.Revision}
	}
	r.confirmConfiguration(r.node, unconfirmed.AskedAt)
}
