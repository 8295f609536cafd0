package guard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestEvidenceIsSharedByAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 3, always(ProbeRefused))
		w.crash(0, "guilty", 0)
		w.crash(1, "guilty", 1)
		is.Equal(w.quarantinedAt("guilty"), 0)
		w.crash(2, "guilty", 2)
		is.Equal(w.quarantinedAt("guilty"), 3)
		is.Equal(w.quarantinedAt("other"), 0)
		time.Sleep(time.Second)
		is.Equal(w.store.count(), 1)
	})
}

// Crashes that a check does not confirm are no evidence.
func TestOnlyConfirmedCrashesAreEvidence(t *testing.T) {
	tests := []struct {
		name        string
		found       ProbeResult
		engines     []int
		quarantined int
	}{
		{"refused connections", ProbeRefused, []int{0, 1, 2}, 1},
		{"other incarnations", ProbeEnded, []int{0, 1, 2}, 1},
		{"the same incarnations answer", ProbeAlive, []int{0, 1, 2}, 0},
		{"silence", ProbeInconclusive, []int{0, 1, 2}, 0},
		{"one that was draining", ProbeRefused, []int{0, 1, 8}, 0},
		{"one that was not listed", ProbeRefused, []int{0, 1, 9}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(t, 1, always(tt.found))
				w.crash(0, "x", tt.engines...)
				time.Sleep(10 * time.Second)
				is.New(t).Equal(w.quarantinedAt("x"), tt.quarantined)
			})
		})
	}
}

// An abandoned request may have caused a crash, by whichever sign and router that is observed,
// unless it was long before or the engine is alive.
func TestAbandonedAttemptsAreEvidenceAfterCrash(t *testing.T) {
	is := is.New(t)
	tests := []struct {
		name string
		// observe shows the end of an incarnation some time after the request was abandoned there.
		observe     func(w *harness, engine int)
		after       time.Duration
		quarantined int
	}{
		{"an attempt of another request breaks off", func(w *harness, engine int) {
			w.all[0].ObserveBroken(time.Now(), subject(fmt.Sprint("beside ", engine)), w.target(engine))
		}, 100 * time.Millisecond, 2},
		{"it breaks off at another router", func(w *harness, engine int) {
			w.all[1].ObserveBroken(time.Now(), subject(fmt.Sprint("beside ", engine)), w.target(engine))
		}, 100 * time.Millisecond, 2},
		{"it takes no connection", func(w *harness, engine int) { w.all[0].ObserveUnreachable(time.Now(), w.target(engine)) }, 100 * time.Millisecond, 2},
		{"another one takes no connection", func(w *harness, _ int) {
			w.all[0].ObserveUnreachable(time.Now(), w.target(7))
		}, 100 * time.Millisecond, 0},
		{"long after", func(w *harness, engine int) {
			w.all[0].ObserveBroken(time.Now(), subject(fmt.Sprint("beside ", engine)), w.target(engine))
		}, 5 * time.Second, 0},
		{"nothing shows", func(*harness, int) {}, 100 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(t, 2, always(ProbeRefused))
				for engine := range 3 {
					w.all[0].ObserveAbandoned(time.Now(), subject("x"), w.target(engine))
					time.Sleep(tt.after)
					tt.observe(w, engine)
					time.Sleep(time.Second)
				}
				is.Equal(w.quarantinedAt("x"), tt.quarantined)
			})
		})
	}
}

// A request that was just answered is no cause, although it ran on each engine that crashed.
func TestSuccessClearsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2, always(ProbeRefused))
		time.Sleep(time.Millisecond)
		w.all[0].ObserveAnswered(time.Now(), subject("hot"))
		w.crash(0, "hot", 0, 1, 2, 3)
		is.Equal(w.quarantinedAt("hot"), 0)
		// The other router had no success and gets that of the first.
		w.crash(1, "hot", 4, 5, 6)
		is.Equal(w.all[0].Check(time.Now(), subject("hot")), nil)
		is.Equal(w.quarantinedAt("hot"), 0)
	})
}

func TestSuccessfulTrialReleasesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 3, always(ProbeRefused))
		w.crash(0, "innocent", 0, 1, 2)
		time.Sleep(time.Second)
		is.True(!w.all[1].Check(time.Now(), subject("innocent")).TrialDue)
		time.Sleep(10 * time.Second)
		is.True(w.all[1].Check(time.Now(), subject("innocent")).TrialDue)
		is.True(w.acquireTrial(1, "innocent"))
		is.True(!w.acquireTrial(2, "innocent"))
		w.all[1].ObserveAnswered(time.Now(), subject("innocent"))
		is.Equal(w.quarantinedAt("innocent"), 0)
		time.Sleep(3 * time.Second)
		is.Equal(w.store.count(), 0)
	})
}

// A request gets at most two trials, however many routers request them.
func TestTrialsAreBoundedAcrossRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 4, always(ProbeRefused))
		// One router gets no updates from the others.
		w.setIsolated(3, true)
		w.crash(0, "guilty", 0, 1, 2)
		w.all[3].Load(t.Context(), 0)
		w.crash(3, "guilty", 3, 4, 5)
		trials := 0
		for range 600 {
			time.Sleep(time.Second)
			for _, q := range w.all {
				decision := q.Check(time.Now(), subject("guilty"))
				is.True(decision != nil)
				if decision.TrialDue && q.AcquireTrial(t.Context(), decision) {
					trials++
				}
			}
		}
		is.True(trials > 0)
		is.True(trials <= 2)
	})
}
