package fleet

import (
	"context"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
)

// attemptTimeout bounds one exchange with the table.
const attemptTimeout = 5 * time.Second

// Apply makes body the fleet file in force, by compare-and-swap in the table.
// options.ApplyID and AppliedAt are filled in when empty. Errors are *fault.Fault:
// InvalidFleet, when Parse finds errors, Conflict (naming the winning version),
// StoreUnavailable or Timeout, whose Ran is whether the file may be in force all
// the same.
func Apply(ctx context.Context, table store.Table, body []byte, options ApplyOptions) (Applied, error) {
	if _, problems := Parse(body, "the file"); problems.Err() != nil {
		return Applied{}, problems.Err()
	}
	if options.ApplyID == "" {
		options.ApplyID = ident.NewUniqueID()
	}
	if options.AppliedAt.IsZero() {
		options.AppliedAt = time.Now().UTC()
	}
	applier := NewApplier(body, options)
	for {
		step := applier.Step()
		if step.Kind == StepDone {
			return applier.Result()
		}
		if err := pause(ctx, step.Delay); err != nil {
			applier.Abandon(err)
			continue
		}
		runApplyStep(ctx, table, applier, step)
	}
}

// runApplyStep performs one step and reports its outcome to the applier.
func runApplyStep(ctx context.Context, table store.Table, applier *Applier, step ApplyStep) {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if step.Kind == StepReadHead {
		row, found, err := table.Read(attempt, HeadKey)
		if err != nil {
			applier.Failed(fault.From(err))
			return
		}
		applier.HeadRead(row, found)
		return
	}
	result, err := table.Commit(attempt, step.Transaction)
	switch {
	case err != nil:
		applier.Failed(fault.From(err))
	case step.Kind == StepCommitHead:
		applier.HeadCommitted(result)
	default:
		applier.ChunkCommitted()
	}
}

// pause waits for delay, or returns the context's error once that has ended.
func pause(ctx context.Context, delay time.Duration) error {
	if err := ctx.Err(); err != nil || delay <= 0 {
		return err
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
