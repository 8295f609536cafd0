package guard

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// All routers end as the third back end crashes, before any of them could tell or write that.
// The request comes again each 4 s: whatever they knew, it may reach back ends three times more.
func TestAllRoutersEndAtTheThirdCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, always(ProbeRefused))
		ctx, kill := context.WithCancel(t.Context())
		former := newWards(t, 0, always(ProbeRefused))
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
		late, engine := 0, 3
		for range 60 {
			q := w.all[late%3]
			verdict := q.Check(time.Now(), asked("guilty"))
			if verdict == nil || (verdict.TrialDue && q.AcquireTrial(t.Context(), asked("guilty"))) {
				late++
				w.crash(late%3, "guilty", engine)
				engine++
			}
			time.Sleep(4 * time.Second)
		}
		is.True(late <= 3)
	})
}

// Two routers each saw one crash, and the second did not hear of the first until it told of its
// own. The row is there at once, though the router that keeps the rows hears of nothing.
func TestEvidenceThatIsPutTogetherLaterIsKeptAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, always(ProbeRefused))
		w.deafen(0, true)
		w.deafen(2, true)
		w.crash(1, "x", 0)
		time.Sleep(2 * time.Second)
		w.deafen(2, false)
		w.crash(2, "x", 1)
		is.Equal(w.store.count(), 1)
	})
}

// Routers that saw the same crashes write the same rows at the same moment. One that finds a row
// changed goes on with it and with the others.
func TestARowThatAnotherRouterWroteHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(ProbeRefused))
		w.deafen(0, true)
		conflicts := 0
		w.table.refuse = func(string) bool {
			conflicts++
			return conflicts <= 2
		}
		for engine := range 2 {
			for _, body := range []string{"a", "b", "c"} {
				w.all[1].ObserveBroken(time.Now(), asked(body), w.place(engine))
			}
			time.Sleep(200 * time.Millisecond)
		}
		is.Equal(w.store.count(), 3)
	})
}

// The row of evidence that did not suffice goes once a success wipes it, or once it is forgotten.
func TestEvidenceThatDidNotSufficeLeavesNoRow(t *testing.T) {
	tests := []struct {
		name string
		then func(w *wards)
	}{
		{"answered", func(w *wards) { w.all[1].ObserveAnswered(time.Now(), asked("x")) }},
		{"forgotten", func(*wards) { time.Sleep(11 * time.Minute) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWards(t, 2, always(ProbeRefused))
				w.crash(1, "x", 0)
				time.Sleep(3 * time.Second)
				is.Equal(w.store.count(), 0)
				w.crash(1, "x", 1)
				time.Sleep(time.Second)
				is.Equal(w.store.count(), 1)
				tt.then(w)
				time.Sleep(5 * time.Second)
				is.Equal(w.store.count(), 0)
				is.Equal(w.held("x"), 0)
			})
		})
	}
}

func TestNoTrialIsGrantedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(ProbeRefused))
		w.table.down.Store(true)
		w.crash(0, "guilty", 0, 1, 2)
		time.Sleep(time.Minute)
		is.Equal(w.held("guilty"), 2)
		is.True(!w.all[0].AcquireTrial(t.Context(), asked("guilty")))
		w.table.down.Store(false)
		time.Sleep(5 * time.Second)
		is.Equal(w.store.count(), 1)
	})
}

// A row that a store lacks which came back from an older copy was removed by nobody.
func TestAStoreThatComesBackWithoutARowLiftsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(ProbeRefused))
		empty := w.store.Copy()
		for engine := range 3 {
			w.crash(0, "guilty", engine)
		}
		time.Sleep(2 * relistInterval)
		is.Equal(w.held("guilty"), 2)
		is.Equal(w.store.count(), 1)
		w.store.change(func() { w.store.Restore(empty) })
		is.Equal(w.store.count(), 0)
		time.Sleep(2 * relistInterval)
		is.Equal(w.held("guilty"), 2)
		is.Equal(w.store.count(), 1) // written again
	})
}

// An operator ends a quarantine by removing its row.
func TestAnOperatorLiftsAVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, always(ProbeRefused))
		w.crash(1, "x", 0, 1, 2)
		time.Sleep(6 * time.Second)
		is.Equal(w.store.count(), 1)
		w.store.change(func() { clear(w.store.Current) })
		time.Sleep(6 * time.Second)
		is.Equal(w.held("x"), 0)
		is.Equal(w.store.count(), 0)
		w.crash(1, "x", 3, 4, 5)
		is.Equal(w.held("x"), 3)
	})
}

// A row that was written, and met by a trial, after the rows were listed was not removed by an
// operator.
func TestARowThatIsNewerThanTheListLiftsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(ProbeRefused))
		w.table.down.Store(true)
		w.crash(1, "guilty", 0, 1, 2)
		time.Sleep(11 * time.Second)
		var granted atomic.Bool
		meanwhile := func() {
			w.table.down.Store(false)
			is.NoErr(w.all[1].rows.update(t.Context(), asked("guilty").Fingerprint()))
			granted.Store(w.all[0].AcquireTrial(t.Context(), asked("guilty")))
		}
		w.table.listed.Store(&meanwhile)
		time.Sleep(6 * time.Second)
		is.True(granted.Load())
		is.Equal(w.held("guilty"), 2)
	})
}

// A row that cannot be read is passed over; the others hold.
func TestARowThatCannotBeReadIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 1, always(ProbeRefused))
		w.crash(0, "x", 0, 1, 2)
		time.Sleep(time.Second)
		w.store.change(func() {
			row := w.store.Current[rowKey(asked("x").Fingerprint())]
			row.Key = rowKey(asked("y").Fingerprint())
			w.store.Current[row.Key] = row
			row.Key, row.Value = RowPrefix+"z", []byte("?")
			w.store.Current[row.Key] = row
		})
		next := w.start(t.Context())
		next.Load(t.Context(), 0)
		is.True(next.Check(time.Now(), asked("x")) != nil)
		is.True(next.Check(time.Now(), asked("y")) == nil)
	})
}

// A router that reads the store itself, and was cut off while others learnt of a request, hears
// of it when it is back.
func TestARouterThatWasCutOffReadsTheRowsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, always(ProbeRefused))
		w.all[1].Load(t.Context(), 0)
		w.deafen(1, true)
		w.crash(0, "guilty", 0, 1, 2)
		time.Sleep(time.Second)
		w.all[1].Load(t.Context(), time.Second)
		is.True(w.all[1].Check(time.Now(), asked("guilty")) == nil)
		w.all[1].Load(t.Context(), 5*time.Second)
		is.True(w.all[1].Check(time.Now(), asked("guilty")) != nil)
	})
}

// A router that ends right after it learnt that a request is innocent leaves a row behind,
// which the router that keeps the rows removes.
func TestTheKeeperRemovesARowThatWasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(ProbeRefused))
		w.crash(0, "innocent", 0, 1, 2)
		time.Sleep(time.Second)
		is.Equal(w.store.count(), 1)
		w.all[1].ledger.Answered(time.Now(), asked("innocent").Fingerprint())
		w.all[1].tell(asked("innocent").Fingerprint())
		time.Sleep(5 * time.Second)
		is.Equal(w.store.count(), 0)
	})
}
