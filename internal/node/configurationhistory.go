package node

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store"
)

// historyDepths are the numbers of revisions of the store, tried in turn, for which checkHistory
// reads the row's history: from as far back as a late write can matter (some seconds of a
// busy store) to as little as a store may keep.
var historyDepths = []uint64{4096, 512, 64}

// checkHistory reads what the row held before this router adopted it without knowing another
// configuration: the last write may be a late one of an older configuration. Only the router
// that reads the store for others does so. An error does not keep a router from starting.
func (f *follower) checkHistory(ctx context.Context, askedAt time.Time, reading *Reading) {
	if !f.readsForOthers() {
		return
	}
	row, due := f.replica.rowToCheck(reading)
	if !due {
		return
	}
	newest, err := row, error(nil)
	for _, depth := range historyDepths {
		newest, err = f.newestSince(ctx, store.RevisionBefore(row.revision, depth), row)
		if !errors.Is(err, ErrHistoryGone) {
			break
		}
	}
	if err == nil || errors.Is(err, ErrHistoryGone) {
		f.replica.applyHistory(askedAt, row, newest)
	}
}

// newestSince returns the newest configuration that the row held after a revision, its present
// content included, and an error unless the whole history is known.
func (f *follower) newestSince(ctx context.Context, after uint64, row rowContent) (rowContent, error) {
	bounded, cancel := f.readContext(ctx)
	defer cancel()
	bounded, cancelBound := context.WithTimeout(bounded, f.historyTime(clock.Now()))
	defer cancelBound()
	history, err := f.source.Configurations(bounded, after, row.revision)
	if err != nil {
		return row, err
	}
	newest, complete := row, false
	for _, reading := range history {
		if reading.Revision >= row.revision {
			complete = true
			continue
		}
		content, err := f.replica.decodeRow(&reading)
		if err != nil {
			// It cannot be in force, and must not hide those after it.
			log.WithFields(log.Fields{"revision": reading.Revision, "cause": err.Error()}).Warn("configuration_unreadable")
			continue
		}
		if content.snapshot.Version > newest.snapshot.Version {
			newest = content
		}
	}
	if !complete {
		return newest, fault.New(fault.StoreUnavailable, "the store returned an incomplete history of the configuration's row")
	}
	return newest, nil
}

// historyToCheck returns the checked revision, the revision after which the history is to be
// read, and whether the row has changed. The second is as late as possible: a store keeps its
// changes for some seconds, while configurations may be minutes apart.
func (r *replica) historyToCheck(revision uint64) (checkedRevision, after uint64, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := &r.config
	changed = revision > held.checkedRevision
	return held.checkedRevision, max(held.checkedRevision, held.confirmedStoreRevision), changed
}

// rowToCheck returns the row of a reading, and whether it was adopted with unknown history.
func (r *replica) rowToCheck(reading *Reading) (row rowContent, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row = rowContent{revision: reading.Revision, body: reading.Body, snapshot: r.holder.View().Snapshot}
	return row, r.config.historyUnknown && reading.Revision == r.config.checkedRevision
}

// applyHistory applies the newest configuration of the history of a row.
func (r *replica) applyHistory(askedAt time.Time, row, newest rowContent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config.checkedRevision != row.revision || !r.config.historyUnknown {
		return
	}
	r.config.historyUnknown = false
	if newest.snapshot.Version > r.config.version {
		r.adopt(r.node, askedAt, newest)
		r.logOutdatedRow(&row, true)
	}
}

// logOutdatedRow logs that the row holds another configuration than the one in force, once
// for each revision; the caller holds the mutex.
func (r *replica) logOutdatedRow(row *rowContent, confirmed bool) {
	if confirmed && row.snapshot.Version == r.config.version {
		return
	}
	if !confirmed {
		if r.config.outdatedRevision == row.revision {
			return
		}
		r.config.outdatedRevision = row.revision
	}
	log.WithFields(log.Fields{
		"version": row.snapshot.Version, "known": r.config.version, "revision": row.revision, "confirmed": confirmed,
	}).Warn("configuration_row_outdated")
}
