package node

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// markKey is the end of the key of a model's mark, which lies among its naming rows so
	// that one call reads both. It sorts before all versions, and so within maxNamings.
	markKey = "-watched"
	// markInterval is the time between two marks. A version that is named while all routers
	// are away counts as older by up to that: a call in 2 s for the whole fleet.
	markInterval = 2 * time.Second
	// maxMarks bounds the marks that are written in one call: a store takes 100 rows.
	maxMarks = 100
)

// publicationMark tells up to when every version of a model's weights that was named is kept. A
// router that starts while no other one is there has no memory to ask: without the mark it
// took a version that was named meanwhile for one named just then, and let requests begin on
// older weights for up to 4.8 s longer than they may, in 5 of 6 plays of a day with seven
// routers and one such version.
type publicationMark struct {
	// StoreTime is the store's own time.
	StoreTime time.Duration `cbor:"1,keyasint"`
}

// markPublications keeps the marks while this router reads the store for others, until ctx ends.
func (f *follower) markPublications(ctx context.Context) {
	marked := time.Duration(0)
	wait.Every(ctx, markInterval, func() {
		// Time at which the store was not read does not count.
		readAt := f.replica.lastRead().storeTime
		if readAt == marked || !f.watches() || !f.readsForOthers() || !f.allKept() {
			return
		}
		if err := f.publications.mark(ctx, f.replica.holder.View().Models, readAt); err != nil {
			log.WithFields(log.Fields{"cause": err.Error()}).Warn("namings_not_marked")
			return
		}
		marked = readAt
	})
}

// allKept reports whether there are rows of all versions that are known, as far as this router
// knows: what a peer told may have been kept by nobody, if that ended, until the rows are read.
func (f *follower) allKept() bool { return !f.notRecalled.Load() && !f.publications.writing() }

// mark writes the marks of models, as many in one call as it may hold. A mark that is written
// late, over a newer one, only makes what is named after it count as older.
func (n *publicationStore) mark(ctx context.Context, models map[ident.Model]catalog.PublishedVersion, storeTime time.Duration) error {
	value, err := cbor.Marshal(publicationMark{StoreTime: storeTime})
	if err != nil {
		return err
	}
	var writes []protocol.Write
	for model := range models {
		writes = append(writes, protocol.Write{Key: namingPrefix + string(model) + "/" + markKey, Value: value})
	}
	for some := range slices.Chunk(writes, maxMarks) {
		if err := n.commit(ctx, some); err != nil {
			return err
		}
	}
	return nil
}

// commit writes some rows.
func (n *publicationStore) commit(ctx context.Context, writes []protocol.Write) error {
	bounded, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	_, err := n.table.Commit(bounded, protocol.Transaction{Writes: writes})
	return err
}

// readMark returns the store's time that a mark tells, 0 if the row is none.
func readMark(value []byte) time.Duration {
	var mark publicationMark
	if err := cbor.Unmarshal(value, &mark); err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("naming_mark_unreadable")
		return 0
	}
	return mark.StoreTime
}

// writing reports whether rows of namings are not written yet: versions named before may
// then not be kept.
func (n *publicationStore) writing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pending) > 0
}

// unseenSince returns since when a version may have been named that a router met at its first
// look, for which it asked at a time, and whether that is known. All versions were kept up to
// the marked time; the store's own time is the one of the look.
func unseenSince(marked time.Duration, askedAt time.Time, storeTime time.Duration) (since time.Time, known bool) {
	// A mark of later than now was written before the store's time began anew.
	if marked == 0 || storeTime < marked {
		return askedAt, false
	}
	return askedAt.Add(marked - storeTime), true
}

// unaskedSince returns since when a version may have been named that this router finds in a
// row for which it asked at a time. That is then, if the rows were known shortly before, as they
// are asked for all the time. Else it is when they were known last: a router that stood still, or
// that was told by a peer which did, knows nothing of the time since. It is asked when the answer
// is there, as a peer may tell what it knew while the question is open.
func (f *follower) unaskedSince(askedAt time.Time) time.Time {
	known := f.rowsKnownTo()
	if known.IsZero() || askedAt.Sub(known) <= watchTolerance {
		return askedAt
	}
	return known
}

// rowsKnownTo returns up to when this router, or a peer that told it, knew the rows.
func (f *follower) rowsKnownTo() time.Time {
	if confirmedAt := f.replica.holder.View().ConfirmedAt; confirmedAt.After(f.rowsKnownAt) {
		return confirmedAt
	}
	return f.rowsKnownAt
}

// rowsUnanswered takes in a question for the rows without an answer. While a store turns questions
// away nothing is named, so that the rows are as they were; those that were not known shortly
// before stay unknown.
func (f *follower) rowsUnanswered(askedAt time.Time) {
	if known := f.rowsKnownTo(); !known.IsZero() && askedAt.Sub(known) <= watchTolerance {
		f.rowsKnownAt = askedAt
	}
}
