package guard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestEvidenceOfAllRoutersHoldsARequestEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, always(ProbeRefused))
		w.crash(0, "guilty", 0)
		w.crash(1, "guilty", 1)
		is.Equal(w.held("guilty"), 0)
		w.crash(2, "guilty", 2)
		is.Equal(w.held("guilty"), 3)
		is.Equal(w.held("other"), 0)
		time.Sleep(time.Second)
		is.Equal(w.store.count(), 1)
	})
}

// What a check does not prove is no evidence.
func TestOnlyLivesThatEndedAreEvidence(t *testing.T) {
	tests := []struct {
		name    string
		found   ProbeResult
		engines []int
		held    int
	}{
		{"refused connections", ProbeRefused, []int{0, 1, 2}, 1},
		{"other lives", ProbeEnded, []int{0, 1, 2}, 1},
		{"the same lives answer", ProbeAlive, []int{0, 1, 2}, 0},
		{"silence", ProbeInconclusive, []int{0, 1, 2}, 0},
		{"one that was draining", ProbeRefused, []int{0, 1, 8}, 0},
		{"one that was not listed", ProbeRefused, []int{0, 1, 9}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWards(t, 1, always(tt.found))
				w.crash(0, "x", tt.engines...)
				time.Sleep(10 * time.Second)
				is.New(t).Equal(w.held("x"), tt.held)
			})
		})
	}
}

// What was given up at an engine that crashes may be why it did, whichever router sees the crash
// and by whichever sign. It is no evidence once it is longer ago, or where the engine lives on.
func TestWhatWasGivenUpAtALifeThatCrashedIsEvidence(t *testing.T) {
	is := is.New(t)
	tests := []struct {
		name string
		// seen has the end of a life show, some time after the request was given up there.
		seen  func(w *wards, engine int)
		after time.Duration
		held  int
	}{
		{"an attempt of another request breaks off", func(w *wards, engine int) {
			w.all[0].ObserveBroken(time.Now(), asked(fmt.Sprint("beside ", engine)), w.place(engine))
		}, 100 * time.Millisecond, 2},
		{"it breaks off at another router", func(w *wards, engine int) {
			w.all[1].ObserveBroken(time.Now(), asked(fmt.Sprint("beside ", engine)), w.place(engine))
		}, 100 * time.Millisecond, 2},
		{"it takes no connection", func(w *wards, engine int) { w.all[0].ObserveUnreachable(time.Now(), w.place(engine)) }, 100 * time.Millisecond, 2},
		{"another one takes no connection", func(w *wards, _ int) {
			w.all[0].ObserveUnreachable(time.Now(), w.place(7))
		}, 100 * time.Millisecond, 0},
		{"long after", func(w *wards, engine int) {
			w.all[0].ObserveBroken(time.Now(), asked(fmt.Sprint("beside ", engine)), w.place(engine))
		}, 5 * time.Second, 0},
		{"nothing shows", func(*wards, int) {}, 100 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWards(t, 2, always(ProbeRefused))
				for engine := range 3 {
					w.all[0].ObserveAbandoned(time.Now(), asked("x"), w.place(engine))
					time.Sleep(tt.after)
					tt.seen(w, engine)
					time.Sleep(time.Second)
				}
				is.Equal(w.held("x"), tt.held)
			})
		})
	}
}

// A request that was just answered does not crash what runs it, although it ran on each of
// the engines that crashed.
func TestAnAnswerVouchesForItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 2, always(ProbeRefused))
		time.Sleep(time.Millisecond)
		w.all[0].ObserveAnswered(time.Now(), asked("hot"))
		w.crash(0, "hot", 0, 1, 2, 3)
		is.Equal(w.held("hot"), 0)
		// Another router had no answer, and is told by the one that had.
		w.crash(1, "hot", 4, 5, 6)
		is.Equal(w.all[0].Check(time.Now(), asked("hot")), nil)
		is.Equal(w.held("hot"), 0)
	})
}

// A request that was held wrongly is tried again and released everywhere.
func TestAWrongVerdictIsLiftedByATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 3, always(ProbeRefused))
		w.crash(0, "innocent", 0, 1, 2)
		time.Sleep(time.Second)
		is.True(!w.all[1].Check(time.Now(), asked("innocent")).TrialDue)
		time.Sleep(10 * time.Second)
		is.True(w.all[1].Check(time.Now(), asked("innocent")).TrialDue)
		is.True(w.all[1].AcquireTrial(t.Context(), asked("innocent")))
		is.True(!w.all[2].AcquireTrial(t.Context(), asked("innocent")))
		w.all[1].ObserveAnswered(time.Now(), asked("innocent"))
		is.Equal(w.held("innocent"), 0)
		time.Sleep(3 * time.Second)
		is.Equal(w.store.count(), 0)
	})
}

// However long it lasts and however many routers ask, a request is tried twice.
func TestTrialsAreBoundedOverAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWards(t, 4, always(ProbeRefused))
		// One router learns nothing of what the others try.
		w.deafen(3, true)
		w.crash(0, "guilty", 0, 1, 2)
		w.all[3].Load(t.Context(), 0)
		w.crash(3, "guilty", 3, 4, 5)
		trials := 0
		for range 600 {
			time.Sleep(time.Second)
			for _, q := range w.all {
				verdict := q.Check(time.Now(), asked("guilty"))
				is.True(verdict != nil)
				if verdict.TrialDue && q.AcquireTrial(t.Context(), asked("guilty")) {
					trials++
				}
			}
		}
		is.True(trials > 0)
		is.True(trials <= 2)
	})
}
