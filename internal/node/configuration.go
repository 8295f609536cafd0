package node

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// heldConfiguration is the newest configuration that a router knows. Configurations are
// ordered by their own version, since a late write of an older one raises the row's revision
// as well.
type heldConfiguration struct {
	// version is 0 for none.
	version uint64
	body    []byte
	// contentRevision is the row's revision with this content, 0 if it was not read from the row.
	contentRevision uint64
	// packed is the compressed body, nil until a peer needs it.
	packed []byte
	// checkedRevision is the row's revision up to which it held no newer configuration.
	checkedRevision uint64
	// confirmedStoreRevision is the store's revision at the last read of this router that found
	// the row at checkedRevision, 0 for none.
	confirmedStoreRevision uint64
	// assumed is a row that is taken to hold no newer configuration after a gap, though it is
	// missing or has an earlier revision than checkedRevision.
	assumed assumedRow
	// outdatedRevision is the newest revision that was logged as outdated without confirmation.
	outdatedRevision uint64
	// historyUnknown is true if the configuration was adopted without the row's earlier content,
	// since this router knew none before.
	historyUnknown bool
}

// bodyFor returns the body for a peer, compressed if the peer reads that.
func (h *heldConfiguration) bodyFor(readsPacked bool) (plain, packed []byte) {
	if !readsPacked || len(h.body) == 0 {
		return h.body, nil
	}
	if h.packed == nil {
		compressed, err := upstream.Compress(h.body)
		if err != nil {
			log.WithFields(log.Fields{"cause": err.Error()}).Warn("configuration_not_packed")
			return h.body, nil
		}
		h.packed = compressed
	}
	return nil, h.packed
}

// rowContent is one content of the row of the configuration.
type rowContent struct {
	revision uint64
	body     []byte
	snapshot *catalog.Snapshot
}

// configurationRead is the result of a read of the configuration and its history.
type configurationRead struct {
	askedAt time.Time
	// checkedRevision is that of the configuration held before the read, 0 for none; row is the
	// row's content at the read, and newest the newest content since checkedRevision.
	checkedRevision uint64
	row, newest     rowContent
	// unreadable is whether the row cannot be decoded; row has the content held then.
	unreadable bool
	// adopted is whether the row's content was adopted before its history was read, by this read or
	// from a change.
	adopted bool
	// storeRevision is the store's revision at the read.
	storeRevision uint64
	// historyErr is nil if all content since checkedRevision is known.
	historyErr error
	rollouts   *knownRollouts
}

// applyRow applies the configuration's row. If it has changed, its history since the last read is
// read as well, unless the gap is over: the last write may be a late one of an older
// configuration. A newer configuration is in force before its history is known.
func (f *follower) applyRow(
	ctx context.Context, askedAt time.Time, reading *Reading, rollouts *knownRollouts, gapOver bool,
) (catalog.Unconfirmed, error) {
	unconfirmed := catalog.Unconfirmed{AskedAt: askedAt, RowRevision: reading.Revision}
	checkedRevision, after, changed := f.replica.historyToCheck(reading.Revision)
	if !changed {
		unconfirmed.Reason = f.replica.confirmRow(askedAt, reading, rollouts)
		return unconfirmed, nil
	}
	row, decodeErr := f.replica.decodeRow(reading)
	if decodeErr != nil {
		if row = f.replica.heldRow(reading.Revision); row.snapshot == nil {
			unconfirmed.Reason = catalog.RowUnreadable
			return unconfirmed, decodeErr
		}
	} else {
		unconfirmed.RowVersion = row.snapshot.Version
	}
	read := &configurationRead{
		askedAt: askedAt, checkedRevision: checkedRevision, row: row, newest: row, unreadable: decodeErr != nil,
		storeRevision: reading.StoreRevision, rollouts: rollouts,
	}
	switch {
	case checkedRevision == 0:
	case gapOver:
		read.historyErr = errHistoryNotRequested
	default:
		read.adopted = f.replica.adoptUnconfirmed(read)
		read.newest, read.historyErr = f.newestSince(ctx, after, row)
	}
	unconfirmed.Reason = f.replica.applyRead(read)
	switch {
	case unconfirmed.Reason == catalog.RowUnreadable:
		return unconfirmed, decodeErr
	case errors.Is(read.historyErr, ErrHistoryGone):
		return unconfirmed, nil
	}
	return unconfirmed, read.historyErr
}

func (r *replica) decodeRow(reading *Reading) (rowContent, error) {
	snapshot, err := r.decode(reading.Body)
	return rowContent{revision: reading.Revision, body: reading.Body, snapshot: snapshot}, err
}

// configurationVersion returns the version of the configuration in force, 0 for none.
func (r *replica) configurationVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.version
}

// heldRow returns the configuration held as the content of the row at a revision. Its snapshot is
// nil if none is held.
func (r *replica) heldRow(revision uint64) rowContent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rowContent{revision: revision, body: r.config.body, snapshot: r.holder.View().Snapshot}
}

// confirmRow applies a reading of a row whose revision is known, and returns why it does not
// confirm the configuration in force.
func (r *replica) confirmRow(askedAt time.Time, reading *Reading, rollouts *knownRollouts) catalog.UnconfirmedReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := &r.config
	assumed := held.assumed == assumedRow{known: true, revision: reading.Revision}
	switch {
	case reading.Revision == held.checkedRevision && reading.Revision != 0:
		held.confirmedStoreRevision = max(held.confirmedStoreRevision, reading.StoreRevision)
	case assumed:
	case reading.Revision == 0:
		return catalog.RowMissing
	default:
		return catalog.RevisionReturned
	}
	r.applyRollouts(askedAt, rollouts)
	r.confirmConfiguration(r.node, askedAt)
	return ""
}

// adoptWatched puts the newest configuration among changes in force if it is newer, without
// confirming it: the row may hold an older one again before the next read, and its history may be
// forgotten by then. It reports whether all of them could be decoded.
func (f *follower) adoptWatched(changes *Changes) (readable bool) {
	var newest rowContent
	readable = true
	for index := range changes.Configurations {
		content, err := f.replica.decodeRow(&changes.Configurations[index])
		switch {
		case err != nil:
			readable = false
		case newest.snapshot == nil || content.snapshot.Version > newest.snapshot.Version:
			newest = content
		}
	}
	if newest.snapshot != nil {
		f.replica.adoptChange(newest)
	}
	return readable
}

// adoptChange adopts a newer content of the row that a change had.
func (r *replica) adoptChange(content rowContent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config.version == 0 || content.snapshot.Version <= r.config.version {
		return
	}
	// What is known of the row's history stays as it is.
	historyUnknown := r.config.historyUnknown
	r.adopt(r.node, r.holder.View().ConfirmedAt, content)
	r.config.historyUnknown = historyUnknown
}

// adoptUnconfirmed puts the row's configuration in force if it is newer, without confirming it, and
// reports whether it is in force.
func (r *replica) adoptUnconfirmed(read *configurationRead) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config.checkedRevision >= read.row.revision {
		return false
	}
	if read.row.snapshot.Version <= r.config.version {
		return r.config.contentRevision == read.row.revision
	}
	r.applyRollouts(read.askedAt, read.rollouts)
	r.adopt(r.node, r.holder.View().ConfirmedAt, read.row)
	return true
}

// applyRead applies a changed row, and returns why it does not confirm the configuration in force.
func (r *replica) applyRead(read *configurationRead) catalog.UnconfirmedReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := &r.config
	if held.checkedRevision < read.checkedRevision || held.checkedRevision >= read.row.revision {
		// A peer supplied another one during the read, whose history is not the one read.
		return ""
	}
	// Orders go first: a release that waits for the confirmation must not be used before
	// its order is known.
	r.applyRollouts(read.askedAt, read.rollouts)
	restored := store.Epoch(read.row.revision) > store.Epoch(read.checkedRevision)
	sameVersion := restored && !read.unreadable && read.newest.snapshot.Version == held.version
	newer := read.newest.snapshot.Version > held.version || (sameVersion && !bytes.Equal(read.newest.body, held.body))
	gone := errors.Is(read.historyErr, ErrHistoryGone)
	switch {
	case !read.unreadable && (read.historyErr == nil || (gone && (newer || sameVersion || read.adopted))):
		// A newer row is adopted even without its history, as by a router that has just
		// started. So is one of the same version from a restored store; an older one confirms
		// nothing, since the operator writes the lost ones again.
		held.checkedRevision = read.row.revision
		if newer {
			r.adopt(r.node, read.askedAt, read.newest)
		}
		if read.checkedRevision == 0 || restored {
			held.historyUnknown = true
		}
		held.confirmedStoreRevision = read.storeRevision
		r.confirmConfiguration(r.node, read.askedAt)
		r.logOutdatedRow(&read.row, true)
		return ""
	case newer:
		// The newer one is used, but not confirmed: its history is read again.
		r.adopt(r.node, r.holder.View().ConfirmedAt, read.newest)
	}
	switch {
	case read.unreadable:
		return catalog.RowUnreadable
	case gone:
		// An unobserved configuration may have replaced the held one and revoked keys.
		r.logOutdatedRow(&read.row, false)
		return catalog.HistoryGone
	default:
		return catalog.HistoryNotRead
	}
}

// applyConfiguration applies a peer's configuration, which was the newest at confirmedAt. An
// empty body means the version held here. An older one confirms nothing, whatever its row's
// revision.
func (r *replica) applyConfiguration(
	origin ident.Node, confirmedAt time.Time, received *upstream.Configuration, rollouts *knownRollouts,
) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := &r.config
	newer := received.Version > held.version
	if received.Revision == 0 || received.Version < max(held.version, 1) || (newer && len(received.Body) == 0) {
		return nil
	}
	newest := rowContent{}
	if newer {
		decoded, err := r.decodeRow(&Reading{Revision: received.Revision, Body: received.Body})
		if err != nil {
			return err
		}
		newest = decoded
	}
	r.applyRollouts(confirmedAt, rollouts)
	if newer {
		// The history before its revision was not read here.
		held.checkedRevision, held.confirmedStoreRevision = received.Revision, 0
		r.adopt(origin, confirmedAt, newest)
	}
	held.checkedRevision = max(held.checkedRevision, received.Revision)
	r.confirmConfiguration(origin, confirmedAt)
	return nil
}

// behind reports whether a peer holds a newer configuration than this router.
func (r *replica) behind(received *upstream.Configuration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return received.Version > r.config.version
}

// maxLoggedProblems bounds the problems of a configuration in one log line.
const maxLoggedProblems = 20

// adopt puts a newer configuration in force; the caller holds the mutex and sets
// checkedRevision.
func (r *replica) adopt(origin ident.Node, confirmedAt time.Time, newest rowContent) {
	r.config.version, r.config.body, r.config.packed = newest.snapshot.Version, newest.body, nil
	r.config.contentRevision = newest.revision
	r.config.assumed, r.config.historyUnknown = assumedRow{}, false
	r.holder.Adopt(newest.snapshot, confirmedAt)
	log.WithFields(log.Fields{
		"version": newest.snapshot.Version, "routes": newest.snapshot.RouteCount(), "revision": newest.revision,
		"read_ms": clock.Since(confirmedAt).Milliseconds(), "origin": origin,
	}).Info("configuration_adopted")
	if problems := newest.snapshot.Problems(); len(problems) > 0 {
		log.WithFields(log.Fields{
			"version": newest.snapshot.Version, "count": len(problems), "problems": problems[:min(len(problems), maxLoggedProblems)],
		}).Warn("configuration_partly_unreadable")
	}
	r.bumpConfirmation(origin)
}

// confirmConfiguration records that the configuration held was the newest at a time; the
// caller holds the mutex.
func (r *replica) confirmConfiguration(origin ident.Node, confirmedAt time.Time) {
	view := r.holder.View()
	r.holder.Adopt(view.Snapshot, confirmedAt)
	if confirmedAt.After(view.ConfirmedAt) {
		r.bumpConfirmation(origin)
	}
}
