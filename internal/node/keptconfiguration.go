package node

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// keptPrefix starts the keys of the rows that keep the newest configuration that a router has
// adopted. A late write of an older one may have replaced it in the operator's row, and routers that
// start after the store has forgotten that learn of it here only.
const keptPrefix = "configuration/"

const (
	// keepInterval is the time between two checks whether the configuration must be written.
	keepInterval = 200 * time.Millisecond
	// keepRetryPause is the pause after a failed write, and keepTooLargePause that after one of a
	// configuration that does not fit.
	keepRetryPause    = time.Second
	keepTooLargePause = 10 * time.Minute
	// maxKeptBytes bounds the content of one row: stores may take rows of 64 KB only.
	maxKeptBytes = 32 << 10
	// maxKeptRows bounds the rows, which are written in one transaction.
	maxKeptRows = 16
)

// keptRow is the value of one row: a part of the compressed configuration.
type keptRow struct {
	Version uint64 `cbor:"1,keyasint"`
	// Rows is the number of rows.
	Rows int    `cbor:"2,keyasint"`
	Data []byte `cbor:"3,keyasint"`
}

// errKeptTooLarge means that a configuration does not fit into the rows.
var errKeptTooLarge = errors.New("the compressed configuration is too large to be kept")

// configurationKeeper writes and reads the rows of the newest configuration. It is safe for
// concurrent use.
type configurationKeeper struct {
	table   store.Table
	timeout time.Duration

	mu sync.Mutex
	// version is that of the rows, as last read or written in an epoch of the store; 0 if unknown.
	version, epoch uint64
	// revision is that of the first row, and rows the number of rows.
	revision uint64
	rows     int
	// retryAt is when a write may be tried again after a failed one.
	retryAt time.Time
}

func keptKey(index int) string { return keptPrefix + strconv.Itoa(index) }

// read returns the version and the content of the kept configuration, 0 if there is none.
func (k *configurationKeeper) read(ctx context.Context) (version uint64, body []byte, err error) {
	bounded, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	list, err := k.table.List(bounded, keptPrefix, 2*maxKeptRows)
	if err != nil {
		return 0, nil, err
	}
	rows := make(map[string]protocol.Row, len(list.Rows))
	for _, row := range list.Rows {
		rows[row.Key] = row
	}
	first, found := rows[keptKey(0)]
	if !found {
		k.record(0, list.Epoch, 0, 0)
		return 0, nil, nil
	}
	version, packed, count, err := joinKept(rows)
	if err != nil {
		// They are written again.
		k.record(0, list.Epoch, first.Version, len(rows))
		return 0, nil, err
	}
	if body, err = upstream.Decompress(packed); err != nil {
		k.record(0, list.Epoch, first.Version, count)
		return 0, nil, err
	}
	k.record(version, list.Epoch, first.Version, count)
	return version, body, nil
}

// joinKept joins the content of the rows, by key.
func joinKept(rows map[string]protocol.Row) (version uint64, packed []byte, count int, err error) {
	for index := 0; index == 0 || index < count; index++ {
		var part keptRow
		if err := cbor.Unmarshal(rows[keptKey(index)].Value, &part); err != nil {
			return 0, nil, 0, errors.Wrapf(err, "decode the row %s", keptKey(index))
		}
		if index == 0 {
			version, count = part.Version, part.Rows
		}
		if part.Version != version || part.Rows != count || count > maxKeptRows {
			return 0, nil, 0, errors.Errorf("the row %s is of another configuration", keptKey(index))
		}
		packed = append(packed, part.Data...)
	}
	return version, packed, count, nil
}

func (k *configurationKeeper) record(version, epoch, revision uint64, rows int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version, k.epoch, k.revision, k.rows = version, epoch, revision, rows
}

// due reports whether a configuration must be written in an epoch of the store.
func (k *configurationKeeper) due(now time.Time, version, epoch uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return version != 0 && (k.version < version || k.epoch != epoch) && !now.Before(k.retryAt)
}

// write writes a compressed configuration unless the rows have a newer one.
func (k *configurationKeeper) write(ctx context.Context, version uint64, packed []byte) error {
	transaction, err := k.transaction(version, packed)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	result, err := k.table.Commit(bounded, transaction)
	if err != nil {
		return err
	}
	if !result.Committed {
		// Another router has written them: what they hold is read before the next attempt.
		_, _, err := k.read(ctx)
		return err
	}
	first := result.Rows[0]
	k.record(version, first.Epoch, first.Version, rowsOf(packed))
	return nil
}

func rowsOf(packed []byte) int { return max((len(packed)+maxKeptBytes-1)/maxKeptBytes, 1) }

// transaction returns the transaction that replaces the known rows by those of a configuration.
func (k *configurationKeeper) transaction(version uint64, packed []byte) (protocol.Transaction, error) {
	count := rowsOf(packed)
	if count > maxKeptRows {
		return protocol.Transaction{}, errKeptTooLarge
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	transaction := protocol.Transaction{Conditions: []protocol.Condition{{Key: keptKey(0), Version: k.revision}}}
	index := 0
	for part := range slices.Chunk(packed, maxKeptBytes) {
		value, err := cbor.Marshal(keptRow{Version: version, Rows: count, Data: part})
		if err != nil {
			return protocol.Transaction{}, errors.Wrap(err, "encode a row of the configuration")
		}
		transaction.Writes = append(transaction.Writes, protocol.Write{Key: keptKey(index), Value: value})
		index++
	}
	for ; index < k.rows; index++ {
		transaction.Writes = append(transaction.Writes, protocol.Write{Key: keptKey(index), Delete: true})
	}
	return transaction, nil
}

// postpone puts off the next write after a failed one.
func (k *configurationKeeper) postpone(now time.Time, pause time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retryAt = now.Add(pause)
}

// keepConfiguration writes the newest configuration to the rows while this router reads the store
// for others, until ctx ends.
func (f *follower) keepConfiguration(ctx context.Context) {
	wait.Every(ctx, keepInterval, func() {
		now := clock.Now()
		if !f.watchesStore() || !f.readsForOthers() || !f.kept.due(now, f.replica.configurationVersion(), f.epochs.Epoch()) {
			return
		}
		version, packed := f.replica.configurationToKeep()
		if packed == nil {
			f.kept.postpone(now, keepRetryPause)
			return
		}
		if err := f.kept.write(ctx, version, packed); err != nil && ctx.Err() == nil {
			pause := keepRetryPause
			if errors.Is(err, errKeptTooLarge) {
				pause = keepTooLargePause
			}
			f.kept.postpone(now, pause)
			log.WithFields(log.Fields{"version": version, "cause": err.Error()}).Warn("configuration_not_kept")
		}
	})
}

// configurationToKeep returns the version and the compressed content of the configuration in force,
// nil if it cannot be compressed.
func (r *replica) configurationToKeep() (version uint64, packed []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, packed = r.config.bodyFor(true)
	return r.config.version, packed
}

// adoptKept adopts the kept configuration if it is newer than the one in force. An error does not
// keep a router from starting.
func (f *follower) adoptKept(ctx context.Context, askedAt time.Time) {
	if f.kept == nil {
		return
	}
	version, body, err := f.kept.read(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("kept_configuration_not_read")
		return
	}
	f.keptRead = true
	if version <= f.replica.configurationVersion() {
		return
	}
	content, err := f.replica.decodeRow(&Reading{Body: body})
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("kept_configuration_not_read")
		return
	}
	f.replica.recall(askedAt, content)
}

// recall adopts a kept configuration that is newer than the one in force.
func (r *replica) recall(askedAt time.Time, content rowContent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if content.snapshot.Version <= r.config.version {
		return
	}
	log.WithFields(log.Fields{"version": content.snapshot.Version, "known": r.config.version}).Warn("configuration_recalled")
	confirmedAt := askedAt
	if view := r.holder.View(); view.Snapshot != nil {
		confirmedAt = view.ConfirmedAt
	}
	r.adopt(r.node, confirmedAt, content)
}
