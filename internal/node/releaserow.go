package node

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// releasesKey is the key of the row that keeps which releases the services have, or had lately. A router that
// starts while no other one runs learns from it of releases that have gone since.
const releasesKey = "releases"

const (
	// releasesRetryPause is the pause after a read or write of the row that failed.
	releasesRetryPause = 500 * time.Millisecond
	// maxReleasesBytes bounds the row: stores may take rows of 64 KB only.
	maxReleasesBytes = 48 << 10
)

// releasesRow is the value of the row.
type releasesRow struct {
	Services []backend.ServiceReleases `cbor:"1,keyasint"`
}

// releaseKeeper reads and writes the row. It is safe for concurrent use.
type releaseKeeper struct {
	table    store.Table
	backends *backend.Registry
	timeout  time.Duration
	// writes reports whether this router writes the row for all, epoch the store's epoch.
	writes func() bool
	epoch  func() uint64

	mu sync.Mutex
	// known is what the row held when it was last read or written in an epoch, at a revision; read is false
	// before.
	known    []backend.ServiceReleases
	read     bool
	inEpoch  uint64
	revision uint64
	// retryAt is when a call may be tried again after a failed one.
	retryAt time.Time
}

// load reads the row, and records in the registry what it holds. It reports whether the row could be read.
func (k *releaseKeeper) load(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	row, found, err := k.table.Read(bounded, releasesKey)
	if err != nil {
		k.failed(ctx, "releases_not_read", err)
		return false
	}
	var past releasesRow
	if found {
		if err := cbor.Unmarshal(row.Value, &past); err != nil {
			// It is written again.
			log.WithFields(log.Fields{"cause": err.Error()}).Warn("releases_not_read")
			past = releasesRow{}
		}
	}
	k.record(past.Services, row.Version, row.Epoch)
	k.backends.ObservePastReleases(clock.Now(), past.Services)
	return true
}

func (k *releaseKeeper) record(known []backend.ServiceReleases, revision, epoch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known, k.revision, k.inEpoch, k.read = known, revision, epoch, true
}

// failed logs a call that failed, and puts off the next one.
func (k *releaseKeeper) failed(ctx context.Context, event string, err error) {
	if ctx.Err() != nil {
		return
	}
	log.WithFields(log.Fields{"cause": err.Error()}).Warn(event)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retryAt = clock.Now().Add(releasesRetryPause)
}

// keep reads the row if nothing else has told which releases were listed before this router started, and
// writes it if this router does so for all and the releases have changed.
func (k *releaseKeeper) keep(ctx context.Context) {
	now := clock.Now()
	k.mu.Lock()
	read, wait := k.read && k.inEpoch == k.epoch(), now.Before(k.retryAt)
	k.mu.Unlock()
	if wait {
		return
	}
	if !read && (k.writes() || !k.backends.PastReleasesKnown()) && !k.load(ctx) {
		return
	}
	if !k.writes() {
		return
	}
	recent := k.backends.RecentReleases(now)
	k.mu.Lock()
	due, revision := k.read && !reflect.DeepEqual(recent, k.known), k.revision
	k.mu.Unlock()
	if due {
		k.write(ctx, recent, revision)
	}
}

// write writes the row, unless another router has written it since it was read.
func (k *releaseKeeper) write(ctx context.Context, recent []backend.ServiceReleases, revision uint64) {
	value, err := cbor.Marshal(releasesRow{Services: recent})
	if err != nil || len(value) > maxReleasesBytes {
		log.WithFields(log.Fields{"bytes": len(value)}).Warn("releases_not_kept")
		k.record(recent, revision, k.epoch())
		return
	}
	bounded, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	result, err := k.table.Commit(bounded, protocol.Transaction{
		Conditions: []protocol.Condition{{Key: releasesKey, Version: revision}},
		Writes:     []protocol.Write{{Key: releasesKey, Value: value}},
	})
	switch {
	case err != nil:
		k.failed(ctx, "releases_not_kept", err)
	case !result.Committed:
		k.load(ctx)
	default:
		k.record(recent, result.Rows[0].Version, result.Rows[0].Epoch)
	}
}
