package node

import (
	"context"
	"errors"
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// longList is the number of back ends above which the instance list is followed by its changes:
// up to that it is read in one call, so that changes would save none.
const longList = 500

// maxListChangesAge is the age of a long list from which it is read whole if its changes are not
// answered.
const maxListChangesAge = 4 * time.Second

// listPosition is up to where the changes of the instance list are known.
type listPosition struct {
	// revision is the store's revision that the list includes, 0 if unknown.
	revision uint64
	// keys has the instance of each row, nil until this router follows the changes.
	keys map[string]ident.Incarnation
}

// readBackends reads the instance list from the store, or its changes if the list is long and its
// revision is known.
func (f *follower) readBackends(ctx context.Context) error {
	askedAt := clock.Now()
	if f.feed == nil {
		bounded, cancel := f.readContext(ctx)
		defer cancel()
		records, err := f.source.Backends(bounded)
		if err != nil {
			return err
		}
		f.observeEpoch()
		f.applyWholeList(askedAt, records, 0)
		return nil
	}
	if revision := f.replica.feedRevision(); revision != 0 {
		err := f.readBackendChanges(ctx, askedAt, revision)
		if err == nil || (!errors.Is(err, ErrHistoryGone) && f.replica.listAge(askedAt, f.startedAt) < maxListChangesAge) {
			return err
		}
	}
	rows, err := f.feed.BackendRows(ctx, f.config.ReadTimeout, func() error { return f.beginLongList(askedAt) })
	if errors.Is(err, errListLeftToPeers) {
		f.awaitPeers(ctx)
		return nil
	}
	if err != nil {
		f.replica.setReadingSince(time.Time{})
		return err
	}
	f.observeEpoch()
	records := make([]backend.Record, 0, len(rows.Rows))
	for _, row := range rows.Rows {
		if row.Listed {
			records = append(records, row.Record)
		}
	}
	f.applyWholeList(askedAt, records, rows.Revision)
	return nil
}

// errListLeftToPeers means that a starting router does not read a long list, since a peer does.
var errListLeftToPeers = errors.New("the instance list is long, and peers are expected to supply it")

// beginLongList decides whether to read a list to its end, after its first rows. A starting router
// leaves a long one to the first router, for as long as that may take.
func (f *follower) beginLongList(askedAt time.Time) error {
	f.longList.Store(true)
	if !f.chain.reads() && !f.replica.initialized() && clock.Since(f.startedAt) < f.startWait() {
		return errListLeftToPeers
	}
	f.replica.setReadingSince(askedAt)
	return nil
}

// applyWholeList applies a list read at askedAt, which includes a revision of the store.
func (f *follower) applyWholeList(askedAt time.Time, records []backend.Record, revision uint64) {
	f.replica.backends.MarkDraining(records)
	list := fullList(records)
	list.StoreRevision = revision
	f.replica.applyList(f.replica.node, askedAt, list)
}

// readBackendChanges reads the changes of the instance list after a revision.
func (f *follower) readBackendChanges(ctx context.Context, askedAt time.Time, after uint64) error {
	bounded, cancel := f.readContext(ctx)
	defer cancel()
	rows, err := f.feed.BackendChanges(bounded, after)
	if err != nil {
		return err
	}
	f.observeEpoch()
	f.replica.applyRows(askedAt, after, &rows, f.feed.KeyOf)
	return nil
}

// feedRevision returns the revision after which to read the changes of the list, 0 if the list is
// to be read whole.
func (r *replica) feedRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list.records) <= longList {
		return 0
	}
	return r.listPosition.revision
}

// maxListRead bounds how long a router may take to read a long list for those that wait for it.
const maxListRead = 15 * time.Second

// setReadingSince records since when a router that supplies this one, or this one itself, has been
// reading a long list; the zero time means that none does.
func (r *replica) setReadingSince(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	began := r.readingSince.IsZero() != since.IsZero()
	r.readingSince = since
	if began && !r.initializedLocked() {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// Pending implements upstream.State.
func (r *replica) Pending(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readingFor(now) > 0
}

// readingFor returns for how long a router that supplies this one has been reading a long list, 0
// if none is or this router has state. The caller holds the mutex.
func (r *replica) readingFor(now time.Time) time.Duration {
	if r.initializedLocked() || r.readingSince.IsZero() || now.Sub(r.readingSince) > maxListRead {
		return 0
	}
	return max(now.Sub(r.readingSince), 1)
}

// applyRows applies changed rows of the list that were read at askedAt, after a revision.
func (r *replica) applyRows(askedAt time.Time, after uint64, rows *BackendRows, keyOf func(ident.Incarnation) string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	position := &r.listPosition
	if position.revision != after || !askedAt.After(r.listedAt) {
		// A peer supplied another list meanwhile.
		return
	}
	if position.keys == nil {
		position.keys = make(map[string]ident.Incarnation, len(r.list.records))
		for index := range r.list.records {
			instance := r.list.records[index].Instance
			position.keys[keyOf(instance)] = instance
		}
	}
	change := r.changeOf(rows.Rows, position.keys)
	list := &upstream.List{Digest: r.list.digest, StoreRevision: rows.Revision}
	if len(change.records)+len(change.removed) > 0 {
		list.Included, list.Base, list.Records, list.Removed = true, r.list.digest, change.records, change.removed
		list.Digest = digestOfSum(r.list.sumWith(&change))
	}
	r.applyListLocked(r.node, askedAt, list)
}

// changeOf returns how rows change the list, and updates the instances of their keys. Rows that
// differ in their revisions alone change nothing. The caller holds the mutex.
func (r *replica) changeOf(rows []BackendRow, keys map[string]ident.Incarnation) listChange {
	changed := make(map[ident.Incarnation]backend.Record)
	removed := make(map[ident.Incarnation]bool)
	for index := range rows {
		row := &rows[index]
		if earlier, known := keys[row.Key]; known && (!row.Listed || earlier != row.Record.Instance) {
			delete(keys, row.Key)
			delete(changed, earlier)
			removed[earlier] = true
		}
		if !row.Listed {
			continue
		}
		keys[row.Key] = row.Record.Instance
		changed[row.Record.Instance] = row.Record
		delete(removed, row.Record.Instance)
	}
	var change listChange
	for _, record := range changed {
		change.records = append(change.records, record)
	}
	r.backends.MarkDraining(change.records)
	change.records = r.list.withNewContent(change.records)
	for instance := range removed {
		if _, found := r.list.find(instance); found {
			change.removed = append(change.removed, instance)
		}
	}
	return change
}
