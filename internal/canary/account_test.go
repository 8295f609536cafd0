package canary

import (
	"testing"

	"github.com/matryer/is"
)

func TestAccountBound(t *testing.T) {
	is := is.New(t)
	grants := account{bounds: modelBounds, hooks: &hooks{}}
	grants.takeOver(30)
	for requests := uint64(0); requests < 5000; requests += 37 {
		grants.ceiling = grants.nextCeiling(requests, 500, 40)
		grants.granted += grants.available(requests, requests > 300)
		is.True(grants.totalGranted() <= max(30, grants.ceiling))
		is.True(float64(saturatingSub(grants.totalGranted(), 30)) <= modelBounds.Share*float64(requests)+modelBounds.Slack)
	}
}

// A ceiling that blocks grants saved up for a burst must be raised, whatever it was before.
func TestCeilingAllowsBurst(t *testing.T) {
	is := is.New(t)
	const requests, rate, spent = 5_000, 500, 15
	for _, burst := range []uint64{10, 50, 94, 200} {
		for ceiling := uint64(spent); ceiling < spent+2*burst; ceiling++ {
			grants := account{bounds: modelBounds, hooks: &hooks{}, granted: spent, ceiling: ceiling}
			raised := grants.nextCeiling(requests, rate, burst)
			is.True(raised >= ceiling) // a ceiling is never lowered
			grants.ceiling = raised
			is.True(grants.available(requests, true) >= burst)
		}
	}
}
