package canary

import (
	"testing"

	"github.com/matryer/is"
)

func TestAccountNeverExceedsItsBound(t *testing.T) {
	is := is.New(t)
	sum := account{bounds: modelBounds, hooks: &hooks{}}
	sum.takeOver(30)
	for requests := uint64(0); requests < 5000; requests += 37 {
		sum.ceiling = sum.raise(requests, 500, 40)
		sum.granted += sum.room(requests, requests > 300)
		is.True(sum.spent() <= max(30, sum.ceiling))
		is.True(float64(less(sum.spent(), 30)) <= modelBounds.Share*float64(requests)+modelBounds.Slack)
	}
}

// TestCeilingLeavesRoomForABurst shows that grants that are saved up for a burst are always
// given at last: the ceiling is raised when it keeps them back, whatever it was before.
func TestCeilingLeavesRoomForABurst(t *testing.T) {
	is := is.New(t)
	const requests, rate, spent = 5_000, 500, 15
	for _, burst := range []uint64{10, 50, 94, 200} {
		for ceiling := uint64(spent); ceiling < spent+2*burst; ceiling++ {
			sum := account{bounds: modelBounds, hooks: &hooks{}, granted: spent, ceiling: ceiling}
			raised := sum.raise(requests, rate, burst)
			is.True(raised >= ceiling) // a ceiling is never lowered
			sum.ceiling = raised
			is.True(sum.room(requests, true) >= burst)
		}
	}
}
