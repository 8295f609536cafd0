package forward_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/forward"
)

// The slack of the repeat budget is that of the whole system: however many
// routers there are, what they grant together stays under it.
func TestRoutersShareTheSlackOfTheRepeatBudget(t *testing.T) {
	tests := []struct {
		name    string
		routers int
		granted int
	}{
		{"one", 1, benchSlack / 2},
		{"seven", 7, 5},
		{"seventy-nine", 79, 4},
		{"not counted yet", 0, 4},
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
				is.New(t).True(repeats <= requests/5+benchSlack/max(tt.routers, 1))
			})
		})
	}
}
