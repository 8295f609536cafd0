package forward_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// fakeQuarantine returns its decisions in order; the last one is repeated.
type fakeQuarantine struct {
	decisions []*quarantine.Decision
	checks    int
	granted   bool
	suspected bool
	unproven  int
	progress  int
	answered  int
	broken    []backend.Record
	abandoned []backend.Record
	// unreachable counts the attempts that were not sent.
	unreachable int
}

// Check implements forward.Quarantine.
func (f *fakeQuarantine) Check(time.Time, *quarantine.Subject) *quarantine.Decision {
	f.checks++
	return f.decisions[min(f.checks, len(f.decisions))-1]
}

// AcquireTrial implements forward.Quarantine.
func (f *fakeQuarantine) AcquireTrial(context.Context, *quarantine.Decision) bool { return f.granted }

// Suspected implements forward.Quarantine.
func (f *fakeQuarantine) Suspected(*quarantine.Subject) bool { return f.suspected }

// ObserveProgress implements forward.Quarantine.
func (f *fakeQuarantine) ObserveProgress(time.Time, *quarantine.Subject) { f.progress++ }

// ObserveUnproven implements forward.Quarantine.
func (f *fakeQuarantine) ObserveUnproven(time.Time, *quarantine.Subject, backend.Record) {
	f.unproven++
}

// ObserveAnswered implements forward.Quarantine.
func (f *fakeQuarantine) ObserveAnswered(time.Time, *quarantine.Subject) { f.answered++ }

// ObserveBroken implements forward.Quarantine.
func (f *fakeQuarantine) ObserveBroken(_ time.Time, _ *quarantine.Subject, at backend.Record, _ time.Duration) {
	f.broken = append(f.broken, at)
}

// ObserveAbandoned implements forward.Quarantine.
func (f *fakeQuarantine) ObserveAbandoned(_ time.Time, _ *quarantine.Subject, at backend.Record) {
	f.abandoned = append(f.abandoned, at)
}

// ObserveUnreachable implements forward.Quarantine.
func (f *fakeQuarantine) ObserveUnreachable(time.Time, backend.Record) { f.unreachable++ }

// An engine may still run an abandoned request, and crash because of it.
func TestAbandonedAttemptsAreReportedToQuarantine(t *testing.T) {
	tests := []struct {
		name    string
		answers []answer
		wait    time.Duration
		sends   int
		left    int
		// unreached is the number of attempts that were not sent.
		unreached int
	}{
		{"silent, and sent elsewhere", []answer{hanging(""), genuine(200, "x")}, 20 * time.Second, 2, 1, 0},
		{"the client's timeout", []answer{hanging("")}, 50 * time.Millisecond, 1, 1, 0},
		{"answered", []answer{genuine(200, "x")}, 20 * time.Second, 1, 0, 0},
		{"broken off", []answer{failing(true), genuine(200, "x")}, 20 * time.Second, 2, 0, 0},
		{"not reached", []answer{failing(false), genuine(200, "x")}, 20 * time.Second, 2, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(tt.answers...)
				guard := &fakeQuarantine{decisions: []*quarantine.Decision{nil}}
				b.forwarder.Quarantine = guard
				wanted := request("safe")
				wanted.ClientTimeout = tt.wait
				b.forward(t, wanted)
				is.Equal(len(b.caller.sent()), tt.sends)
				is.Equal(len(guard.abandoned), tt.left)
				is.Equal(guard.unreachable, tt.unreached)
			})
		})
	}
}

func TestQuarantinedRequestIsNotSent(t *testing.T) {
	quarantined := &quarantine.Decision{RetryAfter: time.Minute}
	due := &quarantine.Decision{RetryAfter: time.Minute, TrialDue: true}
	tests := []struct {
		name      string
		route     string
		decisions []*quarantine.Decision
		granted   bool
		answers   []answer
		sends     int
		kind      fault.Kind
		ran       fault.Ran
		broke     int
		answered  int
	}{
		{"free", "safe", []*quarantine.Decision{nil}, false, []answer{genuine(200, "x")}, 1, "", "", 0, 1},
		{"a failure is no success", "unsafe", []*quarantine.Decision{nil}, false, []answer{genuine(500, "x")}, 1, "", "", 0, 0},
		{"quarantined", "safe", []*quarantine.Decision{quarantined}, false, []answer{genuine(200, "x")}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"quarantined during placement", "safe", []*quarantine.Decision{nil, quarantined}, false, []answer{genuine(200, "x")}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"quarantined after it broke off", "safe", []*quarantine.Decision{nil, nil, quarantined}, false, []answer{failing(true)}, 1, fault.BackendLost, fault.RanUnknown, 1, 0},
		{"a trial that is not granted", "safe", []*quarantine.Decision{due}, false, []answer{genuine(200, "x")}, 0, fault.Quarantined, fault.RanNo, 0, 0},
		{"a trial that is answered", "safe", []*quarantine.Decision{due}, true, []answer{genuine(200, "x")}, 1, "", "", 0, 1},
		{"a trial is one attempt", "safe", []*quarantine.Decision{due, quarantined}, true, []answer{failing(true)}, 1, fault.BackendLost, fault.RanUnknown, 1, 0},
		{"a trial that a back end refused is over", "safe", []*quarantine.Decision{due, quarantined}, true, []answer{refusing(forward.NotExecuted), genuine(200, "x")}, 1, fault.Quarantined, fault.RanNo, 0, 0},
		{"a trial that another instance refused is over", "safe", []*quarantine.Decision{due, quarantined}, true, []answer{refusing(forward.OtherInstance), genuine(200, "x")}, 1, fault.Quarantined, fault.RanNo, 0, 0},
		{"a trial that was not sent continues", "safe", []*quarantine.Decision{due, quarantined}, true, []answer{failing(false), genuine(200, "x")}, 2, "", "", 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(tt.answers...)
				guard := &fakeQuarantine{decisions: tt.decisions, granted: tt.granted}
				b.forwarder.Quarantine = guard
				sink := b.forward(t, request(tt.route))
				is.Equal(len(b.caller.sent()), tt.sends)
				is.Equal(len(guard.broken), tt.broke)
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

// An attempt that broke off is logged with its caller and the shared parts of its prompt.
func TestBrokenAttemptNamesCallerAndParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(failing(true))
		wanted := request("unsafe")
		wanted.Prompt = &forward.Prompt{Model: "m", Parts: []forward.Part{{ID: "aa", Tokens: 10}, {ID: "bb", Tokens: 5}, {ID: "own", Tokens: 3}}}
		b.forward(t, wanted)
		var ended []forward.Step
		for _, step := range b.steps {
			if step.Kind == forward.StepAttemptEnded {
				ended = append(ended, step)
			}
		}
		is.Equal(len(ended), 1)
		is.Equal(ended[0].SharedParts, wanted.Prompt.Parts[:2])
		is.Equal(ended[0].Tenant, ident.Tenant("tenant"))
	})
}

// A request that was lost with its back end is not sent to another one while a part of its prompt is under
// suspicion.
func TestSuspectedRequestIsNotRetried(t *testing.T) {
	for _, suspected := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(failing(true), genuine(200, "x"))
			b.forwarder.Quarantine = &fakeQuarantine{decisions: []*quarantine.Decision{nil}, suspected: suspected}
			sink := b.forward(t, request("safe"))
			is.Equal(len(b.caller.sent()) == 1, suspected)
			is.Equal(sink.refusal != nil, suspected)
			if suspected {
				is.Equal(sink.refusal.Kind, fault.BackendLost)
			}
		})
	}
}

// An answer that ends with its connection may have been cut off by a crash: it is no proof for the prompt,
// and without a byte it is no answer.
func TestUnframedAnswerIsNoProof(t *testing.T) {
	tests := []struct {
		name, route string
		status      int
		body        string
		unframed    bool
		answered    int
		unproven    int
		broken      int
	}{
		{"a stream with a length", "stream", 200, "id: 1\ndata: a\n\n", false, 1, 0, 0},
		{"a stream", "stream", 200, "id: 1\ndata: a\n\n", true, 0, 1, 0},
		{"a stream that ends within an event", "stream", 200, "id: 1\ndata: a\n\nid: 2", true, 0, 0, 1},
		{"a stream without an event", "stream", 200, "", true, 0, 0, 1},
		{"a body", "unsafe", 200, "x", true, 0, 1, 0},
		{"a body without a byte", "unsafe", 200, "", true, 0, 0, 1},
		{"an error without a body", "unsafe", 404, "", true, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				reply := func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
					reply, err := genuine(tt.status, tt.body)(ctx, attempt)
					reply.Unframed = tt.unframed
					return reply, err
				}
				b := newFixture(reply, reply)
				guard := &fakeQuarantine{decisions: []*quarantine.Decision{nil}}
				b.forwarder.Quarantine = guard
				b.forward(t, request(tt.route))
				is.Equal(guard.answered, tt.answered)
				is.Equal(guard.unproven, tt.unproven)
				is.Equal(min(len(guard.broken), 1), tt.broken)
			})
		})
	}
}

// steadyBody is a stream of some events, a pause before each.
type steadyBody struct {
	events int
	pause  time.Duration
}

// Read implements io.Reader.
func (b *steadyBody) Read(buffer []byte) (int, error) {
	if b.events == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.events--
	return copy(buffer, "data: a\n\n"), nil
}

// A stream that still arrives a second after its first event is reported, since its engine has not crashed
// on the prompt.
func TestProgressOfStreamIsReported(t *testing.T) {
	for events, reports := range map[int]int{4: 0, 8: 1, 16: 3} {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(func(ctx context.Context, attempt *forward.Attempt) (*forward.Reply, error) {
				return reply(forward.Genuine, 200, &steadyBody{events, 200 * time.Millisecond})(ctx, attempt)
			})
			guard := &fakeQuarantine{decisions: []*quarantine.Decision{nil}}
			b.forwarder.Quarantine = guard
			b.forward(t, request("stream"))
			is.New(t).Equal(guard.progress, reports)
		})
	}
}
