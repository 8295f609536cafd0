package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// fakeQuarantine returns its verdicts in order; the last one is repeated.
type fakeQuarantine struct {
	verdicts                                 []*quarantine.Verdict
	checks                                   int
	granted                                  bool
	answered, broken, abandoned, unreachable int
	subjects                                 map[quarantine.Fingerprint]bool
}

// Judge implements Quarantine.
func (f *fakeQuarantine) Judge(_ time.Time, request *quarantine.Subject) *quarantine.Verdict {
	f.checks++
	f.subjects[request.Fingerprint()] = true
	return f.verdicts[min(f.checks, len(f.verdicts))-1]
}

// Try implements Quarantine.
func (f *fakeQuarantine) Try(context.Context, *quarantine.Subject) bool { return f.granted }

// Answered implements Quarantine.
func (f *fakeQuarantine) Answered(time.Time, *quarantine.Subject) { f.answered++ }

// Broke implements Quarantine.
func (f *fakeQuarantine) Broke(time.Time, *quarantine.Subject, Placement) { f.broken++ }

// Left implements Quarantine.
func (f *fakeQuarantine) Left(time.Time, *quarantine.Subject, Placement) { f.abandoned++ }

// Unreached implements Quarantine.
func (f *fakeQuarantine) Unreached(time.Time, Placement) { f.unreachable++ }

func TestQuarantinedRequestIsNotSent(t *testing.T) {
	quarantined := &quarantine.Verdict{RetryAfter: time.Minute}
	due := &quarantine.Verdict{RetryAfter: time.Minute, TrialDue: true}
	crashed := damage{"gone", 0}
	tests := []struct {
		name     string
		verdicts []*quarantine.Verdict
		granted  bool
		damage   damage
		sends    int
		kind     fault.Kind
		ran      fault.Ran
		answered int
		broke    int
	}{
		{"free", []*quarantine.Verdict{nil}, false, damage{}, 1, "", "", 1, 0},
		{"quarantined", []*quarantine.Verdict{quarantined}, false, damage{}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"quarantined during placement", []*quarantine.Verdict{nil, quarantined}, false, damage{}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"quarantined after it broke off", []*quarantine.Verdict{nil, nil, quarantined}, false, crashed, 1, fault.BackendLost, fault.RanUnknown, 0, 1},
		{"a trial that is not granted", []*quarantine.Verdict{due}, false, damage{}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"a trial that is answered", []*quarantine.Verdict{due}, true, damage{}, 1, "", "", 1, 0},
		{"a trial is one attempt", []*quarantine.Verdict{due, quarantined}, true, crashed, 1, fault.BackendLost, fault.RanUnknown, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			guard := &fakeQuarantine{verdicts: tt.verdicts, granted: tt.granted, subjects: map[quarantine.Fingerprint]bool{}}
			r := newFixture(tt.damage, "a", "b", "c")
			r.Quarantine = guard
			_, err := r.Run(t.Context(), testJob(), &textSink{})
			r.Close()
			is.Equal(len(r.engines.generated), tt.sends)
			is.Equal(guard.answered, tt.answered)
			is.Equal(guard.broken, tt.broke)
			is.Equal(len(guard.subjects), 1) // all attempts are of one request
			if tt.kind == "" {
				is.NoErr(err)
				return
			}
			is.Equal(fault.From(err).Kind, tt.kind)
			is.Equal(fault.From(err).Ran, tt.ran)
		})
	}
}
