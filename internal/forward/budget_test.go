package forward_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// The slack of the repeat budget is that of the whole system: however many
// routers there are, what they grant together stays under it.
func TestRoutersShareTheSlackOfTheRepeatBudget(t *testing.T) {
	tests := []struct {
		name    string
		routers int
		granted int
		slack   int
	}{
		{"one", 1, benchSlack / 2, benchSlack},
		{"seven", 7, 5, 1},
		{"seventy-nine", 79, 4, 0},
		{"no part of it yet", 0, 4, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const requests = 20
				b := newBench(refusing(forward.NotExecuted))
				b.routers = tt.routers
				for range requests {
					b.relist()
					b.forward(t, request("safe"))
				}
				repeats := len(b.caller.sent()) - requests
				is.New(t).True(repeats >= min(tt.granted, requests/2))
				is.New(t).True(repeats <= requests/5+tt.slack)
			})
		})
	}
}

// What a repeat was granted or denied on is told, so that logs show whose share was used.
func TestDecisionsOnRepeatsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(refusing(forward.NotExecuted))
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
			is.Equal(step.Retry.Slack, float64(benchSlack)/8)
			is.True(step.Retry.Requests >= 1 && step.Retry.Requests <= 10)
		}
		is.Equal(granted, len(b.caller.sent())-10)
		is.True(denied > 0)
	})
}
