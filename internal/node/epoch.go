package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// rejoinLook is the time between two looks at whether the store came back from an older
	// copy, which may lack this router's row.
	rejoinLook = 250 * time.Millisecond
	// rejoinedWithin is how long after that all routers have their rows again that reach the
	// store: they hear of it with a pull, and count each other once more. Until then the
	// number of routers is not taken for smaller.
	rejoinedWithin = 15 * time.Second
)

// optionalEpochs is the count of a port, or that of a store which never comes back from an older
// copy if there is none.
type optionalEpochs struct{ port Epochs }

// counts reports whether there is a port.
func (e optionalEpochs) counts() bool { return e.port != nil }

// Epoch returns the newest epoch.
func (e optionalEpochs) Epoch() uint64 {
	if e.port == nil {
		return 0
	}
	return e.port.Epoch()
}

// First is that of Epochs.
func (e optionalEpochs) First() (first uint64, known bool) {
	if e.port == nil {
		return 0, false
	}
	return e.port.First()
}

// ObserveFirst is that of Epochs.
func (e optionalEpochs) ObserveFirst(first uint64) {
	if e.port != nil {
		e.port.ObserveFirst(first)
	}
}

// noteEpoch takes in that the store may have come back from an older copy, as an answer to
// this router or a peer shows. It is called before what was read is taken in.
func (f *follower) noteEpoch() {
	epoch := max(f.epochs.Epoch(), f.peersEpoch.Load())
	for seen := f.seenEpoch.Load(); epoch > seen; seen = f.seenEpoch.Load() {
		if f.seenEpoch.CompareAndSwap(seen, epoch) {
			now := clock.Now()
			log.WithFields(log.Fields{"epoch": epoch}).Info("store_epoch_seen")
			f.replica.cameBack(now)
			f.replica.backends.StoreRestored(now)
		}
	}
}

// takeEpoch takes in what a peer tells of the store's epochs.
func (f *follower) takeEpoch(update *upstream.Update) {
	if update.FirstEra > 0 {
		f.epochs.ObserveFirst(update.FirstEra - 1)
	}
	for known := f.peersEpoch.Load(); update.Epoch > known; known = f.peersEpoch.Load() {
		f.peersEpoch.CompareAndSwap(known, update.Epoch)
	}
	f.noteEpoch()
}

// maintainRow writes this router's row again when the store came back without it, until ctx ends.
func (f *follower) maintainRow(ctx context.Context) {
	wait.Every(ctx, rejoinLook, func() {
		f.noteEpoch()
		if !f.chain.joined() || f.routerList.current(f.seenEpoch.Load()) {
			return
		}
		askedAt := clock.Now()
		self, peers, routers, err := f.routerList.rejoin(ctx)
		if err != nil {
			log.WithFields(log.Fields{"cause": err.Error()}).Warn("router_row_not_written_again")
			return
		}
		f.noteEpoch()
		f.replica.rejoined(self)
		f.takeRoster(askedAt, self, peers, routers)
		log.WithFields(log.Fields{"revision": self.Revision, "peers": len(peers), "routers": routers}).Info("rejoined")
	})
}

// takeRoster takes in this router's row and those of the others.
func (f *follower) takeRoster(askedAt time.Time, self upstream.Peer, peers []upstream.Peer, routers int) {
	f.recipients.know(peers)
	f.replica.counted(askedAt, routers)
	if f.onJoined != nil {
		f.onJoined(self, peers)
	}
	f.chain.use(func(chain *upstream.Chain) { chain.Join(self, peers) })
}
