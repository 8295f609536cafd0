package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
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
