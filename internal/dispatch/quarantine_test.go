package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// fakeQuarantine gives verdicts in turn; the last one is repeated.
type fakeQuarantine struct {
	verdicts                         []*quarantine.Decision
	asked                            int
	granted                          bool
	answered, broke, left, unreached int
	subjects                         map[quarantine.Fingerprint]bool
}

// Check implements Quarantine.
func (f *fakeQuarantine) Check(_ time.Time, request *quarantine.Subject) *quarantine.Decision {
	f.asked++
	f.subjects[request.Fingerprint()] = true
	return f.verdicts[min(f.asked, len(f.verdicts))-1]
}

// AcquireTrial implements Quarantine.
func (f *fakeQuarantine) AcquireTrial(context.Context, *quarantine.Subject) bool { return f.granted }

// ObserveAnswered implements Quarantine.
func (f *fakeQuarantine) ObserveAnswered(time.Time, *quarantine.Subject) { f.answered++ }

// ObserveBroken implements Quarantine.
func (f *fakeQuarantine) ObserveBroken(time.Time, *quarantine.Subject, Placement) { f.broke++ }

// ObserveAbandoned implements Quarantine.
func (f *fakeQuarantine) ObserveAbandoned(time.Time, *quarantine.Subject, Placement) { f.left++ }

// ObserveUnreachable implements Quarantine.
func (f *fakeQuarantine) ObserveUnreachable(time.Time, Placement) { f.unreached++ }

func TestAQuarantinedRequestIsNotSent(t *testing.T) {
	held := &quarantine.Decision{RetryAfter: time.Minute}
	due := &quarantine.Decision{RetryAfter: time.Minute, TrialDue: true}
	crashed := damage{"gone", 0}
	tests := []struct {
		name     string
		verdicts []*quarantine.Decision
		granted  bool
		damage   damage
		sends    int
		kind     fault.Kind
		ran      fault.Ran
		answered int
		broke    int
	}{
		{"free", []*quarantine.Decision{nil}, false, damage{}, 1, "", "", 1, 0},
		{"held", []*quarantine.Decision{held}, false, damage{}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"held while an engine was looked for", []*quarantine.Decision{nil, held}, false, damage{}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"held after it broke off", []*quarantine.Decision{nil, nil, held}, false, crashed, 1, fault.BackendLost, fault.RanUnknown, 0, 1},
		{"a trial that is not granted", []*quarantine.Decision{due}, false, damage{}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"a trial that is answered", []*quarantine.Decision{due}, true, damage{}, 1, "", "", 1, 0},
		{"a trial is one attempt", []*quarantine.Decision{due, held}, true, crashed, 1, fault.BackendLost, fault.RanUnknown, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			guard := &fakeQuarantine{verdicts: tt.verdicts, granted: tt.granted, subjects: map[quarantine.Fingerprint]bool{}}
			r := newRig(tt.damage, "a", "b", "c")
			r.Quarantine = guard
			_, err := r.Run(t.Context(), testJob(), &textSink{})
			r.Close()
			is.Equal(len(r.engines.generated), tt.sends)
			is.Equal(guard.answered, tt.answered)
			is.Equal(guard.broke, tt.broke)
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
