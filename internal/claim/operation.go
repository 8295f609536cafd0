package claim

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// operationKind tells a claim from the recording of an outcome.
type operationKind int

const (
	// operationClaim inserts a row in StateClaimed for a waiting caller.
	operationClaim operationKind = iota
	// operationRecord writes the outcome of an own claim; nobody may wait.
	operationRecord
)

// operation is one conditional write of one row. Repeating it is harmless:
// the row names the claim id, so a repeat after a lost answer fails on its
// condition and is shown its own claim id.
type operation struct {
	kind     operationKind
	row      string
	record   Record
	version  uint64
	queued   time.Time
	deadline time.Time
	// awaited is true while a caller waits for the answer.
	awaited bool
	// mayBeWritten is true once the row may hold this claim's id, now or later: it
	// was seen there, or a transaction with it got no answer.
	mayBeWritten bool
	// sentState is the state written by the transaction in flight.
	sentState State
}

// release turns a claim that was given up into the recording of StateNotRun
// under the same condition. Writing it settles the claim for good: it either
// replaces the claimed row, or takes the version that a slow insert still in
// the network depends on.
func (o *operation) release() {
	o.kind = operationRecord
	o.awaited = false
	o.record.State = StateNotRun
}

// resolution says what becomes of an operation after a transaction.
type resolution int

const (
	// resolutionRetry sends the operation again, as it now stands.
	resolutionRetry resolution = iota
	// resolutionOwn means the row is as this operation wants it.
	resolutionOwn
	// resolutionOther means the row belongs to another claim.
	resolutionOther
	// resolutionReused means the row was claimed for another request.
	resolutionReused
	// resolutionUnreadable means the row cannot be understood.
	resolutionUnreadable
)

// resolveCommitted works out what a committed write of the operation means.
func (o *operation) resolveCommitted(row protocol.Row) resolution {
	o.version = row.Version
	o.mayBeWritten = true
	if o.sentState != o.record.State {
		return resolutionRetry
	}
	return resolutionOwn
}

// resolveRejected works out what the current row of the operation's condition
// means after a transaction that did not commit.
func (o *operation) resolveRejected(row protocol.Row) (resolution, Record) {
	if row.Version == o.version {
		return resolutionRetry, Record{}
	}
	if row.Version == 0 {
		return o.resolveDeleted(), Record{}
	}
	current, err := decodeRecord(row)
	// Versions only rise, so a transaction still in the network can no longer
	// commit; what stands in the row now is all there is.
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

// resolveDeleted handles a row that was there and is not any more.
func (o *operation) resolveDeleted() resolution {
	if o.kind == operationRecord {
		return resolutionOther
	}
	o.version = 0
	return resolutionRetry
}
