package claim

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// operationKind is a claim or the recording of an outcome.
type operationKind int

const (
	// operationClaim inserts a row in StateClaimed for a waiting caller.
	operationClaim operationKind = iota
	// operationRecord writes the outcome of an own claim, whose caller may be gone.
	operationRecord
)

// operation is one conditional write of one row. A retry is harmless: the row contains the
// claim id, so that a retry after a lost answer fails on its condition and returns its own
// claim id.
type operation struct {
	kind     operationKind
	row      string
	record   Record
	version  uint64
	queued   time.Time
	deadline time.Time
	// awaited is true while a caller waits for the answer.
	awaited bool
	// mayBeWritten is true once the row may contain this claim's id, now or later: it was read
	// there, or a transaction with it got no answer.
	mayBeWritten bool
	// sentState is the state written by the transaction in flight.
	sentState State
}

// release turns an abandoned claim into the recording of StateNotRun under the same condition.
// The write settles the claim for good: it either replaces the claimed row, or uses up the
// version that a slow insert still in the network depends on.
func (o *operation) release() {
	o.kind = operationRecord
	o.awaited = false
	o.record.State = StateNotRun
}

// resolution is the consequence of a transaction for an operation.
type resolution int

const (
	// resolutionRetry sends the operation again, updated.
	resolutionRetry resolution = iota
	// resolutionOwn means the row is as this operation writes it.
	resolutionOwn
	// resolutionOther means the row belongs to another claim.
	resolutionOther
	// resolutionReused means the row was claimed for another request.
	resolutionReused
	// resolutionUnreadable means the row cannot be decoded.
	resolutionUnreadable
)

// resolveCommitted returns the resolution after a committed write.
func (o *operation) resolveCommitted(row protocol.Row) resolution {
	o.version = row.Version
	o.mayBeWritten = true
	if o.sentState != o.record.State {
		return resolutionRetry
	}
	return resolutionOwn
}

// resolveRejected returns the resolution after a transaction that did not commit, by the
// current row of the operation's condition.
func (o *operation) resolveRejected(row protocol.Row) (resolution, Record) {
	if row.Version == o.version {
		return resolutionRetry, Record{}
	}
	if row.Version == 0 {
		return o.resolveDeleted(), Record{}
	}
	current, err := decodeRecord(row)
	// Versions only rise, so a transaction still in the network can no longer commit; the
	// current row is final.
	o.mayBeWritten = err == nil && current.ClaimID == o.record.ClaimID
	switch {
	case err != nil:
		return resolutionUnreadable, current
	case current.ClaimID == o.record.ClaimID && current.State == o.record.State:
		o.version = row.Version
		return resolutionOwn, current
	case current.ClaimID == o.record.ClaimID:
		o.version = row.Version
		return resolutionRetry, current
	case o.kind == operationRecord:
		return resolutionOther, current
	case current.Digest != o.record.Digest:
		return resolutionReused, current
	case current.State == StateNotRun:
		o.version = row.Version
		return resolutionRetry, current
	default:
		return resolutionOther, current
	}
}

// resolveDeleted returns the resolution if the row was deleted.
func (o *operation) resolveDeleted() resolution {
	if o.kind == operationRecord {
		return resolutionOther
	}
	o.version = 0
	return resolutionRetry
}
