package catalog

import (
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Freshness bounds how long a router acts on a configuration that it could
// not confirm. All durations count on a clock that also runs while the
// process is paused.
type Freshness struct {
	// Keyed is the oldest confirmation with which a request that carries a key
	// may be dispatched.
	Keyed time.Duration
	// Denial is the oldest confirmation with which a request may be told that
	// its route or key does not exist.
	Denial time.Duration
}

// PublishedVersion is the newest version of a model's weights that was named.
type PublishedVersion struct {
	Version int
	// Publications holds the versions seen here, oldest first. None was seen later than a newer
	// one.
	Publications []Publication
}

// Publication is one version and when it was first seen here.
type Publication struct {
	Version int
	SeenAt  time.Time
	// SeenAtStart is true if the version was there at the first look, so that it may
	// have been named long before SeenAt.
	SeenAtStart bool
}

// View is what a router believes at one moment. It is immutable.
type View struct {
	// Snapshot is nil until a configuration is known.
	Snapshot *Snapshot
	// ConfirmedAt is the latest time at which Snapshot is known to have been
	// the newest.
	ConfirmedAt time.Time
	// Models holds the newest named version of each model.
	Models map[ident.Model]PublishedVersion
}

// Age returns how old the confirmation is.
func (v View) Age(now time.Time) time.Duration { return now.Sub(v.ConfirmedAt) }

// Serves reports whether the configuration names a service; without one nothing tells that it
// does not. An entry that another writer left in the list of back ends may name any service.
func (v View) Serves(service ident.Service) bool {
	return v.Snapshot == nil || v.Snapshot.Service(service) != nil
}

// Holder keeps the newest configuration. Versions only rise within the life of
// a process. It is safe for concurrent use.
type Holder struct {
	mutex sync.RWMutex
	view  View
}

// View returns what is believed now.
func (h *Holder) View() View {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.view
}

// Adopt takes in a configuration that was the newest at confirmedAt. It
// reports whether a newer version than before is now in force. An older
// version than the one held is never taken, and confirms nothing. What
// confirmed the one before a newer one does not confirm the newer one.
func (h *Holder) Adopt(snapshot *Snapshot, confirmedAt time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.view.Snapshot != nil && snapshot.Version < h.view.Snapshot.Version {
		return false
	}
	newer := h.view.Snapshot == nil || snapshot.Version > h.view.Snapshot.Version
	if newer {
		h.view.Snapshot = snapshot
	}
	if newer || confirmedAt.After(h.view.ConfirmedAt) {
		h.view.ConfirmedAt = confirmedAt
	}
	return newer
}
