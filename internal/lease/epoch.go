package lease

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// tableEpoch is the newest epoch of the table that answers showed.
type tableEpoch struct {
	known  bool
	newest uint64
}

// observe takes in the epoch of an answer, and reports whether the table came back from an older
// copy since another answer.
func (e *tableEpoch) observe(epoch uint64) bool {
	restored := e.known && epoch > e.newest
	if !e.known || restored {
		e.known, e.newest = true, epoch
	}
	return restored
}

// observeEpoch takes in the epoch in which a row was read. A row that was written in an earlier one
// may be a copy, and one that is missing may be lost; when the table came back is not known then
// to a machine that saw no epoch before. A holder whose time is not over is the last one.
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
	// What this session once held may have been another one's since, and a write of before may
	// still be carried out: it takes a fence of this epoch.
	m.floor = max(m.floor, m.epoch.newest*fencesPerEpoch)
}

// awaitsHolder reports whether another one may still hold the lease, although the row does not
// tell it.
func (m *Machine) awaitsHolder(now time.Time) bool {
	return !m.restoredAt.IsZero() && now.Before(m.restoredAt.Add(m.config.Duration))
}
