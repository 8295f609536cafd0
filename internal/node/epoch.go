package node

import (
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

const (
	// rejoinCheckInterval is the time between two checks for a restore of the store, which may
	// have lost this router's row.
	rejoinCheckInterval = 250 * time.Millisecond
	// rejoinWindow is the time after a restore in which all routers that reach the store write
	// their rows again. Until then the number of routers may not decrease.
	rejoinWindow = 15 * time.Second
)

// optionalEpochs wraps Epochs; without a port the store counts as never restored.
type optionalEpochs struct{ port Epochs }

// enabled reports whether there is a port.
func (e optionalEpochs) enabled() bool { return e.port != nil }

// Epoch implements Epochs.
func (e optionalEpochs) Epoch() uint64 {
	if e.port == nil {
		return 0
	}
	return e.port.Epoch()
}

// First implements Epochs.
func (e optionalEpochs) First() (first uint64, known bool) {
	if e.port == nil {
		return 0, false
	}
	return e.port.First()
}

// ObserveFirst implements Epochs.
func (e optionalEpochs) ObserveFirst(first uint64) {
	if e.port != nil {
		e.port.ObserveFirst(first)
	}
}

// observeEpoch handles a restore of the store if an answer to this router or a peer showed one.
// Call it before the answer is applied.
func (f *follower) observeEpoch() {
	epoch := max(f.epochs.Epoch(), f.peersEpoch.Load())
	for handled := f.handledEpoch.Load(); epoch > handled; handled = f.handledEpoch.Load() {
		if f.handledEpoch.CompareAndSwap(handled, epoch) {
			now := clock.Now()
			log.WithFields(log.Fields{"epoch": epoch}).Info("store_epoch_seen")
			f.replica.storeRestored(now)
			f.replica.backends.StoreRestored(now)
		}
	}
}

// applyPeerEpoch applies the store's epochs as a peer reports them.
func (f *follower) applyPeerEpoch(update *upstream.Update) {
	if update.FirstEra > 0 {
		f.epochs.ObserveFirst(update.FirstEra - 1)
	}
	for known := f.peersEpoch.Load(); update.Epoch > known; known = f.peersEpoch.Load() {
		f.peersEpoch.CompareAndSwap(known, update.Epoch)
	}
	f.observeEpoch()
}
