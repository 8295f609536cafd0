package guard

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// All routers end at the third crash, before any could send or store it. The request is retried
// every 4 s and may reach at most three more back ends.
func TestEvidenceSurvivesLossOfAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 3, always(ProbeRefused))
		ctx, kill := context.WithCancel(t.Context())
		former := newHarness(t, 0, always(ProbeRefused))
		former.store, former.table = w.store, &fakeTable{rows: w.store}
		for range 3 {
			former.start(ctx)
		}
		for engine := range 3 {
			former.table.down.Store(engine == 2)
			former.crash(engine, "guilty", engine)
			time.Sleep(4 * time.Second)
		}
		kill()
		for _, q := range w.all {
			q.Load(t.Context(), 0)
		}
		sent, engine := 0, 3
		for range 60 {
			q := w.all[sent%3]
			decision := q.Check(time.Now(), subject("guilty"))
			if decision == nil || (decision.TrialDue && q.AcquireTrial(t.Context(), decision)) {
				sent++
				w.crash(sent%3, "guilty", engine)
				engine++
			}
			time.Sleep(4 * time.Second)
		}
		is.True(sent <= 3)
	})
}

// Two routers each observed one crash, and the second got the evidence of the first late. The
// row is stored at once although the router that maintains the rows gets no updates.
func TestMergedEvidenceIsStoredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 3, always(ProbeRefused))
		w.setIsolated(0, true)
		w.setIsolated(2, true)
		w.crash(1, "x", 0)
		time.Sleep(2 * time.Second)
		w.setIsolated(2, false)
		w.crash(2, "x", 1)
		is.Equal(w.store.count(), 1)
	})
}

// Routers that observed the same crashes write the same rows concurrently. A conflict is
// retried and does not block the other rows.
func TestConflictDoesNotBlockOtherRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2, always(ProbeRefused))
		w.setIsolated(0, true)
		conflicts := 0
		w.table.refuse = func(string) bool {
			conflicts++
			return conflicts <= 2
		}
		for engine := range 2 {
			for _, body := range []string{"a", "b", "c"} {
				w.all[1].ObserveBroken(time.Now(), subject(body), w.target(engine))
			}
			time.Sleep(200 * time.Millisecond)
		}
		is.Equal(w.store.count(), 3)
	})
}

// The row is removed once a success clears the evidence or once it expires.
func TestRowOfInsufficientEvidenceIsRemoved(t *testing.T) {
	tests := []struct {
		name string
		then func(w *harness)
	}{
		{"answered", func(w *harness) { w.all[1].ObserveAnswered(time.Now(), subject("x")) }},
		{"forgotten", func(*harness) { time.Sleep(11 * time.Minute) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newHarness(t, 2, always(ProbeRefused))
				w.crash(1, "x", 0)
				time.Sleep(3 * time.Second)
				is.Equal(w.store.count(), 0)
				w.crash(1, "x", 1)
				time.Sleep(time.Second)
				is.Equal(w.store.count(), 1)
				tt.then(w)
				time.Sleep(5 * time.Second)
				is.Equal(w.store.count(), 0)
				is.Equal(w.quarantinedAt("x"), 0)
			})
		})
	}
}

func TestNoTrialIsGrantedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2, always(ProbeRefused))
		w.table.down.Store(true)
		w.crash(0, "guilty", 0, 1, 2)
		time.Sleep(time.Minute)
		is.Equal(w.quarantinedAt("guilty"), 2)
		is.True(!w.acquireTrial(0, "guilty"))
		w.table.down.Store(false)
		time.Sleep(5 * time.Second)
		is.Equal(w.store.count(), 1)
	})
}

// A row missing in a restored store was not removed by an operator.
func TestRestoredStoreReleasesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2, always(ProbeRefused))
		empty := w.store.Copy()
		for engine := range 3 {
			w.crash(0, "guilty", engine)
		}
		time.Sleep(2 * relistInterval)
		is.Equal(w.quarantinedAt("guilty"), 2)
		is.Equal(w.store.count(), 1)
		w.store.change(func() { w.store.Restore(empty) })
		is.Equal(w.store.count(), 0)
		time.Sleep(2 * relistInterval)
		is.Equal(w.quarantinedAt("guilty"), 2)
		is.Equal(w.store.count(), 1) // written again
	})
}

// An operator ends a quarantine by removing its row.
func TestRemovedRowReleasesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 3, always(ProbeRefused))
		w.crash(1, "x", 0, 1, 2)
		time.Sleep(6 * time.Second)
		is.Equal(w.store.count(), 1)
		w.store.change(func() { clear(w.store.Current) })
		time.Sleep(6 * time.Second)
		is.Equal(w.quarantinedAt("x"), 0)
		is.Equal(w.store.count(), 0)
		w.crash(1, "x", 3, 4, 5)
		is.Equal(w.quarantinedAt("x"), 3)
	})
}

// A row that was written after the rows were listed, and used by a trial, was not removed by an
// operator.
func TestRowNewerThanListReleasesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2, always(ProbeRefused))
		w.table.down.Store(true)
		w.crash(1, "guilty", 0, 1, 2)
		time.Sleep(11 * time.Second)
		var granted atomic.Bool
		duringList := func() {
			w.table.down.Store(false)
			is.NoErr(w.all[1].rows.update(t.Context(), subject("guilty").Fingerprint()))
			granted.Store(w.acquireTrial(0, "guilty"))
		}
		w.table.listed.Store(&duringList)
		time.Sleep(6 * time.Second)
		is.True(granted.Load())
		is.Equal(w.quarantinedAt("guilty"), 2)
	})
}

// An unreadable row must not hide the others.
func TestUnreadableRowIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1, always(ProbeRefused))
		w.crash(0, "x", 0, 1, 2)
		time.Sleep(time.Second)
		w.store.change(func() {
			row := w.store.Current[rowKey(subject("x").Fingerprint())]
			row.Key = rowKey(subject("y").Fingerprint())
			w.store.Current[row.Key] = row
			row.Key, row.Value = RowPrefix+"z", []byte("?")
			w.store.Current[row.Key] = row
		})
		next := w.start(t.Context())
		next.Load(t.Context(), 0)
		is.True(next.Check(time.Now(), subject("x")) != nil)
		is.True(next.Check(time.Now(), subject("y")) == nil)
	})
}

// A router that was cut off during a quarantine gets it from the rows.
func TestIsolatedRouterReloadsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 3, always(ProbeRefused))
		w.all[1].Load(t.Context(), 0)
		w.setIsolated(1, true)
		w.crash(0, "guilty", 0, 1, 2)
		time.Sleep(time.Second)
		w.all[1].Load(t.Context(), time.Second)
		is.True(w.all[1].Check(time.Now(), subject("guilty")) == nil)
		w.all[1].Load(t.Context(), 5*time.Second)
		is.True(w.all[1].Check(time.Now(), subject("guilty")) != nil)
	})
}

// A router that ends right after a success leaves the row behind.
func TestLeftoverRowIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2, always(ProbeRefused))
		w.crash(0, "innocent", 0, 1, 2)
		time.Sleep(time.Second)
		is.Equal(w.store.count(), 1)
		w.all[1].ledger.RecordSuccess(time.Now(), subject("innocent").Fingerprint())
		w.all[1].announce(subject("innocent").Fingerprint())
		time.Sleep(5 * time.Second)
		is.Equal(w.store.count(), 0)
	})
}
