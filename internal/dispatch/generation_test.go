package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Whatever damage hits whichever event, the caller gets the complete answer, in
// order, exactly once.
func TestAnswerIsCompleteAfterAnyStreamFailure(t *testing.T) {
	kinds := []string{"none", "cut", "gone", "stall", "frozen", "lost", "swap", "repeat", "crossed request", "late attempt", "crossed incarnation", "crossed stream", "engine error"}
	for _, kind := range kinds {
		for at := uint64(0); at <= answerChunks+1; at++ {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newFixture(damage{kind, at}, "a", "b")
				var sink textSink
				completion, err := r.Run(t.Context(), testJob(), &sink)
				r.Close()
				if err != nil || sink.text.String() != wholeAnswer() {
					t.Fatalf("%s at %d: %q, %v", kind, at, sink.text.String(), err)
				}
				is.Equal(completion.FinishReason, "stop")
				is.Equal(completion.Usage, protocol.Usage{PromptTokens: 8, CachedTokens: 4, CompletionTokens: answerChunks})
				is.Equal(r.chart.ends, 1)
				is.Equal(len(r.placer.released), len(r.engines.generated))
				for _, request := range r.engines.generated {
					if request.Continued != "" {
						is.Equal(request.Version, ident.ModelVersion("v1")) // the version that began the answer
					}
				}
			})
		}
	}
}

// An answer that cannot be continued must end with a fault that states truly what
// ran, never with an end event, and its text must be a prefix of the answer.
func TestUnrecoverableAnswerReturnsFault(t *testing.T) {
	cases := map[string]struct {
		damage damage
		budget int
		maxTok int
		kind   fault.Kind
		ran    fault.Ran
	}{
		"gone at start":           {damage{"gone", 0}, 9, 50, fault.NoPermittedEngine, fault.RanUnknown},
		"gone after start":        {damage{"gone", 1}, 9, 50, fault.NoPermittedEngine, fault.RanYes},
		"gone after text":         {damage{"gone", 3}, 9, 50, fault.StreamBroken, fault.RanYes},
		"stalls for ever":         {damage{"stall", 3}, 9, 50, fault.StreamBroken, fault.RanYes},
		"frozen":                  {damage{"frozen", 3}, 9, 50, fault.StreamBroken, fault.RanYes},
		"no budget before text":   {damage{"gone", 0}, 0, 50, fault.BackendLost, fault.RanUnknown},
		"no budget, no engine":    {damage{"engine error", 3}, 0, 50, fault.StreamBroken, fault.RanYes},
		"only the end is missing": {damage{"gone", answerChunks + 1}, 9, answerChunks, fault.StreamBroken, fault.RanYes},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newFixture(c.damage, "a")
				r.engines.always = true
				r.Budget = &fakeBudget{retries: c.budget}
				job := testJob()
				job.MaxTokens = c.maxTok
				var sink textSink
				began := time.Now()
				_, err := r.Run(t.Context(), job, &sink)
				r.Close()
				is.True(fault.Is(err, c.kind))
				is.Equal(fault.From(err).Ran, c.ran)
				is.True(fault.From(err).RetryAfter > 0)
				is.Equal(sink.text.String(), wholeAnswer()[:sink.text.Len()])
				is.True(time.Since(began) < 20*time.Second) // virtual time: the stall timeouts hold
				is.Equal(r.chart.ends, 1)
			})
		})
	}
}

// An exhausted budget stops neither an answer that has begun nor the second
// attempt at an engine that reported its new incarnation.
func TestContinuationAndNewIncarnationNeedNoRetryBudget(t *testing.T) {
	cases := map[string]struct {
		damage damage
		refuse error
	}{
		"broken after text":  {damage{"engine error", 3}, nil},
		"broken before text": {damage{"gone", 1}, nil},
		"new incarnation":    {damage{}, refusal(protocol.RefusalMismatch, "a1")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newFixture(c.damage, "a", "b")
				r.Budget = &fakeBudget{}
				if c.refuse != nil {
					r.engines.refuse = map[string]error{"a": c.refuse}
				}
				var sink textSink
				_, err := r.Run(t.Context(), testJob(), &sink)
				r.Close()
				if c.refuse != nil {
					// The fake always refuses; the one free retry was made.
					is.True(fault.Is(err, fault.BackendRefused))
					is.Equal(len(r.engines.generated), 2)
					return
				}
				is.NoErr(err)
				is.Equal(sink.text.String(), wholeAnswer())
			})
		})
	}
}

// Only resumes that bring no event count against MaxIdleResumes.
func TestResumesThatBringEventsAreNotBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(damage{kind: "one event a connection"}, "a")
		r.engines.always = true
		var sink textSink
		_, err := r.Run(t.Context(), testJob(), &sink)
		r.Close()
		is.NoErr(err)
		is.Equal(sink.text.String(), wholeAnswer())
		is.Equal(len(r.engines.generated), 1)
	})
}

func TestRefusedRequestIsRetriedOrReportedNotRun(t *testing.T) {
	unreachable := fault.New(fault.BackendLost, "no byte left")
	lost := fault.New(fault.BackendLost, "broke").WithRan(fault.RanUnknown)
	cases := map[string]struct {
		a, b error
		kind fault.Kind
		ran  fault.Ran
	}{
		"full, then accepted":   {refusal(protocol.RefusalFull, "a0"), nil, "", ""},
		"draining, unreachable": {refusal(protocol.RefusalDraining, "a0"), unreachable, fault.NoPermittedEngine, fault.RanNo},
		"refused, then lost":    {refusal(protocol.RefusalFull, "a0"), lost, fault.NoPermittedEngine, fault.RanUnknown},
		"bad request":           {refusal(protocol.RefusalBadRequest, "a0"), nil, fault.BadRequest, fault.RanNo},
		"lost, then refused":    {lost, refusal(protocol.RefusalFull, "b0"), fault.NoPermittedEngine, fault.RanUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newFixture(damage{}, "a", "b")
			r.engines.refuse = map[string]error{"a": c.a, "b": c.b}
			var sink textSink
			_, err := r.Run(t.Context(), testJob(), &sink)
			r.Close()
			if c.kind == "" {
				is.NoErr(err)
				is.Equal(r.placer.released[0].Refusal, protocol.RefusalFull)
				return
			}
			is.True(fault.Is(err, c.kind))
			is.Equal(fault.From(err).Ran, c.ran)
			is.Equal(fault.From(err).RetryAfter > 0, c.kind != fault.BadRequest)
		})
	}
}

func TestAbandonedStreamIsResumableDuringGrace(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newFixture(damage{}, "a")
			sink := textSink{failAt: 4}
			_, err := r.Run(t.Context(), testJob(), &sink)
			is.True(fault.Is(err, fault.StreamBroken))
			is.Equal(r.placer.released[0].Outcome, OutcomeAbandoned)
			time.Sleep(defaultResumeGrace - time.Second)
			is.Equal(r.engines.cancels(), 0)
			if resumed {
				completion, err := r.Resume(t.Context(), ResumeJob{Position: sink.last, Address: "a"}, &sink)
				is.NoErr(err)
				is.Equal(sink.text.String(), wholeAnswer())
				is.Equal(completion.Usage, protocol.Usage{PromptTokens: 8, CachedTokens: 4, CompletionTokens: answerChunks})
			}
			time.Sleep(time.Minute)
			r.Close()
			is.Equal(r.engines.cancels() == 0, resumed)
		})
	}
}

func TestResumeOnNewIncarnationFails(t *testing.T) {
	is := is.New(t)
	r := newFixture(damage{}, "a")
	sink := textSink{failAt: 4}
	_, _ = r.Run(t.Context(), testJob(), &sink)
	r.engines.incarnations["a"]++
	given := sink.text.String()
	_, err := r.Resume(t.Context(), ResumeJob{Position: sink.last, Address: "a"}, &sink)
	r.Close()
	is.True(fault.Is(err, fault.StreamBroken))
	is.Equal(fault.From(err).Ran, fault.RanYes)
	is.Equal(sink.text.String(), given)
	is.Equal(r.Counters.Resumes.Load(), uint64(1)) // an explicit refusal is not retried
}

func TestStalledStreamIsCancelledWhenCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(damage{"stall", 2}, "a")
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		job := testJob()
		job.Resumable = false
		_, err := r.Run(ctx, job, &textSink{})
		r.Close()
		is.True(fault.Is(err, fault.StreamBroken))
		is.Equal(r.engines.cancels(), 1)
		is.Equal(r.chart.ends, 1)
	})
}
