package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// changesOmittedFor is for how long a store that is about to forget its history may omit changes
// from its answers.
const changesOmittedFor = 1500 * time.Millisecond

// confirmByChanges confirms the configuration by requests for changes while reads of its row fail or
// do not end: an answer without the row is short, and may be given while those are not. It ends
// with ctx.
func (f *follower) confirmByChanges(ctx context.Context) {
	confirming := false
	wait.Every(ctx, f.config.ConfigurationInterval, func() {
		if !f.watchesStore() || f.replica.holder.View().Age(clock.Sync()) <= 2*f.config.ConfigurationInterval {
			confirming = false
			return
		}
		confirmed := f.requestConfirmingChanges(ctx)
		if confirmed && !confirming {
			log.WithFields(log.Fields{"version": f.replica.configurationVersion()}).Warn("configuration_confirmed_by_changes")
		}
		confirming = confirmed
	})
}

// requestConfirmingChanges requests the changes since the last confirmation, and reports whether
// they confirm the configuration.
func (f *follower) requestConfirmingChanges(ctx context.Context) bool {
	after := f.replica.confirmedRevision()
	if after == 0 {
		return false
	}
	askedAt := clock.Now()
	changes, err := f.changes(ctx, after, recheckHold)
	if err != nil || changes.Partial {
		return false
	}
	f.observeEpoch()
	// Before the confirmation, from which on the rows of versions count as known.
	f.applyConfirming(ctx, askedAt, after, &changes)
	return f.adoptWatched(&changes) && f.replica.confirmChanges(askedAt.Add(-changesOmittedFor), after, &changes)
}

// applyConfirming applies the versions among the changes after a revision, which were requested at a time. They
// may have been published at any moment since the configuration was last confirmed.
func (f *follower) applyConfirming(ctx context.Context, askedAt time.Time, after uint64, changes *Changes) {
	age := askedAt.Sub(f.replica.holder.View().ConfirmedAt)
	if age <= watchTolerance {
		age = 0
	}
	f.applyPublished(ctx, after, askedAt, age, true, changes)
}

// confirmedRevision returns the store's revision at the last read that confirmed the configuration,
// 0 if unknown.
func (r *replica) confirmedRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.config.checkedRevision, r.config.confirmedStoreRevision)
}

// confirmChanges confirms the configuration as of a time by all changes after a revision, and reports
// whether no other read has confirmed it meanwhile.
func (r *replica) confirmChanges(confirmedAt time.Time, after uint64, changes *Changes) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := &r.config
	if max(held.checkedRevision, held.confirmedStoreRevision) != after {
		return false
	}
	for index := range changes.Configurations {
		held.checkedRevision = max(held.checkedRevision, changes.Configurations[index].Revision)
	}
	held.confirmedStoreRevision = max(held.confirmedStoreRevision, changes.StoreRevision)
	r.confirmConfiguration(r.node, confirmedAt)
	return true
}
