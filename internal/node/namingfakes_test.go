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

// newNamedZone returns a zone whose operator has named version 2 of the model.
func newNamedZone() *zone {
	z := newZone()
	z.store.name(2)
	return z
}

// otherModel is a second model, whose namings have rows of their own.
const otherModel = ident.Model("b")

// learnsAfterAFault has a version named and written over while the store is at fault for a
// second, as a source of the test's plays it, and fails unless it is known some time after.
func learnsAfterAFault(t *testing.T, source func(*zoneRouter, *atomic.Bool) Source, after time.Duration) {
	t.Helper()
	is := is.New(t)
	z := newNamedZone()
	fault := &atomic.Bool{}
	z.beforeStart = func(_ context.Context, running *zoneRouter) {
		running.follower.source = source(running, fault)
	}
	first := z.start(t.Context(), "a")
	time.Sleep(5 * time.Second)
	fault.Store(true)
	z.store.name(3, 2)
	time.Sleep(time.Second)
	fault.Store(false)
	time.Sleep(after)
	is.Equal(first.newest().Version, 3)
}

// nameOf has the operator name versions of any model; the other rows stay.
func (s *fakeStore) nameOf(named ident.Model, versions ...int) {
	s.change(func() {
		close(s.changed)
		s.changed = make(chan struct{})
		models := map[ident.Model]int{}
		for m, v := range s.reading.Models {
			models[m] = v
		}
		for _, version := range versions {
			s.version++
			s.history = append(s.history, fakeNaming{PublishedWeights{Model: named, Version: version}, s.version})
			models[named] = version
		}
		s.reading.Models = models
	})
}

// refusingTable fails the writes whose key has a prefix, and the lists of prefixes, as long
// as the counters say.
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

// newestOf returns the newest version of a model that a router knows.
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

// hastyAnswers answers each watch after 4 ms.
type hastyAnswers struct{ *zoneRouter }

func (h *hastyAnswers) Changes(ctx context.Context, after uint64, _ time.Duration) (Changes, error) {
	return h.zoneRouter.Changes(ctx, after, 4*time.Millisecond)
}

// refusedWatch is a source that refuses the watch of the router "a" at times.
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

// goneAtTimes refuses positions before the newest revision at times.
type goneAtTimes struct {
	*zoneRouter
	gone *atomic.Bool
}

func (g *goneAtTimes) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	changes, err := g.zoneRouter.Changes(ctx, after, hold)
	if err == nil && g.gone.Load() && after < changes.StoreRevision {
		return Changes{}, ErrHistoryGone
	}
	return changes, err
}

// deafForAWhile is a source whose watch leaves out, for a while, what was changed.
type deafForAWhile struct {
	*zoneRouter
	deaf *atomic.Bool
}

func (d *deafForAWhile) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	changes, err := d.zoneRouter.Changes(ctx, after, hold)
	if err == nil && d.deaf.Load() {
		changes.Published = nil
	}
	return changes, err
}

// slowSearch is a source that answers the first of the questions for the oldest changes too
// late. Those are the ones for changes that are not forgotten, held back for an instant only.
type slowSearch struct {
	*zoneRouter
	late *atomic.Int32
}

func (s *slowSearch) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	changes, err := s.zoneRouter.Changes(ctx, after, hold)
	if err == nil && hold == recheckHold && s.late.Add(-1) >= 0 {
		return Changes{}, fault.New(fault.StoreUnavailable, "no answer")
	}
	return changes, err
}

// namedAmidRecheck is a source whose operator names version 3 right before the first question
// that asks for what was told before.
type namedAmidRecheck struct {
	*zoneRouter
	named *atomic.Bool
}

func (n *namedAmidRecheck) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	if hold == recheckHold && !n.named.Swap(true) {
		n.zone.store.name(3, 2)
	}
	return n.zoneRouter.Changes(ctx, after, hold)
}
