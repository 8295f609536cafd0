package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/affinity"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// streamRowPrefix starts the keys of the rows with records of streams, one row a router.
const streamRowPrefix = "streams/"

const (
	// minStreamRowInterval is the least time between two writes of this router's row, and
	// streamRowIntervalPerRouter that time for each router, so that all together write at most 40
	// times a second.
	minStreamRowInterval       = 500 * time.Millisecond
	streamRowIntervalPerRouter = 25 * time.Millisecond
	// streamRowRetryPause is added to that time after a write that failed.
	streamRowRetryPause = 2 * time.Second
	// maxStreamRowRecords bounds the records of a row, of some 60 bytes each.
	maxStreamRowRecords = 400
)

// streamRow is the value of a router's row.
type streamRow struct {
	// StoreTime is the store's time of the write, 0 if unknown.
	StoreTime time.Duration     `cbor:"1,keyasint,omitempty"`
	Records   []affinity.Record `cbor:"2,keyasint"`
}

// ownRecord is the record of a stream that this router began.
type ownRecord struct {
	affinity.Record
	expiresAt time.Time
}

// streamRows keeps the records of this router's streams in the store, so that some are left when all
// routers end at once. No stream waits for that.
type streamRows struct {
	table   store.Table
	timeout time.Duration
	node    ident.Node

	mu      sync.Mutex
	own     []ownRecord
	changed bool
	// written is whether the row may exist, writtenAt when it was last written.
	written   bool
	writtenAt time.Time
	// storeTime is the store's time at storeTimeAt, 0 if unknown.
	storeTime   time.Duration
	storeTimeAt time.Time
}

// add adds a stream that this router began; the oldest makes room.
func (r *streamRows) add(now time.Time, record *affinity.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.own) >= maxStreamRowRecords {
		r.own = r.own[1:]
	}
	r.own = append(r.own, ownRecord{*record, now.Add(record.TTL)})
	r.changed = true
}

// next returns the row to write now, false if none is due. The row without records is to be removed.
func (r *streamRows) next(now time.Time, interval time.Duration) (streamRow, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := r.own[:0]
	row := streamRow{}
	for _, known := range r.own {
		if ttl := known.expiresAt.Sub(now); ttl > 0 {
			live = append(live, known)
			row.Records = append(row.Records, affinity.Record{Key: known.Key, Origin: known.Origin, TTL: ttl})
		}
	}
	r.own = live
	ended := len(live) == 0 && r.written
	if now.Sub(r.writtenAt) < interval || (!r.changed && !ended) {
		return streamRow{}, false
	}
	if r.storeTime > 0 {
		row.StoreTime = r.storeTime + now.Sub(r.storeTimeAt)
	}
	r.writtenAt, r.changed, r.written = now, false, len(live) > 0
	return row, true
}

// write writes this router's row if that is due.
func (r *streamRows) write(ctx context.Context, routers int) {
	now := clock.Now()
	row, due := r.next(now, max(minStreamRowInterval, time.Duration(routers)*streamRowIntervalPerRouter))
	if !due {
		return
	}
	write := protocol.Write{Key: streamRowPrefix + string(r.node), Delete: len(row.Records) == 0}
	if !write.Delete {
		value, err := cbor.Marshal(row)
		if err != nil {
			log.WithFields(log.Fields{"cause": err.Error()}).Warn("streams_not_kept")
			return
		}
		write.Value = value
	}
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	written, err := r.table.Commit(bounded, protocol.Transaction{Writes: []protocol.Write{write}})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("streams_not_kept")
		r.writtenAt, r.changed, r.written = now.Add(streamRowRetryPause), true, true
		return
	}
	if len(written.Rows) > 0 && written.Rows[0].StoreTime > 0 {
		r.storeTime, r.storeTimeAt = written.Rows[0].StoreTime, now
	}
}

// read returns the records of all rows whose time is not over.
func (r *streamRows) read(ctx context.Context) ([]affinity.Record, error) {
	bounded, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	list, err := r.table.List(bounded, streamRowPrefix, smallFleet)
	if err != nil {
		return nil, errors.Wrap(err, "read the records of streams")
	}
	var records []affinity.Record
	for _, found := range list.Rows {
		var row streamRow
		if cbor.Unmarshal(found.Value, &row) != nil || len(row.Records) > maxStreamRowRecords {
			log.WithFields(log.Fields{"row": found.Key}).Warn("streams_unreadable")
			continue
		}
		age := time.Duration(0)
		if row.StoreTime > 0 && found.StoreTime > row.StoreTime {
			age = found.StoreTime - row.StoreTime
		}
		for _, record := range row.Records {
			if record.TTL = min(record.TTL, affinity.MaxTTL) - age; record.TTL > 0 && record.Origin.Valid() {
				records = append(records, record)
			}
		}
	}
	return records, nil
}

const (
	// rowsWait bounds the wait of a stream for the rows of a router that has just started, and
	// rowsPoll is the time between two checks whether they can be read or written.
	rowsWait = 200 * time.Millisecond
	rowsPoll = 20 * time.Millisecond
	// maxRowReads bounds the attempts to read the rows.
	maxRowReads = 5
)

// awaitRows waits a bounded time until the rows were read that routers before this one have left.
func (s *streams) awaitRows(ctx context.Context) {
	if s.rows == nil {
		return
	}
	timer := time.NewTimer(rowsWait)
	defer timer.Stop()
	select {
	case <-s.loaded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// keepRows reads the rows once the instance list is known, and then writes this router's own until
// ctx ends.
func (s *streams) keepRows(ctx context.Context) {
	s.keepReleases(ctx)
	for s.backends.ListedAt().IsZero() {
		if !wait.For(ctx, rowsPoll) {
			return
		}
	}
	for range maxRowReads {
		if s.large() || s.loadRows(ctx) || !wait.For(ctx, s.rows.timeout) {
			break
		}
	}
	close(s.loaded)
	wait.Every(ctx, streamsTick, func() {
		s.keepReleases(ctx)
		if !s.large() {
			s.rows.write(ctx, s.count())
		}
	})
}

// keepReleases reads or writes the row of the releases of all services if that is due. In a large fleet the
// routers that read the store tell the others what it holds.
func (s *streams) keepReleases(ctx context.Context) {
	if s.releases != nil && (!s.large() || s.releases.writes()) {
		s.releases.keep(ctx)
	}
}

// loadRows applies the records of all rows, and reports whether they could be read.
func (s *streams) loadRows(ctx context.Context) bool {
	records, err := s.rows.read(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("streams_not_read")
		return false
	}
	var gone []backend.GoneRelease
	for index := range records {
		origin := &records[index].Origin
		s.put(&records[index])
		release := backend.GoneRelease{Service: origin.Service, Release: origin.Release}
		if !s.backends.HasRelease(origin.Service, origin.Release) && !slices.Contains(gone, release) {
			gone = append(gone, release)
		}
	}
	s.backends.ObserveGoneReleases(clock.Now(), gone)
	return true
}
