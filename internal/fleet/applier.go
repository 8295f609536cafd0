package fleet

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// ApplyStepKind is what the caller of the Applier is to do next.
type ApplyStepKind uint8

const (
	// StepReadHead reads the head row: HeadRead or Failed.
	StepReadHead ApplyStepKind = iota
	// StepCommitChunk commits Transaction: ChunkCommitted or Failed.
	StepCommitChunk
	// StepCommitHead commits Transaction: HeadCommitted or Failed.
	StepCommitHead
	// StepDone means that Result has the outcome.
	StepDone
)

// ApplyStep is one request of the Applier to its caller.
type ApplyStep struct {
	Kind ApplyStepKind
	// Delay is the time to wait before the request.
	Delay time.Duration
	// Transaction is set for a commit.
	Transaction protocol.Transaction
}

const (
	// firstRetryDelay doubles with each consecutive failure up to maxRetryDelay.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	// maxConsecutiveFailures is the number of failures at which an apply gives up.
	maxConsecutiveFailures = 10
	// maxDelayShift keeps the doubling from overflowing.
	maxDelayShift = 6
)

// ApplyOptions are the operator's choices.
type ApplyOptions struct {
	// Base, when not nil, is the version the file was edited from, zero for "no
	// file yet"; an apply on any other version is a conflict. When nil, it is the
	// version in force when the apply starts.
	Base *Version
	// ApplyID is unique to one apply; it resolves lost answers.
	ApplyID string
	// AppliedAt is recorded for display.
	AppliedAt time.Time
}

// Applied is the outcome of a successful apply.
type Applied struct {
	Version Version `json:"version"`
	Digest  Digest  `json:"digest"`
	// ApplyID is the apply that created the version; another operator's when
	// Unchanged.
	ApplyID string `json:"apply_id"`
	// Unchanged is whether the file was in force already, so nothing was done.
	Unchanged bool `json:"unchanged"`
	// SupersededBy is the version that has replaced this one, or 0.
	SupersededBy Version `json:"superseded_by,omitempty"`
}

// Applier is the state machine of one apply, without I/O. The caller performs Step,
// reports the outcome by one of the event methods, and repeats until StepDone.
// Invariants: the body's rows are written after the head was read and before it is
// written, and the head only on the row version that was read, so that every
// version has exactly one file and versions increase. Once a commit of the head may
// have been sent, only a later read or commit answer resolves the outcome; until
// then a failure has Ran "unknown".
type Applier struct {
	body    []byte
	digest  Digest
	options ApplyOptions

	kind      ApplyStepKind
	delay     time.Duration
	failures  int
	chunk     int
	head      Head
	headFound bool
	// rowVersion is the version of the head row that the commit requires.
	rowVersion uint64
	// intended is the file version that a commit would create.
	intended    Version
	transaction protocol.Transaction
	inDoubt     bool
	applied     Applied
	err         error
}

// NewApplier returns the Applier of a body that Parse has accepted.
func NewApplier(body []byte, options ApplyOptions) *Applier {
	return &Applier{body: body, digest: DigestOf(body), options: options, kind: StepReadHead}
}

// Step returns the next request.
func (a *Applier) Step() ApplyStep {
	step := ApplyStep{Kind: a.kind, Delay: a.delay}
	switch a.kind {
	case StepCommitChunk:
		step.Transaction = chunkWrite(a.digest, a.body, a.chunk)
	case StepCommitHead:
		step.Transaction = a.transaction
	}
	return step
}

// Result returns the outcome after StepDone; the error is a *fault.Fault.
func (a *Applier) Result() (Applied, error) { return a.applied, a.err }

// HeadRead reports the head row; found is false when it does not exist.
func (a *Applier) HeadRead(row protocol.Row, found bool) {
	a.succeeded()
	head, err := readHeadRow(row, found)
	if err != nil {
		a.finish(Applied{}, a.withOutcome(fault.From(err)))
		return
	}
	if a.inDoubt {
		a.resolve(row, found, head)
		return
	}
	a.start(row, found, head)
}

// start decides on the first read of the head.
func (a *Applier) start(row protocol.Row, found bool, head Head) {
	a.head, a.headFound, a.rowVersion, a.intended = head, found, row.Version, 1
	if found {
		a.intended = head.CurrentRef().Version + 1
		if head.CurrentRef().Digest == a.digest {
			a.finishUnchanged(head)
			return
		}
	}
	if a.options.Base != nil && *a.options.Base != a.intended-1 {
		a.finish(Applied{}, a.conflict(head, found))
		return
	}
	if err := a.prepareCommit(); err != nil {
		a.finish(Applied{}, fault.From(err))
		return
	}
	a.kind = StepCommitChunk
}

// prepareCommit builds the transaction that makes this file the head. It also
// deletes the bodies that the history evicts: another apply that relies on such a
// body has read an older head, so its commit fails.
func (a *Applier) prepareCommit() error {
	entry := HistoryEntry{Ref: FileRef{Version: a.intended, Digest: a.digest}, ApplyID: a.options.ApplyID, Size: len(a.body)}
	next, evicted := a.head.successor(entry, a.options.AppliedAt)
	value, err := encodeHead(next)
	if err != nil {
		return err
	}
	a.transaction = protocol.Transaction{
		Conditions: []protocol.Condition{{Key: HeadKey, Version: a.rowVersion}},
		Writes:     []protocol.Write{{Key: HeadKey, Value: value}},
	}
	kept := map[Digest]bool{}
	for _, retained := range next.History {
		kept[retained.Ref.Digest] = true
	}
	for _, old := range evicted {
		for index := 0; index < chunkCount(old.Size) && !kept[old.Ref.Digest]; index++ {
			a.transaction.Writes = append(a.transaction.Writes, protocol.Write{Key: chunkKey(old.Ref.Digest, index), Delete: true})
		}
	}
	return nil
}

// resolve decides on a read of the head after a commit whose answer was lost.
func (a *Applier) resolve(row protocol.Row, found bool, head Head) {
	if found {
		if entry, accepted := head.find(a.options.ApplyID); accepted {
			a.finishApplied(entry, head)
			return
		}
	}
	if found == a.headFound && row.Version == a.rowVersion {
		// Not committed yet, but still possible. A retry of the same transaction
		// commits at most once in all: both require this row version.
		a.kind = StepCommitHead
		return
	}
	a.finishSuperseded(head, found)
}

// finishSuperseded ends an apply whose row version is gone. The history can have
// evicted this apply only if that many versions followed.
func (a *Applier) finishSuperseded(head Head, found bool) {
	if a.inDoubt && found && head.CurrentRef().Version >= a.intended+historyLength {
		a.finish(Applied{}, fault.New(fault.StoreUnavailable, "the answer to this apply was lost and %d versions followed; version %d may have been this file", head.CurrentRef().Version-a.intended, a.intended).
			WithRan(fault.RanUnknown).WithRemedy("run 'fieldpond diff' against version %d, then apply again if it differs", head.CurrentRef().Version))
		return
	}
	if found && head.CurrentRef().Digest == a.digest {
		a.finishUnchanged(head)
		return
	}
	a.finish(Applied{}, a.conflict(head, found))
}

// ChunkCommitted reports that the chunk's transaction committed.
func (a *Applier) ChunkCommitted() {
	a.succeeded()
	a.chunk++
	if a.chunk >= chunkCount(len(a.body)) {
		a.kind = StepCommitHead
	}
}

// HeadCommitted reports the answer to the head's transaction.
func (a *Applier) HeadCommitted(result protocol.TransactionResult) {
	a.succeeded()
	if result.Committed {
		a.finish(Applied{Version: a.intended, Digest: a.digest, ApplyID: a.options.ApplyID}, nil)
		return
	}
	// Refused: another apply won, or an earlier attempt of this one.
	if len(result.Rows) == 0 || result.Rows[0].Version == a.rowVersion {
		a.Failed(fault.New(fault.StoreUnavailable, "the table refused the commit without naming the conflicting row"))
		return
	}
	row := result.Rows[0]
	head, err := readHeadRow(row, row.Version != 0)
	if err != nil {
		a.finish(Applied{}, a.withOutcome(fault.From(err)))
		return
	}
	a.resolve(row, row.Version != 0, head)
}

// readHeadRow returns the head in a row, empty when the row does not exist.
func readHeadRow(row protocol.Row, found bool) (Head, error) {
	if !found {
		return Head{}, nil
	}
	return decodeHead(row.Value)
}

// Failed reports that the step's request failed. A failure with Ran other than
// "no" may have taken effect.
func (a *Applier) Failed(failure *fault.Fault) {
	if a.kind == StepCommitHead && failure.Ran != fault.RanNo {
		a.inDoubt = true
	}
	a.failures++
	if a.failures >= maxConsecutiveFailures || !retryable(failure) {
		a.finish(Applied{}, a.withOutcome(failure))
		return
	}
	a.delay = max(failure.RetryAfter, min(maxRetryDelay, firstRetryDelay<<min(a.failures-1, maxDelayShift)))
	if a.kind == StepCommitHead && a.inDoubt {
		a.kind = StepReadHead
	}
}

// Abandon ends the apply because its context has ended.
func (a *Applier) Abandon(cause error) {
	a.finish(Applied{}, a.withOutcome(fault.Wrap(cause, fault.Timeout, "the apply did not end in time")))
}

func retryable(failure *fault.Fault) bool {
	return failure.Kind == fault.StoreUnavailable || failure.Kind == fault.RateLimited
}

// withOutcome adds to a failure whether the apply may have taken effect.
func (a *Applier) withOutcome(failure *fault.Fault) *fault.Fault {
	qualified := *failure
	if a.inDoubt {
		return qualified.WithRan(fault.RanUnknown).
			WithRemedy("apply the same file again once the table answers: if version %d is this file already, that changes nothing", a.intended)
	}
	if failure.Remedy != "" {
		return qualified.WithRan(fault.RanNo)
	}
	return qualified.WithRan(fault.RanNo).
		WithRemedy("nothing was changed; apply again once the platform's table service answers")
}

func (a *Applier) conflict(head Head, found bool) *fault.Fault {
	if !found {
		return fault.New(fault.Conflict, "no fleet file is in force, so there is no base version").
			WithRemedy("apply without --base")
	}
	winner := head.CurrentRef().Version
	return fault.New(fault.Conflict, "version %d, from another apply, is in force; this file was not applied", winner).
		WithRemedy("run 'fieldpond diff' against version %d, merge its changes, then 'fieldpond apply --base %d'", winner, winner)
}

// succeeded resets the failure count, except while a commit is in doubt, so that an
// apply whose answers are always lost ends.
func (a *Applier) succeeded() {
	a.delay = 0
	if !a.inDoubt {
		a.failures = 0
	}
}

func (a *Applier) finishUnchanged(head Head) {
	a.finish(Applied{Version: head.CurrentRef().Version, Digest: a.digest, ApplyID: head.History[0].ApplyID, Unchanged: true}, nil)
}

func (a *Applier) finishApplied(entry HistoryEntry, head Head) {
	applied := Applied{Version: entry.Ref.Version, Digest: entry.Ref.Digest, ApplyID: entry.ApplyID}
	if head.CurrentRef().Version > entry.Ref.Version {
		applied.SupersededBy = head.CurrentRef().Version
	}
	a.finish(applied, nil)
}

func (a *Applier) finish(applied Applied, failure *fault.Fault) {
	a.kind, a.delay, a.applied = StepDone, 0, applied
	if failure != nil {
		a.err = failure
	}
}
