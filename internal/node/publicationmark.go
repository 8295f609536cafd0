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
	// markKey ends the key of a model's mark, which shares the prefix of its publication rows
	// so that one call reads both. It sorts before all versions, hence within
	// maxPublicationRows.
	markKey = "-watched"
	// markInterval is the time between two marks, and by how much too old a version may count
	// that was published while all routers were down.
	markInterval = 2 * time.Second
	// maxMarksPerWrite is the number of rows that the store accepts in one transaction.
	maxMarksPerWrite = 100
)

// publicationMark records up to when every published version of a model has a row. A router
// that starts without peers needs it to bound the age of a version that was published while
// no router ran; otherwise requests could start on older weights for too long.
type publicationMark struct {
	// StoreTime is in the store's own time.
	StoreTime time.Duration `cbor:"1,keyasint"`
}

// markPublications writes the marks while this router reads the store for others, until ctx ends.
func (f *follower) markPublications(ctx context.Context) {
	marked := time.Duration(0)
	wait.Every(ctx, markInterval, func() {
		// Without a new read of the store the mark must not advance.
		readAt := f.replica.lastRead().storeTime
		if readAt == marked || !f.watchesStore() || !f.readsForOthers() || !f.allPublicationsStored() {
			return
		}
		if err := f.publications.writeMarks(ctx, f.replica.holder.View().Models, readAt); err != nil {
			log.WithFields(log.Fields{"cause": err.Error()}).Warn("namings_not_marked")
			return
		}
		marked = readAt
	})
}

// allPublicationsStored reports whether all known versions have rows. Until the rows are read
// that is unknown: the peer that reported a version may have ended before it wrote the row.
func (f *follower) allPublicationsStored() bool {
	return !f.rowsLoadFailed.Load() && !f.publications.hasPending()
}

// writeMarks writes the marks of models in batches. A late write over a newer mark is harmless:
// later publications only count as older.
func (p *publicationStore) writeMarks(ctx context.Context, models map[ident.Model]catalog.PublishedVersion, storeTime time.Duration) error {
	value, err := cbor.Marshal(publicationMark{StoreTime: storeTime})
	if err != nil {
		return err
	}
	var writes []protocol.Write
	for model := range models {
		writes = append(writes, protocol.Write{Key: publicationPrefix + string(model) + "/" + markKey, Value: value})
	}
	for batch := range slices.Chunk(writes, maxMarksPerWrite) {
		if err := p.commit(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

func (p *publicationStore) commit(ctx context.Context, writes []protocol.Write) error {
	bounded, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	_, err := p.table.Commit(bounded, protocol.Transaction{Writes: writes})
	return err
}

// decodeMark returns the store's own time in a mark, 0 if it is unreadable.
func decodeMark(value []byte) time.Duration {
	var mark publicationMark
	if err := cbor.Unmarshal(value, &mark); err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("naming_mark_unreadable")
		return 0
	}
	return mark.StoreTime
}

// hasPending reports whether some publication rows are not written yet.
func (p *publicationStore) hasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending) > 0
}

// unmarkedSince returns the earliest time at which a version that a router's first read found
// can have been published, and whether that is known. The read was requested at askedAt, and
// storeTime is the store's own time at the read. All versions were stored up to marked.
func unmarkedSince(marked time.Duration, askedAt time.Time, storeTime time.Duration) (since time.Time, known bool) {
	// A mark in the future was written before the store's clock was reset.
	if marked == 0 || storeTime < marked {
		return askedAt, false
	}
	return askedAt.Add(marked - storeTime), true
}

// rowsUnknownSince returns the earliest time at which a version found by a read, requested at
// askedAt, can have been published: askedAt if the rows were known shortly before, else when they
// were last known, as this router or the peer that supplied it may have been paused. Call it once
// the answer has arrived, since a peer's update may be applied during the read.
func (f *follower) rowsUnknownSince(askedAt time.Time) time.Time {
	known := f.rowsKnownUntil()
	if known.IsZero() || askedAt.Sub(known) <= watchTolerance {
		return askedAt
	}
	return known
}

// rowsKnownUntil returns up to when the rows are known, by own reads or from a peer.
func (f *follower) rowsKnownUntil() time.Time {
	if confirmedAt := f.replica.holder.View().ConfirmedAt; confirmedAt.After(f.rowsReadAt) {
		return confirmedAt
	}
	return f.rowsReadAt
}

// rowsReadFailed records a failed read of the rows. A store that answers no reads accepts no
// writes, so rows known shortly before are still current; others stay unknown.
func (f *follower) rowsReadFailed(askedAt time.Time) {
	if known := f.rowsKnownUntil(); !known.IsZero() && askedAt.Sub(known) <= watchTolerance {
		f.rowsReadAt = askedAt
	}
}
