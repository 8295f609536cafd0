package catalog

import (
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Freshness bounds the age of a configuration's last confirmation, measured on a clock that
// also runs while the process is paused.
type Freshness struct {
	// Keyed is the maximum age for dispatching requests with an API key.
	Keyed time.Duration
	// Denial is the maximum age for answering that a route or key does not exist.
	Denial time.Duration
}

// PublishedVersion is the newest published version of a model's weights.
type PublishedVersion struct {
	Version int
	// Publications holds the known versions, oldest first; SeenAt never decreases.
	Publications []Publication
}

// Publication is a published version and the time at which this router first saw it.
type Publication struct {
	Version int
	SeenAt  time.Time
	// SeenAtStart is true if the version existed at the first read, so that it may have
	// been published long before SeenAt.
	SeenAtStart bool
}

// UnconfirmedReason is why a read of the configuration did not confirm the one in force.
type UnconfirmedReason string

const (
	// ReadFailed means that the store did not answer, or refused the read.
	ReadFailed UnconfirmedReason = "read_failed"
	// RowMissing means that the store has no configuration.
	RowMissing UnconfirmedReason = "row_missing"
	// RowUnreadable means that the configuration cannot be decoded.
	RowUnreadable UnconfirmedReason = "row_unreadable"
	// HistoryNotRead means that the row has changed and its earlier content could not be read.
	HistoryNotRead UnconfirmedReason = "history_not_read"
	// HistoryGone means that the row has changed and the store has forgotten its earlier content.
	HistoryGone UnconfirmedReason = "history_gone"
	// RevisionReturned means that the row has an earlier revision than before.
	RevisionReturned UnconfirmedReason = "revision_returned"
)

// Unconfirmed describes a read of the configuration that did not confirm the one in force.
type Unconfirmed struct {
	// Reason is empty if the last read confirmed the configuration.
	Reason UnconfirmedReason
	// AskedAt is when the read began.
	AskedAt time.Time
	// RowRevision is the row's revision, and RowVersion the version of its content; 0 if unknown.
	RowRevision, RowVersion uint64
}

// View is an immutable copy of the state of a Holder.
type View struct {
	// Snapshot is nil until the first configuration is adopted.
	Snapshot *Snapshot
	// ConfirmedAt is the latest time at which Snapshot is known to have been
	// the newest.
	ConfirmedAt time.Time
	// Models holds the newest published version of each model.
	Models map[ident.Model]PublishedVersion
	// Unconfirmed describes the last read of this router if it confirmed nothing.
	Unconfirmed Unconfirmed
}

// Age returns the time since the last confirmation.
func (v View) Age(now time.Time) time.Duration { return now.Sub(v.ConfirmedAt) }

// Serves reports whether the configuration contains a service, true if there is none yet.
// The instance list may contain entries of other writers with any service.
func (v View) Serves(service ident.Service) bool {
	return v.Snapshot == nil || v.Snapshot.Service(service) != nil
}

// Holder keeps the newest configuration; its version never decreases. It is safe for
// concurrent use.
type Holder struct {
	mutex sync.RWMutex
	view  View
}

// View returns the current view.
func (h *Holder) View() View {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.view
}

// Adopt applies a configuration that was the newest at confirmedAt, and reports whether its
// version is newer than the present one. An older version is ignored and confirms nothing.
// A newer version starts with its own confirmation time, also if that is earlier.
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
	if h.view.ConfirmedAt.After(h.view.Unconfirmed.AskedAt) {
		h.view.Unconfirmed = Unconfirmed{}
	}
	return newer
}

// SetUnconfirmed records a read that did not confirm the configuration.
func (h *Holder) SetUnconfirmed(unconfirmed Unconfirmed) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.view.Unconfirmed = unconfirmed
}
