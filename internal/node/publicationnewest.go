package node

import (
	"context"
	"errors"

	"github.com/fieldpond/fieldpond/internal/store"
)

// readNewest reads as many of the newest changes as the store returns in time, up to its revision at
// the last read of the operator's rows. The watch has received the changes up to revision from, and
// can't read all that follow at once: a version that counts now may be among the last of them.
func (s *watchSession) readNewest(ctx context.Context, from uint64) {
	newest := s.replica.newestRead()
	if store.Epoch(newest) != store.Epoch(from) {
		return
	}
	// Binary search for the earliest revision after which all changes arrive in time; those after
	// newestSought did so before.
	early, late := max(from, s.newestSought), newest
	after := early
	for late > early && ctx.Err() == nil {
		changes, err := s.changesInTime(ctx, after)
		switch {
		case err != nil && !errors.Is(err, ErrAnswerCut):
			return
		case err != nil || changes.Partial:
			s.applyRechecked(ctx, from, &changes)
			early = max(changes.StoreRevision, after+1)
		default:
			// Those between from and after are not known yet.
			s.applyRechecked(ctx, from, &changes)
			late = after
		}
		after = early + (late-early)/2
	}
	s.newestSought = newest
}

// changesInTime requests the changes after a revision, and does not wait on for a slow answer: fewer
// changes are requested instead.
func (f *follower) changesInTime(ctx context.Context, after uint64) (Changes, error) {
	bounded, cancel := context.WithTimeout(ctx, recheckHold+f.config.ReadTimeout)
	defer cancel()
	return f.source.Changes(bounded, after, recheckHold)
}
