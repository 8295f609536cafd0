package forward_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// The retry slack is system-wide: all routers together must not grant more,
// however many there are.
func TestRoutersShareTheRetrySlack(t *testing.T) {
	tests := []struct {
		name    string
		routers int
		granted int
		slack   int
	}{
		{"one", 1, fixtureSlack / 2, fixtureSlack},
		{"seven", 7, 5, 1},
		{"seventy-nine", 79, 4, 0},
		{"no part of it yet", 0, 4, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const requests = 20
				b := newFixture(refusing(forward.NotExecuted))
				b.routers = tt.routers
				for range requests {
					b.relist()
					b.forward(t, request("safe"))
				}
				retries := len(b.caller.sent()) - requests
				is.New(t).True(retries >= min(tt.granted, requests/2))
				is.New(t).True(retries <= requests/5+tt.slack)
			})
		})
	}
}

// Steps must record on which state a retry was granted or denied, for the logs.
func TestRetryDecisionsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(refusing(forward.NotExecuted))
		b.routers = 7
		for range 10 {
			b.relist()
			b.forward(t, request("safe"))
		}
		granted, denied := 0, 0
		for _, step := range b.steps {
			switch step.Kind {
			case forward.StepRetryGranted:
				granted++
				is.Equal(step.Retry.Retries, granted)
			case forward.StepRetryDenied:
				denied++
			default:
				continue
			}
			is.Equal(step.Retry.Service, ident.Service("s"))
			is.Equal(step.Retry.Sharers, 8)
			is.Equal(step.Retry.Slack, float64(fixtureSlack)/8)
			is.True(step.Retry.Requests >= 1 && step.Retry.Requests <= 10)
		}
		is.Equal(granted, len(b.caller.sent())-10)
		is.True(denied > 0)
	})
}
