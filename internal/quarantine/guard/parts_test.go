package guard

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// prompt returns a request of its own whose prompt has these shared parts.
func prompt(own int, parts ...string) *quarantine.Subject {
	return &quarantine.Subject{
		Identity: quarantine.Identity{Tenant: "t", Body: fmt.Append(nil, "own ", own)}, Model: "m", SharedParts: slices.Values(parts),
	}
}

// crashPrompts crashes engines, half a second apart, under prompts that have these parts in common.
func (w *harness) crashPrompts(router int, engines []int, parts ...string) {
	for _, engine := range engines {
		w.all[router].ObserveBroken(time.Now(), prompt(engine, parts...), w.target(engine))
		time.Sleep(500 * time.Millisecond)
	}
}

// held returns the id of the first quarantined part of a prompt at a router, empty if there is none.
func (w *harness) held(router int, parts ...string) string {
	if decision := w.all[router].Check(time.Now(), prompt(-1, parts...)); decision != nil {
		return decision.PartID
	}
	return ""
}

// A part that crashes back ends is quarantined at all routers; one that another router had an answer to is
// not.
func TestPartIsQuarantinedAtAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 3, always(ProbeRefused))
		for index := range 5 {
			w.all[2].ObserveAnswered(time.Now(), prompt(100+index, "companion"))
			if index < 4 {
				w.crashPrompts(index%2, []int{index}, "companion", "bad")
			}
		}
		time.Sleep(time.Second)
		for router := range 3 {
			is.Equal(w.held(router, "companion", "bad"), "bad")
			is.Equal(w.held(router, "companion"), "")
			is.True(w.all[router].Suspected(prompt(-1, "bad")))
			is.True(!w.all[router].Suspected(prompt(-1, "companion")))
		}
	})
}

// Crashes long after the beginning of an answer do not count against its parts.
func TestLongAnswersAreNoEvidenceOnParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1, always(ProbeRefused))
		for engine := range 6 {
			target := w.target(engine)
			target.Arriving = 5 * time.Second
			w.all[0].ObserveBroken(time.Now(), prompt(engine, "long"), target)
			time.Sleep(500 * time.Millisecond)
		}
		is.Equal(w.held(0, "long"), "")
	})
}

// Answers that have been arriving for long clear the parts of their prompts, and not the request.
func TestProgressClearsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2, always(ProbeRefused))
		for engine := range 5 {
			w.all[0].ObserveBroken(time.Now(), prompt(0, "long"), w.target(engine))
			time.Sleep(time.Second)
			w.all[1].ObserveProgress(time.Now(), prompt(1, "long"))
		}
		is.Equal(w.held(0, "long"), "")
		is.True(w.all[0].Check(time.Now(), prompt(0, "long")) != nil)
	})
}

// An answer that ended with its connection is a success only if its back end did not crash, and evidence if
// it did.
func TestUnprovenAnswersCountByFateOfBackend(t *testing.T) {
	tests := []struct {
		name  string
		found ProbeResult
		held  string
	}{
		{"back ends crash", ProbeRefused, "bad"},
		{"back ends crash and are back", ProbeEnded, "bad"},
		{"back ends live", ProbeAlive, ""},
		{"back ends do not answer", ProbeInconclusive, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newHarness(t, 2, always(tt.found))
				time.Sleep(time.Millisecond)
				for engine := range 5 {
					w.all[0].ObserveUnproven(time.Now(), prompt(engine, "bad"), w.target(engine))
					time.Sleep(1600 * time.Millisecond)
				}
				is.Equal(w.held(0, "bad"), tt.held)
				is.Equal(w.held(1, "bad"), tt.held)
				_, succeeded := w.all[0].partSuccesses.Last(time.Now(), prompt(0, "bad").Parts()[0].Fingerprint)
				is.Equal(succeeded, tt.found == ProbeAlive)
			})
		})
	}
}

// Routers that start after all others have ended know a quarantined part from the rows.
func TestRowsOfPartsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1, always(ProbeRefused))
		w.crashPrompts(0, []int{0, 1, 2, 3}, "bad")
		time.Sleep(3 * time.Second)
		is.Equal(w.store.count(), 1)
		restarted := w.start(t.Context())
		w.setIsolated(1, true)
		restarted.Load(t.Context(), 0)
		is.Equal(w.held(1, "bad"), "bad")
	})
}
