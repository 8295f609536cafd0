package lease

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// tableEpoch is the newest observed epoch of the table.
type tableEpoch struct {
	known  bool
	newest uint64
}

// observe records the epoch of an answer, and reports whether the table was restored from an older
// copy since an earlier answer.
func (e *tableEpoch) observe(epoch uint64) bool {
	restored := e.known && epoch > e.newest
	if !e.known || restored {
		e.known, e.newest = true, epoch
	}
	return restored
}

// observeEpoch records the epoch in which a row was read. After a restore the row may be an old
// copy or missing; a machine that observed no epoch before then assumes that the restore was just
// now. A holder whose lease has not expired is still the last one.
func (m *Machine) observeEpoch(now time.Time, row *protocol.Row) {
	knownBefore := m.epoch.known
	restored := m.epoch.observe(row.Epoch)
	rowCopied := !knownBefore && m.record.Epoch < row.Epoch
	if !restored && !rowCopied {
		return
	}
	m.restoredAt = now
	if m.held && now.Before(m.until) {
		m.restoredAt = time.Time{}
		m.floor = max(m.floor, m.fence-1)
		return
	}
	// Another session may have held the lease since, and an earlier write of this session may still
	// be carried out: use only fences of this epoch.
	m.floor = max(m.floor, m.epoch.newest*fencesPerEpoch)
}

// awaitsHolder reports whether a holder that the restored row does not show may still hold the
// lease.
func (m *Machine) awaitsHolder(now time.Time) bool {
	return !m.restoredAt.IsZero() && now.Before(m.restoredAt.Add(m.config.Duration))
}
