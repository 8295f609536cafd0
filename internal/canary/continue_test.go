package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// takenUp returns the choice for a stream that began at a release.
func takenUp(release ident.Release) ChooseRequest {
	return ChooseRequest{Service: modelService, Route: "draft", First: true, Continues: true, Release: release}
}

// Guards against streams taken up at a release on trial beyond the bound of its exposure, or at one
// that was rolled back.
func TestStreamsGoOnWithinTheExposure(t *testing.T) {
	tests := []struct {
		name    string
		permit  *Permit
		release ident.Release
		// want is how many of 20 may go on at the release.
		want int
	}{
		{"at the target, within its permit", testPermit(), modelNew, 10},
		{"at the target, halted", permitWith(func(p *Permit) { p.Halted = true }), modelNew, 0},
		{"at the target, rolled back", permitWith(func(p *Permit) { p.Phase = RolledBack }), modelNew, 0},
		{"at the target, promoting", permitWith(func(p *Permit) { p.Phase = Promoting }), modelNew, 20},
		{"at the previous release", testPermit(), modelOld, 20},
		{"at the previous release, promoting", permitWith(func(p *Permit) { p.Phase = Promoting }), modelOld, 20},
		{"at the previous release, promoted", permitWith(func(p *Permit) { p.Phase, p.Proved = Succeeded, []ident.Release{modelOld} }), modelOld, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gate := gateWithOrder()
			gate.ApplyPermit(at(time.Second), tt.permit)
			allowed := 0
			for range 20 {
				releases := gate.Choose(at(time.Second), takenUp(tt.release))
				if releases.Allows(tt.release) && gate.StillAllowed(modelService, &releases, tt.release) {
					allowed++
					gate.Sent(at(time.Second), modelService, record(tt.release, 0))
				}
			}
			if allowed != tt.want {
				t.Errorf("%d of 20 go on, want %d", allowed, tt.want)
			}
		})
	}
}

func TestStreamsTakenUpAreNoEvidence(t *testing.T) {
	is := is.New(t)
	gate := gateWithOrder()
	gate.ApplyPermit(at(time.Second), testPermit())
	for _, continues := range []bool{true, false} {
		run := gate.Sent(at(time.Second), modelService, record(modelNew, 0))
		gate.Ended(at(time.Second), run, Sample{Route: "draft", Outcome: Failed, Continues: continues})
	}
	failures := uint64(0)
	for _, tally := range gate.Report(at(time.Second), modelService).Tallies {
		failures += tally.Failures
	}
	is.Equal(failures, uint64(1))
	is.Equal(gate.Report(at(time.Second), modelService).Sent, uint64(2))
}
