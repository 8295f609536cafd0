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
	// mayStand is true once the row may hold this claim's id, now or later: it
	// was seen there, or a transaction with it got no answer.
	mayStand bool
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

// verdict says what becomes of an operation after a transaction.
type verdict int

const (
	// verdictRetry sends the operation again, as it now stands.
	verdictRetry verdict = iota
	// verdictOwn means the row is as this operation wants it.
	verdictOwn
	// verdictOther means the row belongs to another claim.
	verdictOther
	// verdictReused means the row was claimed for another request.
	verdictReused
	// verdictBroken means the row cannot be understood.
	verdictBroken
)

// judgeCommitted works out what a committed write of the operation means.
func (o *operation) judgeCommitted(row protocol.Row) verdict {
	o.version = row.Version
	o.mayStand = true
	if o.sentState != o.record.State {
		return verdictRetry
	}
	return verdictOwn
}

// judgeRefused works out what the current row of the operation's condition
// means after a transaction that did not commit.
func (o *operation) judgeRefused(row protocol.Row) (verdict, Record) {
	if row.Version == o.version {
		return verdictRetry, Record{}
	}
	if row.Version == 0 {
		return o.judgeVanished(), Record{}
	}
	current, err := decodeRecord(row)
	// Versions only rise, so a transaction still in the network can no longer
	// commit; what stands in the row now is all there is.
	o.mayStand = err == nil && current.ClaimID == o.record.ClaimID
	switch {
	case err != nil:
		return verdictBroken, current
	case current.ClaimID == o.record.ClaimID && current.State == o.record.State:
		o.version = row.Version
		return verdictOwn, current
	case current.ClaimID == o.record.ClaimID:
		o.version = row.Version
		return verdictRetry, current
	case o.kind == operationRecord:
		return verdictOther, current
	case current.Digest != o.record.Digest:
		return verdictReused, current
	case current.State == StateNotRun:
		o.version = row.Version
		return verdictRetry, current
	default:
		return verdictOther, current
	}
}

// judgeVanished handles a row that was there and is not any more.
func (o *operation) judgeVanished() verdict {
	if o.kind == operationRecord {
		return verdictOther
	}
	o.version = 0
	return verdictRetry
}
