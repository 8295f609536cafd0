package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// newStartingFixture returns a fixture whose Forwarder has no configuration yet.
func newStartingFixture(off mechanism.Disabled) *fixture {
	b := newFixture(genuine(200, "ok"))
	b.holder = &catalog.Holder{}
	b.forwarder = forward.New(forward.Config{
		Freshness: catalog.Freshness{Keyed: 4 * time.Second, Denial: time.Second}, Disabled: off,
		Retries: admission.WindowConfig{Window: 10 * time.Second, Share: 0.2},
	}, forward.Dependencies{
		Holder: b.holder, Backends: b.backends, Caller: b.caller, Record: b.record, Routers: func() int { return 1 }, Sharers: func() int { return 1 }, Caches: b.caches,
	})
	return b
}

func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	tests := []struct {
		name string
		// knownAfter is when the configuration arrives, arrivesAfter when the request
		// does, both from the start of the router.
		knownAfter, arrivesAfter time.Duration
		wait                     time.Duration
		served                   bool
		within                   time.Duration
	}{
		{name: "known soon", knownAfter: 300 * time.Millisecond, wait: 5 * time.Second, served: true, within: 320 * time.Millisecond},
		{name: "known too late", knownAfter: time.Second, wait: 5 * time.Second, within: 520 * time.Millisecond},
		{name: "a client with a short timeout", knownAfter: 300 * time.Millisecond, wait: 800 * time.Millisecond, within: 220 * time.Millisecond},
		{name: "a client without a timeout", knownAfter: 300 * time.Millisecond, served: true, within: 320 * time.Millisecond},
		{name: "the startup period has ended", knownAfter: time.Hour, arrivesAfter: 2 * time.Second, wait: 5 * time.Second, within: 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newStartingFixture(mechanism.Disabled{})
				known := time.AfterFunc(tt.knownAfter, func() {
					b.holder.Adopt(catalog.NewSnapshot(configuration), time.Now())
				})
				defer known.Stop()
				time.Sleep(tt.arrivesAfter)
				wanted := request("safe")
				wanted.ClientTimeout = tt.wait
				begun := time.Now()
				sink := b.forward(t, wanted)
				is.Equal(sink.status == 200, tt.served)
				is.True(time.Since(begun) <= tt.within)
				if !tt.served {
					is.Equal(sink.refusal.Kind, fault.NotReady)
				}
			})
		})
	}
}

func TestClientThatLeavesStopsWaitingForConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newStartingFixture(mechanism.Disabled{})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		begun := time.Now()
		b.forwarder.Forward(ctx, request("safe"), &fakeSink{})
		is.True(time.Since(begun) <= 60*time.Millisecond)
		is.Equal(len(b.caller.sent()), 0)
	})
}

func TestWithoutStartHoldRequestsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		off, err := mechanism.ParseDisabled([]string{string(mechanism.StartHold)})
		is.NoErr(err)
		b := newStartingFixture(off)
		begun := time.Now()
		sink := b.forward(t, request("safe"))
		is.Equal(sink.refusal.Kind, fault.NotReady)
		is.Equal(time.Since(begun), time.Duration(0))
	})
}

func TestRequestsWaitingForConfigurationAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newStartingFixture(mechanism.Disabled{})
		for range 200 {
			go b.forwarder.Forward(t.Context(), request("safe"), &fakeSink{})
		}
		synctest.Wait()
		begun := time.Now()
		sink := b.forward(t, request("safe"))
		is.Equal(sink.refusal.Kind, fault.NotReady)
		is.Equal(time.Since(begun), time.Duration(0))
		time.Sleep(time.Second)
	})
}
