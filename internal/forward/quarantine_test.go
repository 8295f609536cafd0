package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// fakeQuarantine gives verdicts in turn; the last one is repeated.
type fakeQuarantine struct {
	verdicts []*quarantine.Decision
	asked    int
	granted  bool
	answered int
	broke    []backend.Record
	left     []backend.Record
	// unreached counts the attempts that did not leave.
	unreached int
}

// Check implements forward.Quarantine.
func (f *fakeQuarantine) Check(time.Time, *quarantine.Subject) *quarantine.Decision {
	f.asked++
	return f.verdicts[min(f.asked, len(f.verdicts))-1]
}

// AcquireTrial implements forward.Quarantine.
func (f *fakeQuarantine) AcquireTrial(context.Context, *quarantine.Subject) bool { return f.granted }

// ObserveAnswered implements forward.Quarantine.
func (f *fakeQuarantine) ObserveAnswered(time.Time, *quarantine.Subject) { f.answered++ }

// ObserveBroken implements forward.Quarantine.
func (f *fakeQuarantine) ObserveBroken(_ time.Time, _ *quarantine.Subject, at backend.Record) {
	f.broke = append(f.broke, at)
}

// ObserveAbandoned implements forward.Quarantine.
func (f *fakeQuarantine) ObserveAbandoned(_ time.Time, _ *quarantine.Subject, at backend.Record) {
	f.left = append(f.left, at)
}

// ObserveUnreachable implements forward.Quarantine.
func (f *fakeQuarantine) ObserveUnreachable(time.Time, backend.Record) { f.unreached++ }

// An engine may begin a request that was given up, and crash of it.
func TestAttemptsThatAreGivenUpAreTold(t *testing.T) {
	tests := []struct {
		name    string
		answers []answer
		wait    time.Duration
		sends   int
		left    int
		// unreached is the number of attempts that did not leave.
		unreached int
	}{
		{"mute, and sent elsewhere", []answer{hanging(""), genuine(200, "x")}, 20 * time.Second, 2, 1, 0},
		{"the client's time is over", []answer{hanging("")}, 50 * time.Millisecond, 1, 1, 0},
		{"answered", []answer{genuine(200, "x")}, 20 * time.Second, 1, 0, 0},
		{"broken off", []answer{failing(true), genuine(200, "x")}, 20 * time.Second, 2, 0, 0},
		{"not reached", []answer{failing(false), genuine(200, "x")}, 20 * time.Second, 2, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(tt.answers...)
				guard := &fakeQuarantine{verdicts: []*quarantine.Decision{nil}}
				b.forwarder.Quarantine = guard
				wanted := request("safe")
				wanted.ClientTimeout = tt.wait
				b.forward(t, wanted)
				is.Equal(len(b.caller.sent()), tt.sends)
				is.Equal(len(guard.left), tt.left)
				is.Equal(guard.unreached, tt.unreached)
			})
		})
	}
}

func TestAQuarantinedRequestIsNotSent(t *testing.T) {
	held := &quarantine.Decision{RetryAfter: time.Minute}
	due := &quarantine.Decision{RetryAfter: time.Minute, TrialDue: true}
	tests := []struct {
		name     string
		route    string
		verdicts []*quarantine.Decision
		granted  bool
		answers  []answer
		sends    int
		kind     fault.Kind
		ran      fault.Ran
		broke    int
		answered int
	}{
		{"free", "safe", []*quarantine.Decision{nil}, false, []answer{genuine(200, "x")}, 1, "", "", 0, 1},
		{"a failure is no success", "unsafe", []*quarantine.Decision{nil}, false, []answer{genuine(500, "x")}, 1, "", "", 0, 0},
		{"held", "safe", []*quarantine.Decision{held}, false, []answer{genuine(200, "x")}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"held while a place was looked for", "safe", []*quarantine.Decision{nil, held}, false, []answer{genuine(200, "x")}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"held after it broke off", "safe", []*quarantine.Decision{nil, nil, held}, false, []answer{failing(true)}, 1, fault.BackendLost, fault.RanUnknown, 1, 0},
		{"a trial that is not granted", "safe", []*quarantine.Decision{due}, false, []answer{genuine(200, "x")}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"a trial that is answered", "safe", []*quarantine.Decision{due}, true, []answer{genuine(200, "x")}, 1, "", "", 0, 1},
		{"a trial is one attempt", "safe", []*quarantine.Decision{due, held}, true, []answer{failing(true)}, 1, fault.BackendLost, fault.RanUnknown, 1, 0},
		{"a trial that a back end refused is over", "safe", []*quarantine.Decision{due, held}, true, []answer{refusing(forward.NotExecuted), genuine(200, "x")}, 1, fault.Quarantined, fault.RanNo, 0, 0},
		{"a trial that another instance refused is over", "safe", []*quarantine.Decision{due, held}, true, []answer{refusing(forward.OtherInstance), genuine(200, "x")}, 1, fault.Quarantined, fault.RanNo, 0, 0},
		{"a trial that did not leave goes on", "safe", []*quarantine.Decision{due, held}, true, []answer{failing(false), genuine(200, "x")}, 2, "", "", 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(tt.answers...)
				guard := &fakeQuarantine{verdicts: tt.verdicts, granted: tt.granted}
				b.forwarder.Quarantine = guard
				sink := b.forward(t, request(tt.route))
				is.Equal(len(b.caller.sent()), tt.sends)
				is.Equal(len(guard.broke), tt.broke)
				is.Equal(guard.answered, tt.answered)
				is.Equal(b.backends.InFlight(), 0)
				if tt.kind == "" {
					is.True(sink.refusal == nil)
					return
				}
				is.Equal(sink.refusal.Kind, tt.kind)
				is.Equal(sink.refusal.Ran, tt.ran)
			})
		})
	}
}
