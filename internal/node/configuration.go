package node

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// heldConfiguration is the newest configuration that a router knows. Configurations are
// ordered by their own version: the revision of the store's row rises also with an older
// one that the store writes late.
type heldConfiguration struct {
	// version is 0 for none.
	version uint64
	body    []byte
	// checkedRevision is the revision of the row up to which none that the row held is newer.
	checkedRevision uint64
	// confirmedTo is the revision of the store at the own read that confirmed checkedRevision
	// last: the row had no other content until then. It is 0 if there was none.
	confirmedTo uint64
	// suspect is a later revision at which the row held none that is newer, while what it
	// held in between is forgotten.
	suspect uint64
	// unseen says that the row was believed by a router that knew none: what it held before
	// is not known.
	unseen bool
}

// lookBacks are how many revisions of the store a router that knew no configuration looks
// back in the row's history, from as far as a late write can matter (some seconds of a
// busy store) to as little as a store may keep.
var lookBacks = []uint64{4096, 512, 64}

// written is one content of the row of the configuration.
type written struct {
	revision uint64
	body     []byte
	snapshot *catalog.Snapshot
}

// configurationRead is what a read of the store, with the history that it asked for, tells
// of the configuration.
type configurationRead struct {
	askedAt time.Time
	// checkedRevision is the revision up to which the row was seen through before, 0 for none;
	// row is its content now, and newest the newest one since.
	seenThrough uint64
	row, newest written
	// storeRevision is that of the store at the read.
	storeRevision uint64
	// history is nil if all that the row held since is known.
	history  error
	rollouts *knownRollouts
}

// applyReading takes in a read of the store that was asked for at a time. What the row held
// since it was last seen is asked for, since a read shows the last write that was carried
// out, and a newer one may have stood there before it.
func (f *follower) applyReading(ctx context.Context, askedAt time.Time, reading *Reading, rollouts *knownRollouts) error {
	seenThrough, after, changed := f.replica.unseen(reading.Revision)
	if !changed {
		f.replica.confirmRow(askedAt, reading, rollouts)
		return nil
	}
	row, err := f.replica.decoded(reading)
	if err != nil {
		return err
	}
	read := &configurationRead{
		askedAt: askedAt, seenThrough: seenThrough, row: row, newest: row, storeRevision: reading.StoreRevision, rollouts: rollouts,
	}
	if seenThrough != 0 {
		read.newest, read.history = f.newestSince(ctx, after, row)
	}
	f.replica.takeRead(read)
	if errors.Is(read.history, ErrHistoryGone) {
		return nil
	}
	return read.history
}

// checkHistory asks what the row held before this router believed it without knowing any other
// configuration: the last write may be a late one of an older configuration. It is for the
// router that reads the store for all, since the others learn it from that one, and does
// not keep a router from starting.
func (f *follower) checkHistory(ctx context.Context, askedAt time.Time, reading *Reading) {
	if !f.readsForOthers() {
		return
	}
	row, due := f.replica.unseenRow(reading)
	if !due {
		return
	}
	newest, err := row, error(nil)
	for _, back := range lookBacks {
		newest, err = f.newestSince(ctx, store.RevisionBefore(row.revision, back), row)
		if !errors.Is(err, ErrHistoryGone) {
			break
		}
	}
	if err == nil || errors.Is(err, ErrHistoryGone) {
		f.replica.lookedBack(askedAt, row, newest)
	}
}

// newestSince returns the newest configuration that the row held after a revision until
// its present content, and whether that is known.
func (f *follower) newestSince(ctx context.Context, after uint64, row written) (written, error) {
	bounded, cancel := context.WithTimeout(ctx, f.config.ReadTimeout)
	defer cancel()
	held, err := f.source.Configurations(bounded, after, row.revision)
	if err != nil {
		return row, err
	}
	newest, complete := row, false
	for _, reading := range held {
		if reading.Revision >= row.revision {
			complete = true
			continue
		}
		content, err := f.replica.decoded(&reading)
		if err != nil {
			return row, err
		}
		if content.snapshot.Version > newest.snapshot.Version {
			newest = content
		}
	}
	if !complete {
		return newest, fault.New(fault.StoreUnavailable, "the store did not tell all that the configuration's row held")
	}
	return newest, nil
}

// decoded reads a content of the row.
func (r *replica) decoded(reading *Reading) (written, error) {
	snapshot, err := r.decode(reading.Body)
	return written{revision: reading.Revision, body: reading.Body, snapshot: snapshot}, err
}

// unseen returns the revision up to which the row is seen through, the one after which it
// may have held others, and whether something is to be found out about them. The second is
// as late as possible: a store keeps its changes for some seconds, while configurations may
// be minutes apart.
func (r *replica) unseen(revision uint64) (seenThrough, after uint64, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := &r.config
	changed = revision > held.checkedRevision && revision != held.suspect
	return held.checkedRevision, max(held.checkedRevision, held.confirmedTo), changed
}

// unseenRow returns the row of a reading, and whether it was believed without a look back.
func (r *replica) unseenRow(reading *Reading) (row written, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row = written{revision: reading.Revision, body: reading.Body, snapshot: r.holder.View().Snapshot}
	return row, r.config.unseen && reading.Revision == r.config.checkedRevision
}

// lookedBack takes in the newest configuration that the row held before a revision.
func (r *replica) lookedBack(askedAt time.Time, row, newest written) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config.checkedRevision != row.revision || !r.config.unseen {
		return
	}
	r.config.unseen = false
	if newest.snapshot.Version > r.config.version {
		r.hold(r.node, askedAt, newest)
		r.noteOutdated(&row, true)
	}
}

// confirmRow takes in that the row had a revision which was met before.
func (r *replica) confirmRow(askedAt time.Time, reading *Reading, rollouts *knownRollouts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reading.Revision == 0 || reading.Revision < r.config.checkedRevision {
		return
	}
	r.applyRollouts(askedAt, rollouts)
	if reading.Revision == r.config.checkedRevision {
		r.config.confirmedTo = max(r.config.confirmedTo, reading.StoreRevision)
		r.confirmHeld(r.node, askedAt)
	}
}

// takeRead takes in what a read tells.
func (r *replica) takeRead(read *configurationRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := &r.config
	if held.checkedRevision < read.seenThrough || held.checkedRevision >= read.row.revision {
		// A peer told of another one meanwhile: what this read asked for doesn't fit on.
		return
	}
	// Orders are known before the confirmation is: a release that waits for one must not
	// pass between the two.
	r.applyRollouts(read.askedAt, read.rollouts)
	cameBack := store.Epoch(read.row.revision) > store.Epoch(read.seenThrough)
	again := cameBack && read.newest.snapshot.Version == held.version
	newer := read.newest.snapshot.Version > held.version || (again && !bytes.Equal(read.newest.body, held.body))
	switch {
	case read.history == nil, (newer || again) && errors.Is(read.history, ErrHistoryGone):
		// Without a history the row is believed as by a router that has just started. That is
		// so as well where the store came back from an older copy: what the operator wrote
		// since is written again, so that an older one than is held here confirms nothing.
		held.checkedRevision = read.row.revision
		if newer {
			r.hold(r.node, read.askedAt, read.newest)
			held.unseen = read.seenThrough == 0
		}
		if cameBack {
			held.suspect, held.unseen = 0, true
		}
		held.confirmedTo = read.storeRevision
		r.confirmHeld(r.node, read.askedAt)
		r.noteOutdated(&read.row, true)
	case errors.Is(read.history, ErrHistoryGone):
		// One that nobody saw may have replaced the one held, and taken keys away.
		held.suspect = read.row.revision
		r.noteOutdated(&read.row, false)
	case newer:
		// The newer one is acted upon, but whether it is the newest is still asked.
		r.hold(r.node, r.holder.View().ConfirmedAt, read.newest)
	}
}

// applyConfiguration takes in a configuration that was the newest at confirmedAt, as a peer
// tells. An empty body stands for the one held. A peer that holds an older one is behind,
// whichever revision of the row it has met, and confirms nothing.
func (r *replica) applyConfiguration(
	origin ident.Node, confirmedAt time.Time, told *upstream.Configuration, rollouts *knownRollouts,
) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := &r.config
	newer := told.Version > held.version
	if told.Revision == 0 || told.Version < max(held.version, 1) || (newer && len(told.Body) == 0) {
		return nil
	}
	newest := written{}
	if newer {
		decoded, err := r.decoded(&Reading{Revision: told.Revision, Body: told.Body})
		if err != nil {
			return err
		}
		newest = decoded
	}
	r.applyRollouts(confirmedAt, rollouts)
	if newer {
		// What its row held until then, an own read of a later one did not see through.
		held.checkedRevision, held.confirmedTo = told.Revision, 0
		r.hold(origin, confirmedAt, newest)
	}
	held.checkedRevision = max(held.checkedRevision, told.Revision)
	r.confirmHeld(origin, confirmedAt)
	return nil
}

// behind reports whether a peer holds a newer configuration than this router.
func (r *replica) behind(told *upstream.Configuration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return told.Version > r.config.version
}

// hold puts a newer configuration in force; the caller holds the mutex, and sets up to
// which revision the row is seen through.
func (r *replica) hold(origin ident.Node, confirmedAt time.Time, newest written) {
	r.config.version, r.config.body = newest.snapshot.Version, newest.body
	r.config.suspect, r.config.unseen = 0, false
	r.holder.Adopt(newest.snapshot, confirmedAt)
	log.WithFields(log.Fields{
		"version": newest.snapshot.Version, "routes": newest.snapshot.RouteCount(), "revision": newest.revision,
		"read_ms": clock.Since(confirmedAt).Milliseconds(), "origin": origin,
	}).Info("configuration_adopted")
	r.bumpConfirmation(origin)
}

// confirmHeld takes in that the configuration held was the newest at a time; the caller
// holds the mutex.
func (r *replica) confirmHeld(origin ident.Node, confirmedAt time.Time) {
	view := r.holder.View()
	r.holder.Adopt(view.Snapshot, confirmedAt)
	if confirmedAt.After(view.ConfirmedAt) {
		r.bumpConfirmation(origin)
	}
}

// noteOutdated logs that the row holds another configuration than the one in force; the
// caller holds the mutex. Each revision is met once.
func (r *replica) noteOutdated(row *written, confirmed bool) {
	if confirmed && row.snapshot.Version == r.config.version {
		return
	}
	log.WithFields(log.Fields{
		"version": row.snapshot.Version, "known": r.config.version, "revision": row.revision, "confirmed": confirmed,
	}).Warn("configuration_row_outdated")
}
