package forward_test

// The monotonic clock does not advance while a machine is suspended. Keys revoked during a
// suspension must not count as confirmed after it.

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
)

func TestKeysAreNotTrustedAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asleep := time.Duration(0)
		defer clock.ReplaceSource(func() time.Duration { return asleep })()
		b := newFixture(genuine(200, "x"))
		is.True(b.forward(t, request("safe")).refusal == nil)
		asleep = 5 * time.Second // longer than Freshness.Keyed
		wanted := request("safe")
		sink := b.forward(t, wanted)
		is.True(sink.refusal != nil)
		is.Equal(sink.refusal.Kind, fault.NotReady)
		is.Equal(len(b.caller.sent()), 1)
	})
}

// After a suspension a router's state may be outdated even where no bound on its age is
// exceeded: requests wait a short time for its confirmation.
func TestResumedRouterWaitsForConfirmation(t *testing.T) {
	tests := []struct {
		name      string
		confirmed bool
		waited    time.Duration
	}{
		{"confirmed", true, 100 * time.Millisecond},
		{"not confirmed", false, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				asleep := time.Duration(0)
				defer clock.ReplaceSource(func() time.Duration { return asleep })()
				b := newFixture(genuine(200, "x"))
				asleep = 2 * time.Second
				begun := time.Now()
				if tt.confirmed {
					time.AfterFunc(95*time.Millisecond, func() { b.holder.Adopt(catalog.NewSnapshot(configuration), clock.Now()) })
				}
				is.True(b.forward(t, request("safe")).refusal == nil)
				is.Equal(time.Since(begun), tt.waited)
				// Later requests do not wait again.
				begun = time.Now()
				b.forward(t, request("safe"))
				is.Equal(time.Since(begun), time.Duration(0))
			})
		})
	}
}
