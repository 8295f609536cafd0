package forward_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
)

// Without the reason in the refusal a log that begins after the fault does not show its cause.
func TestRefusalNamesWhyConfigurationIsNotConfirmed(t *testing.T) {
	for _, tt := range []struct {
		name  string
		route string
		age   time.Duration
	}{
		{"a known key", "safe", 5 * time.Second},
		{"an unknown route", "none", 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(genuine(200, "ok"))
				time.Sleep(tt.age)
				b.holder.SetUnconfirmed(catalog.Unconfirmed{Reason: catalog.HistoryGone, AskedAt: time.Now()})
				b.forward(t, request(tt.route))
				is.Equal(len(b.steps), 1)
				is.Equal(b.steps[0].Kind, forward.StepRefused)
				is.Equal(b.steps[0].Unconfirmed, catalog.HistoryGone)
				is.Equal(b.steps[0].ConfigurationVersion, uint64(3))
				is.Equal(b.steps[0].ConfigurationAge, tt.age)
			})
		})
	}
}

// A route or key that could not be decoded must not be reported as one that does not exist.
func TestPartsThatWereNotDecodedAreNotDenied(t *testing.T) {
	for _, tt := range []struct {
		name                             string
		routesIncomplete, keysIncomplete bool
		route, key                       string
		want                             fault.Kind
	}{
		{"an unknown route", false, true, "none", "key", fault.UnknownRoute},
		{"a route that may not have been decoded", true, false, "none", "key", fault.NotReady},
		{"an unknown key", true, false, "safe", "other", fault.Unauthorized},
		{"a key that may not have been decoded", false, true, "safe", "other", fault.NotReady},
		{"a route without services", false, false, "bare", "key", fault.NotReady},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(genuine(200, "ok"))
			content := configuration
			content.Version++
			content.Routes = append(slices.Clone(content.Routes), catalog.Route{Name: "bare", Host: "h", PathPrefix: "/bare/", Kind: catalog.Safe})
			content.RoutesIncomplete, content.KeysIncomplete = tt.routesIncomplete, tt.keysIncomplete
			b.holder.Adopt(catalog.NewSnapshot(content), time.Now())
			wanted := request(tt.route)
			wanted.Key = tt.key
			sink := b.forward(t, wanted)
			is.Equal(sink.refusal.Kind, tt.want)
			is.Equal(sink.refusal.RetryAfter > 0, tt.want == fault.NotReady)
		})
	}
}

// A process that was paused must not refuse the requests that arrive before its next read, nor hold
// those that a failed read has decided.
func TestRequestWaitsForNextReadAfterPause(t *testing.T) {
	for _, tt := range []struct {
		name string
		// confirmed is when a read confirms the configuration, failed when one fails; 0 for never.
		confirmed, failed time.Duration
		served            bool
		within            time.Duration
	}{
		{"a read that confirms", 40 * time.Millisecond, 0, true, 60 * time.Millisecond},
		{"a read that fails", 0, 40 * time.Millisecond, false, 60 * time.Millisecond},
		{"no read", 0, 0, false, 100 * time.Millisecond},
		{"a read that had failed before", 0, -time.Second, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(genuine(200, "ok"))
				time.Sleep(5 * time.Second)
				if tt.confirmed > 0 {
					time.AfterFunc(tt.confirmed, func() { b.holder.Adopt(b.holder.View().Snapshot, time.Now()) })
				}
				fail := func() { b.holder.SetUnconfirmed(catalog.Unconfirmed{Reason: catalog.ReadFailed, AskedAt: time.Now()}) }
				if tt.failed < 0 {
					fail()
				} else if tt.failed > 0 {
					time.AfterFunc(tt.failed, fail)
				}
				sent := time.Now()
				sink := b.forward(t, request("safe"))
				is.Equal(sink.refusal == nil, tt.served)
				is.True(time.Since(sent) <= tt.within)
			})
		})
	}
}
