package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// ApplicationJob is one application request that has passed its checks.
type ApplicationJob struct {
	ID       ident.Request
	Tenant   ident.Tenant
	Service  ident.Service
	Class    ident.Class
	Priority int
	// Zones is the set of places the tenant's data may be in.
	Zones map[ident.Zone]bool
	// Retryable is the route's, from the fleet file.
	Retryable bool
	// IdempotencyKey is required unless Repeatable.
	IdempotencyKey         string
	Method, Path, RawQuery string
	ContentType            string
	Body                   []byte
	Excluded               map[ident.Application]bool
	PlacementDeadline      time.Time
}

// ApplicationPlacement is the application chosen for one attempt.
type ApplicationPlacement struct {
	Application ident.Application
	Address     string
	Zone        ident.Zone
	// Release is called exactly once, when the attempt is over. It may be nil.
	Release func(Result)
}

// ApplicationPlacer admits a request and chooses an application for its next attempt.
type ApplicationPlacer interface {
	// PlaceApplication blocks until an application is chosen or the hold time
	// ran out; errors are *fault.Fault.
	PlaceApplication(ctx context.Context, job *ApplicationJob) (ApplicationPlacement, error)
}

// Answer is the whole answer of an application.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Zone is where the application that answered is.
	Zone ident.Zone `cbor:"4,keyasint"`
	// Replayed says that the answer is that of an earlier sending.
	Replayed bool `cbor:"-"`
}

// AnswerStore retains the answers of claimed requests where any router of the
// zone can read them. Errors are *fault.Fault.
type AnswerStore interface {
	// Save stores an answer in a zone and returns its key.
	Save(ctx context.Context, zone ident.Zone, claimID string, answer Answer) (string, error)
	// Load reads an answer, and whether it exists.
	Load(ctx context.Context, zone ident.Zone, key string) (Answer, bool, error)
}

// RunApplication runs one application request and returns its whole answer, or
// a *fault.Fault that says what ran.
func (d *Dispatcher) RunApplication(ctx context.Context, job *ApplicationJob) (Answer, error) {
	if job.Retryable {
		answer, err := d.newApplicationRun(job).run(ctx)
		if err != nil {
			return Answer{}, err
		}
		return answer, nil
	}
	return d.runClaimed(ctx, job)
}

// applicationRun is one application request on its way through its attempts.
type applicationRun struct {
	dispatcher *Dispatcher
	job        ApplicationJob
	chart      Chart
	ledger     RunLedger
	attempts   int
}

func (d *Dispatcher) newApplicationRun(job *ApplicationJob) *applicationRun {
	run := &applicationRun{dispatcher: d, job: *job, chart: d.NewChart(job.Retryable)}
	run.job.Excluded = map[ident.Application]bool{}
	for name := range job.Excluded {
		run.job.Excluded[name] = true
	}
	run.chart.Fire(EventCheckPassed)
	return run
}

// run makes attempts until one answers, and ends the chart.
func (r *applicationRun) run(ctx context.Context) (Answer, *fault.Fault) {
	answer, err := r.attemptAll(ctx)
	if err == nil {
		r.chart.Fire(EventCompleted)
		r.dispatcher.Budget.Success(r.job.Service)
		return answer, nil
	}
	ran := r.ledger.Ran()
	if !r.job.Retryable && ran != fault.RanNo {
		err = fault.Wrap(err, fault.OutcomeUnknown, "the application's answer was lost")
	}
	final := r.dispatcher.withRetryAfter(err).WithRan(ran)
	if ctx.Err() != nil && r.job.Retryable {
		r.chart.Fire(EventCallerGone)
	} else {
		r.chart.Fire(finalEvent(final))
	}
	return Answer{}, final
}

func (r *applicationRun) attemptAll(ctx context.Context) (Answer, error) {
	for {
		placement, err := r.dispatcher.ApplicationPlacer.PlaceApplication(ctx, &r.job)
		if err != nil {
			return Answer{}, err
		}
		if r.attempts == 0 && r.job.Retryable {
			r.chart.Fire(EventAdmitted)
		}
		r.attempts++
		answer, err := r.attempt(ctx, placement)
		if err == nil {
			return answer, nil
		}
		if misunderstood(err) {
			return Answer{}, asBadRequest(err)
		}
		if !r.mayRetry(ctx, err) {
			return Answer{}, err
		}
		r.job.Excluded[placement.Application] = true
	}
}

// mayRetry reports whether one more attempt is allowed. A request that is not
// repeatable never gets another one after an attempt whose fate is not an
// explicit refusal.
func (r *applicationRun) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || r.attempts >= r.dispatcher.config.MaxAttempts {
		return false
	}
	if !r.job.Retryable && (r.ledger.Ran() != fault.RanNo || fault.From(err).Ran != fault.RanNo) {
		return false
	}
	if !r.dispatcher.Budget.Allow(r.job.Service) {
		r.dispatcher.Counters.BudgetRefused.Add(1)
		return false
	}
	r.dispatcher.Counters.Retries.Add(1)
	return true
}

func (r *applicationRun) attempt(ctx context.Context, placement ApplicationPlacement) (Answer, error) {
	r.ledger.Left()
	r.chart.Fire(EventAttemptSent)
	r.dispatcher.Counters.Attempts.Add(1)
	sentAt := time.Now()
	callContext, stop := context.WithTimeout(ctx, r.dispatcher.config.ApplicationTimeout)
	response, err := r.dispatcher.Applications.Call(callContext, placement.Address, r.request())
	stop()
	result := resultOf(err)
	result.Duration = time.Since(sentAt)
	if err == nil {
		result.Incarnation = response.Incarnation
		result.TimeToFirstToken = result.Duration
	}
	if placement.Release != nil {
		placement.Release(result)
	}
	if err == nil {
		r.ledger.Executed()
		return Answer{
			Status:      response.Status,
			ContentType: response.Header.Get("Content-Type"),
			Body:        response.Body,
			Zone:        placement.Zone,
		}, nil
	}
	failure := fault.From(err)
	r.ledger.Settle(failure.Ran)
	if failure.Ran == fault.RanNo {
		r.chart.Fire(EventAttemptRefused)
	} else {
		r.chart.Fire(EventAttemptLost)
	}
	return Answer{}, failure
}

func (r *applicationRun) request() engine.ApplicationRequest {
	return engine.ApplicationRequest{
		RequestID:      r.job.ID,
		Attempt:        ident.Attempt(r.attempts),
		Tenant:         r.job.Tenant,
		Service:        r.job.Service,
		IdempotencyKey: r.job.IdempotencyKey,
		Method:         r.job.Method,
		Path:           r.job.Path,
		RawQuery:       r.job.RawQuery,
		ContentType:    r.job.ContentType,
		Body:           r.job.Body,
	}
}

// resultOf tells beliefs and limits how a call ended.
func resultOf(err error) Result {
	if err == nil {
		return Result{Outcome: OutcomeAnswered}
	}
	if refusal := refusalOf(err); refusal != nil {
		return Result{Outcome: OutcomeRefused, Refusal: refusal.Kind, Incarnation: refusal.Incarnation}
	}
	if fault.From(err).Ran == fault.RanNo {
		return Result{Outcome: OutcomeUnreachable}
	}
	if errors.Is(err, context.Canceled) {
		return Result{Outcome: OutcomeAbandoned}
	}
	return Result{Outcome: OutcomeBroken}
}
