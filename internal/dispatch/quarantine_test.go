package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// fakeQuarantine returns its decisions in order; the last one is repeated.
type fakeQuarantine struct {
	decisions                                []*quarantine.Decision
	checks                                   int
	granted                                  bool
	answered, broken, abandoned, unreachable int
	subjects                                 map[quarantine.Fingerprint]bool
}

// Check implements Quarantine.
func (f *fakeQuarantine) Check(_ time.Time, request *quarantine.Subject) *quarantine.Decision {
	f.checks++
	f.subjects[request.Fingerprint()] = true
	return f.decisions[min(f.checks, len(f.decisions))-1]
}

// AcquireTrial implements Quarantine.
func (f *fakeQuarantine) AcquireTrial(context.Context, *quarantine.Decision) bool { return f.granted }

// ObserveAnswered implements Quarantine.
func (f *fakeQuarantine) ObserveAnswered(time.Time, *quarantine.Subject) { f.answered++ }

// ObserveBroken implements Quarantine.
func (f *fakeQuarantine) ObserveBroken(time.Time, *quarantine.Subject, Placement) { f.broken++ }

// ObserveAbandoned implements Quarantine.
func (f *fakeQuarantine) ObserveAbandoned(time.Time, *quarantine.Subject, Placement) { f.abandoned++ }

// ObserveUnreachable implements Quarantine.
func (f *fakeQuarantine) ObserveUnreachable(time.Time, Placement) { f.unreachable++ }

func TestQuarantinedRequestIsNotSent(t *testing.T) {
	quarantined := &quarantine.Decision{RetryAfter: time.Minute}
	due := &quarantine.Decision{RetryAfter: time.Minute, TrialDue: true}
	crashed := damage{"gone", 0}
	tests := []struct {
		name      string
		decisions []*quarantine.Decision
		granted   bool
		damage    damage
		sends     int
		kind      fault.Kind
		ran       fault.Ran
		answered  int
		broke     int
	}{
		{"free", []*quarantine.Decision{nil}, false, damage{}, 1, "", "", 1, 0},
		{"quarantined", []*quarantine.Decision{quarantined}, false, damage{}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"quarantined during placement", []*quarantine.Decision{nil, quarantined}, false, damage{}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"quarantined after it broke off", []*quarantine.Decision{nil, nil, quarantined}, false, crashed, 1, fault.BackendLost, fault.RanUnknown, 0, 1},
		{"a trial that is not granted", []*quarantine.Decision{due}, false, damage{}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"a trial that is answered", []*quarantine.Decision{due}, true, damage{}, 1, "", "", 1, 0},
		{"a trial is one attempt", []*quarantine.Decision{due, quarantined}, true, crashed, 1, fault.BackendLost, fault.RanUnknown, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			guard := &fakeQuarantine{decisions: tt.decisions, granted: tt.granted, subjects: map[quarantine.Fingerprint]bool{}}
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
