package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// generation is one model request on its way through its attempts.
type generation struct {
	dispatcher *Dispatcher
	job        Job
	sink       Sink
	chart      Chart
	ledger     RunLedger

	attempts int
	started  bool
	broken   bool
	emitted  strings.Builder
	tokens   int
	usage    protocol.Usage
	// subject tells the request apart from others, onTrial says that it is quarantined, and a
	// trial was granted.
	subject *quarantine.Subject
	onTrial bool
	// relearned holds engines that told a new incarnation once already.
	relearned map[ident.Engine]bool
}

// Run runs one model request and gives its answer to the sink, in order. It
// returns the proven end, or a *fault.Fault that says what ran. The job is not
// changed. When ctx ends, the caller is taken to be gone.
func (d *Dispatcher) Run(ctx context.Context, job *Job, sink Sink) (Completion, error) {
	g := &generation{
		dispatcher: d, job: *job, sink: sink, chart: d.NewChart(true), subject: subjectOf(job), relearned: map[ident.Engine]bool{},
	}
	g.job.Excluded = map[ident.Engine]bool{}
	for engineName := range job.Excluded {
		g.job.Excluded[engineName] = true
	}
	g.emitted.WriteString(job.Continued)
	g.chart.Fire(EventCheckPassed)
	completion, err := g.run(ctx)
	if err == nil {
		g.chart.Fire(EventCompleted)
		d.Budget.Success(job.Service)
		return completion, nil
	}
	return Completion{}, g.fail(err)
}

// fail makes the final fault of the request.
func (g *generation) fail(err error) *fault.Fault {
	ran := g.ledger.Ran()
	if errors.Is(err, errCallerGone) {
		g.chart.Fire(EventCallerGone)
		return fault.Wrap(err, fault.StreamBroken, "the caller left before the end of the answer").WithRan(ran)
	}
	if g.emitted.Len() > 0 {
		err = fault.Wrap(err, fault.StreamBroken, "the answer broke off and no way to go on was found")
	}
	final := g.dispatcher.withRetryAfter(err).WithRan(ran)
	if ran == fault.RanYes && g.started {
		g.chart.Fire(EventGaveUp)
	} else {
		g.chart.Fire(finalEvent(final))
	}
	return final
}

func (g *generation) run(ctx context.Context) (Completion, error) {
	for {
		placement, err := g.place(ctx)
		if err != nil {
			return Completion{}, err
		}
		if g.attempts == 0 {
			g.chart.Fire(EventAdmitted)
		}
		g.attempts++
		completion, err := g.attempt(ctx, placement)
		if err == nil || errors.Is(err, errCallerGone) {
			return completion, err
		}
		if err := g.prepareRetry(placement, err); err != nil {
			return Completion{}, err
		}
	}
}

// place chooses the engine for the next attempt, if the request may be sent.
func (g *generation) place(ctx context.Context) (Placement, error) {
	if err := g.quarantined(ctx); err != nil {
		return Placement{}, err
	}
	placement, err := g.dispatcher.Placer.Place(ctx, &g.job)
	if err != nil && ctx.Err() != nil {
		err = errors.Wrap(errCallerGone, "while waiting for an engine")
	}
	if err != nil {
		return Placement{}, err
	}
	if err := g.quarantined(ctx); err != nil {
		if placement.Release != nil {
			placement.Release(Result{Outcome: OutcomeAbandoned})
		}
		return Placement{}, err
	}
	return placement, nil
}

// prepareRetry readies the job for one more attempt, or returns the fault that
// ends the request.
func (g *generation) prepareRetry(placement Placement, cause error) error {
	if g.attempts >= g.dispatcher.config.MaxAttempts {
		return cause
	}
	if misunderstood(cause) {
		return asBadRequest(cause)
	}
	if g.tokens > 0 && g.tokens >= g.job.MaxTokens {
		// Only the end is missing, and nobody can prove it any more.
		return cause
	}
	relearned := g.exclude(placement, refusalOf(cause))
	// The budget bounds the load that retries add. Going on with an answer adds
	// less than the repeat that the caller would be told to make, and a refusal
	// that names a new life cost its engine nothing.
	if !g.started && !relearned && !g.dispatcher.Budget.Allow(g.job.Service) {
		g.dispatcher.Counters.BudgetRefused.Add(1)
		return cause
	}
	g.dispatcher.Counters.Retries.Add(1)
	if !g.started {
		return nil
	}
	if hold := time.Now().Add(g.dispatcher.config.ContinueHold); hold.After(g.job.PlacementDeadline) {
		g.job.PlacementDeadline = hold
	}
	if g.emitted.Len() == 0 {
		g.dispatcher.Counters.Regenerated.Add(1)
		return nil
	}
	g.dispatcher.Counters.Continued.Add(1)
	g.job.Continued = g.emitted.String()
	g.job.Versions = []ident.ModelVersion{placement.Version}
	return nil
}

// exclude bars the engine for the rest of the request, unless it just told
// that it lives a new life: then it may be tried once more, and exclude
// returns true.
func (g *generation) exclude(placement Placement, refusal *protocol.Refusal) (relearned bool) {
	newLife := refusal != nil && refusal.Incarnation != "" && refusal.Incarnation != placement.Incarnation
	if newLife && !g.relearned[placement.Engine] {
		g.relearned[placement.Engine] = true
		return true
	}
	g.job.Excluded[placement.Engine] = true
	return false
}

// attempt runs one attempt to its end and releases the placement.
func (g *generation) attempt(ctx context.Context, placement Placement) (Completion, error) {
	run := &attempt{
		generation: g,
		placement:  placement,
		number:     ident.Attempt(g.attempts),
		sentAt:     time.Now(),
		sequencer:  NewSequencer(g.job.ID, ident.Attempt(g.attempts), placement.Incarnation),
	}
	run.result.Outcome = OutcomeBroken
	if placement.Release != nil {
		defer func() {
			run.result.Duration = time.Since(run.sentAt)
			placement.Release(run.result)
		}()
	}
	defer func() { run.judged(time.Now()) }()
	return run.run(ctx)
}

// attempt is one attempt of a generation.
type attempt struct {
	generation *generation
	placement  Placement
	number     ident.Attempt
	sentAt     time.Time
	sequencer  *Sequencer
	result     Result
}

func (a *attempt) run(ctx context.Context) (Completion, error) {
	g := a.generation
	g.ledger.Left()
	g.chart.Fire(EventAttemptSent)
	g.dispatcher.Counters.Attempts.Add(1)
	stream, err := g.dispatcher.open(ctx, g.dispatcher.config.StartTimeout, func(ctx context.Context) (engine.EventStream, error) {
		return g.dispatcher.Engines.Generate(ctx, a.placement.Address, a.request())
	})
	if err != nil {
		return Completion{}, a.notStarted(ctx, err)
	}
	reader := &flow{
		dispatcher:   g.dispatcher,
		address:      a.placement.Address,
		sequencer:    a.sequencer,
		firstTimeout: g.job.FirstTokenTimeout,
		accept:       a.accept,
		broken:       a.onBroken,
	}
	end, err := reader.run(ctx, stream)
	a.result.Incarnation = a.sequencer.Incarnation()
	if err != nil {
		a.giveUp(err)
		return Completion{}, err
	}
	a.result.Outcome = OutcomeAnswered
	a.result.Usage = end.Usage
	usage := g.usage
	usage.CompletionTokens = g.tokens
	return Completion{FinishReason: end.FinishReason, Usage: usage, Version: a.placement.Version}, nil
}

func (a *attempt) request() protocol.GenerateRequest {
	job := &a.generation.job
	return protocol.GenerateRequest{
		RequestID:           job.ID,
		Attempt:             a.number,
		ExpectedIncarnation: a.placement.Incarnation,
		Tenant:              job.Tenant,
		Model:               a.placement.Model,
		Version:             a.placement.Version,
		Adapter:             a.placement.Adapter,
		Salt:                a.placement.Salt,
		Priority:            job.Priority,
		Prompt:              job.Prompt,
		Continued:           job.Continued,
		MaxTokens:           job.MaxTokens - a.generation.tokens,
	}
}

// notStarted settles an attempt whose generate call failed.
func (a *attempt) notStarted(ctx context.Context, err error) error {
	g := a.generation
	failure := fault.From(err)
	g.ledger.Settle(failure.Ran)
	if refusal := refusalOf(err); refusal != nil {
		a.result.Outcome = OutcomeRefused
		a.result.Refusal = refusal.Kind
		a.result.Incarnation = refusal.Incarnation
	} else if failure.Ran == fault.RanNo {
		a.result.Outcome = OutcomeUnreachable
	}
	if failure.Ran == fault.RanNo {
		g.chart.Fire(EventAttemptRefused)
	} else {
		g.chart.Fire(EventAttemptLost)
	}
	if ctx.Err() != nil {
		a.result.Outcome = OutcomeAbandoned
		return errors.Wrap(errCallerGone, "while an engine was asked")
	}
	return failure
}

// accept takes one accepted event.
func (a *attempt) accept(event *protocol.StreamEvent) error {
	g := a.generation
	a.onStarted()
	if event.Usage != nil && event.Kind == protocol.EventStart && g.usage.PromptTokens == 0 {
		g.usage = *event.Usage
	}
	text := ""
	switch event.Kind {
	case protocol.EventStart:
		a.result.Usage = event.Usage
		a.reportStart(event)
		if g.emitted.Len() > 0 {
			return nil
		}
	case protocol.EventChunk:
		if a.result.TimeToFirstToken == 0 {
			a.result.TimeToFirstToken = time.Since(a.sentAt)
			a.reportFirstToken()
		}
		text = event.Text
		g.emitted.WriteString(text)
		g.tokens += event.Tokens
	default:
		return nil
	}
	return g.sink.Chunk(Chunk{Text: text, Position: a.position()})
}

// reportStart hands the engine's own count to whoever placed the attempt.
func (a *attempt) reportStart(event *protocol.StreamEvent) {
	if a.placement.Started != nil && event.Usage != nil {
		a.placement.Started(event.Incarnation, *event.Usage)
	}
}

// reportFirstToken tells whoever placed the attempt that its prefill is done.
func (a *attempt) reportFirstToken() {
	if a.placement.FirstToken != nil {
		a.placement.FirstToken()
	}
}

// onStarted records that the engine executes the request.
func (a *attempt) onStarted() {
	g := a.generation
	g.ledger.Executed()
	if !g.started {
		g.started = true
		g.chart.Fire(EventStreamStarted)
	} else if g.broken {
		g.chart.Fire(EventStreamResumed)
	}
	g.broken = false
}

func (a *attempt) onBroken() {
	g := a.generation
	if g.started && !g.broken {
		g.broken = true
		g.chart.Fire(EventStreamBroken)
	}
}

func (a *attempt) position() Position {
	g := a.generation
	return Position{
		Request:       g.job.ID,
		Attempt:       a.number,
		Engine:        a.placement.Engine,
		Incarnation:   a.sequencer.Incarnation(),
		Stream:        a.sequencer.Stream(),
		Version:       a.placement.Version,
		Next:          a.sequencer.Next(),
		EmittedBytes:  g.emitted.Len(),
		EmittedTokens: g.tokens,
		PromptTokens:  g.usage.PromptTokens,
		CachedTokens:  g.usage.CachedTokens,
	}
}

// giveUp settles an attempt that will not be read further and cancels its
// generation. If the caller left and can resume, it runs on for a grace.
func (a *attempt) giveUp(err error) {
	grace := time.Duration(0)
	if errors.Is(err, errCallerGone) {
		a.result.Outcome = OutcomeAbandoned
		if a.generation.job.Resumable {
			grace = a.generation.dispatcher.config.ResumeGrace
		}
	} else if !a.generation.started {
		a.generation.chart.Fire(EventAttemptLost)
	}
	if refusal := refusalOf(err); refusal != nil && refusal.Incarnation != "" {
		a.result.Incarnation = refusal.Incarnation
	}
	a.generation.dispatcher.abandon(a.placement.Address, a.sequencer.Stream(), grace)
}
