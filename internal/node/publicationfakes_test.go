package node

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// newPublishedZone returns a zone whose operator has published version 2 of the model.
func newPublishedZone() *zone {
	z := newZone()
	z.store.publish(2)
	return z
}

// otherModel is a second model with publication rows of its own.
const otherModel = ident.Model("b")

// requireVersionAfterFault publishes a version and overwrites it while source is faulty for a
// second, and fails the test unless the version is known some time after.
func requireVersionAfterFault(t *testing.T, source func(*zoneRouter, *atomic.Bool) Source, after time.Duration) {
	t.Helper()
	is := is.New(t)
	z := newPublishedZone()
	fault := &atomic.Bool{}
	z.beforeStart = func(_ context.Context, running *zoneRouter) {
		running.follower.source = source(running, fault)
	}
	first := z.start(t.Context(), "a")
	time.Sleep(5 * time.Second)
	fault.Store(true)
	z.store.publish(3, 2)
	time.Sleep(time.Second)
	fault.Store(false)
	time.Sleep(after)
	is.Equal(first.newest().Version, 3)
}

// publishOf has the operator publish versions of any model; the other rows stay.
func (s *fakeStore) publishOf(published ident.Model, versions ...int) {
	s.change(func() {
		close(s.changed)
		s.changed = make(chan struct{})
		models := map[ident.Model]int{}
		for m, v := range s.reading.Models {
			models[m] = v
		}
		for _, version := range versions {
			s.version++
			s.history = append(s.history, fakePublication{PublishedWeights{Model: published, Version: version}, s.version})
			models[published] = version
		}
		s.reading.Models = models
	})
}

// refusingTable fails writes of keys with the prefix noWrite, and the first failLists lists of
// keys with the prefix noList.
type refusingTable struct {
	*fakeStore
	noWrite   string
	noList    string
	failLists *atomic.Int32
}

func (t *refusingTable) Commit(ctx context.Context, tx protocol.Transaction) (protocol.TransactionResult, error) {
	if t.noWrite != "" && len(tx.Writes) > 0 && strings.HasPrefix(tx.Writes[0].Key, t.noWrite) {
		return protocol.TransactionResult{}, fault.New(fault.StoreUnavailable, "no answer")
	}
	return t.fakeStore.Commit(ctx, tx)
}

func (t *refusingTable) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	if t.failLists != nil && strings.HasPrefix(prefix, t.noList) && t.failLists.Add(-1) >= 0 {
		return protocol.RowList{}, fault.New(fault.StoreUnavailable, "no answer")
	}
	return t.fakeStore.List(ctx, prefix, limit)
}

// newestOf returns the newest version of a model at a router.
func (r *zoneRouter) newestOf(m ident.Model) int {
	return r.follower.replica.holder.View().Models[m].Version
}

// countingTable counts writes.
type countingTable struct {
	refusingTable
	commits *atomic.Int32
}

func (t *countingTable) Commit(ctx context.Context, tx protocol.Transaction) (protocol.TransactionResult, error) {
	t.commits.Add(1)
	return t.refusingTable.Commit(ctx, tx)
}

// immediateAnswers answers each watch after 4 ms.
type immediateAnswers struct{ *zoneRouter }

func (i *immediateAnswers) Changes(ctx context.Context, after uint64, _ time.Duration) (Changes, error) {
	return i.zoneRouter.Changes(ctx, after, 4*time.Millisecond)
}

// refusedWatch is a source that refuses the watch of the router "a" while refuse is set.
type refusedWatch struct {
	*zoneRouter
	refuse *atomic.Bool
}

func (r *refusedWatch) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	if r.refuse.Load() && r.node == "a" {
		return Changes{}, fault.New(fault.RateLimited, "refused")
	}
	return r.zoneRouter.Changes(ctx, after, hold)
}

// intermittentHistory has forgotten all changes while gone is set.
type intermittentHistory struct {
	*zoneRouter
	gone *atomic.Bool
}

func (i *intermittentHistory) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	changes, err := i.zoneRouter.Changes(ctx, after, hold)
	if err == nil && i.gone.Load() && after < changes.StoreRevision {
		return Changes{}, ErrHistoryGone
	}
	return changes, err
}

// lossyChanges is a source whose watch omits changes while dropping is set.
type lossyChanges struct {
	*zoneRouter
	dropping *atomic.Bool
}

func (l *lossyChanges) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	changes, err := l.zoneRouter.Changes(ctx, after, hold)
	if err == nil && l.dropping.Load() {
		changes.Published = nil
	}
	return changes, err
}

// failingSearch is a source that fails the first searches for the oldest changes: requests with
// the hold time of a recheck whose changes are not forgotten.
type failingSearch struct {
	*zoneRouter
	failures *atomic.Int32
}

func (f *failingSearch) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	changes, err := f.zoneRouter.Changes(ctx, after, hold)
	if err == nil && hold == recheckHold && f.failures.Add(-1) >= 0 {
		return Changes{}, fault.New(fault.StoreUnavailable, "no answer")
	}
	return changes, err
}

// publishBeforeRecheck is a source whose operator publishes version 3 right before the first
// recheck.
type publishBeforeRecheck struct {
	*zoneRouter
	published *atomic.Bool
}

func (p *publishBeforeRecheck) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	if hold == recheckHold && !p.published.Swap(true) {
		p.zone.store.publish(3, 2)
	}
	return p.zoneRouter.Changes(ctx, after, hold)
}
