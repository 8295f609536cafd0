package forward_test

// A machine may be suspended for seconds, and the steady clock does not count that. Keys that
// were taken away meanwhile were taken for confirmed when it woke, and requests ran with them.

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
		defer clock.Replace(func() time.Duration { return asleep })()
		b := newBench(genuine(200, "x"))
		is.True(b.forward(t, request("safe")).refusal == nil)
		asleep = 5 * time.Second // as long as a key may be used unconfirmed, and more
		wanted := request("safe")
		sink := b.forward(t, wanted)
		is.True(sink.refusal != nil)
		is.Equal(sink.refusal.Kind, fault.NotReady)
		is.Equal(len(b.caller.sent()), 1)
	})
}

// What a router knew before it was suspended may be old also where no bound of time says so:
// it waits a short while for news.
func TestResumedRouterWaitsForConfirmation(t *testing.T) {
	tests := []struct {
		name      string
		confirmed bool
		waited    time.Duration
	}{
		{"they come", true, 100 * time.Millisecond},
		{"none come", false, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				asleep := time.Duration(0)
				defer clock.Replace(func() time.Duration { return asleep })()
				b := newBench(genuine(200, "x"))
				asleep = 2 * time.Second
				begun := time.Now()
				if tt.confirmed {
					time.AfterFunc(95*time.Millisecond, func() { b.holder.Adopt(catalog.NewSnapshot(configuration), clock.Now()) })
				}
				is.True(b.forward(t, request("safe")).refusal == nil)
				is.Equal(time.Since(begun), tt.waited)
				// A request that comes later does not wait again.
				begun = time.Now()
				b.forward(t, request("safe"))
				is.Equal(time.Since(begun), time.Duration(0))
			})
		})
	}
}
