package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/fieldpond/fieldpond/internal/claim"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// maxRecordAttempts bounds the attempts to record the outcome of a claim.
const maxRecordAttempts = 4

// DigestOf returns the digest of a request under an idempotency key. Fields
// are length-prefixed, so that different requests never hash the same bytes.
func DigestOf(method, path, rawQuery string, body []byte) claim.Digest {
	digest := sha256.New()
	for _, field := range [][]byte{[]byte(method), []byte(path), []byte(rawQuery), body} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(field)
	}
	return claim.Digest(hex.EncodeToString(digest.Sum(nil)))
}

// runClaimed runs a request that may run at most once, or returns the result of
// the active or finished run under the same key. The run continues after its
// caller left, since its outcome must be recorded.
func (d *Dispatcher) runClaimed(ctx context.Context, job *ApplicationJob) (Answer, error) {
	if job.IdempotencyKey == "" {
		return Answer{}, fault.New(fault.MissingIdempotencyKey, "the route is not repeatable and no key was sent")
	}
	key := claim.Key{Tenant: job.Tenant, Service: job.Service, IdempotencyKey: job.IdempotencyKey}
	digest := DigestOf(job.Method, job.Path, job.RawQuery, job.Body)
	run, first := d.runs.join(key, digest)
	if run.digest != digest {
		return Answer{}, fault.New(fault.KeyReused, "the key was used for another request")
	}
	if first {
		d.work.Go(func() { d.claimAndRun(context.WithoutCancel(ctx), key, run, job) })
	} else {
		d.Counters.Attached.Add(1)
	}
	select {
	case <-run.done:
	case <-ctx.Done():
		return Answer{}, fault.New(fault.AlreadyClaimed, "the caller left; the request continues under its idempotency key").
			WithRan(fault.RanUnknown).WithRetryAfter(d.config.RetryAfter)
	}
	if run.failure != nil {
		return Answer{}, run.failure
	}
	answer := run.answer
	if !job.Zones[answer.Zone] {
		return Answer{}, fault.New(fault.AlreadyClaimed, "the request ran, and its answer is in a zone the tenant may no longer use").WithRan(fault.RanYes)
	}
	answer.Replayed = answer.Replayed || !first
	return answer, nil
}

// claimAndRun claims the key, runs the request at most once, publishes the
// answer to all waiting callers, and then records the outcome.
func (d *Dispatcher) claimAndRun(ctx context.Context, key claim.Key, run *claimedRun, job *ApplicationJob) {
	application := d.newApplicationRun(job)
	// The request is admitted before it is queued for an application, so that a
	// retry gets the outcome of the first request however long that queue is.
	application.chart.Fire(EventAdmitted)
	runContext, stop := context.WithTimeout(ctx, d.runTimeout(job))
	defer stop()
	grant, err := d.Claimer.Claim(runContext, key, run.digest)
	if err != nil {
		application.chart.Fire(EventClaimFailed)
		d.runs.remove(key, run)
		d.runs.publish(run, Answer{}, d.withRetryAfter(err))
		return
	}
	if !grant.Acquired {
		application.chart.Fire(EventClaimLost)
		answer, failure := d.answerFromClaim(ctx, job, grant.Record)
		if failure == nil {
			application.chart.Fire(EventCompleted)
		} else {
			application.chart.Fire(finalEvent(failure))
		}
		d.runs.publish(run, answer, failure)
		d.runs.retain(key, run)
		return
	}
	application.chart.Fire(EventClaimWon)
	answer, failure := application.run(runContext)
	if failure != nil {
		// The failure is valid for waiting callers only: recording it frees the
		// key, maybe long before the record is confirmed to this router.
		d.runs.remove(key, run)
	}
	d.runs.publish(run, answer, failure)
	d.recordOutcome(ctx, key, grant.Record.ClaimID, answer, failure)
	d.runs.retain(key, run)
}

// runTimeout returns the bound of a claimed run, whose caller may have left.
func (d *Dispatcher) runTimeout(job *ApplicationJob) time.Duration {
	hold := max(0, time.Until(job.PlacementDeadline))
	return hold + d.config.ApplicationTimeout + d.config.RecordTimeout
}

// answerFromClaim returns the answer to a request whose key another one has claimed.
func (d *Dispatcher) answerFromClaim(ctx context.Context, job *ApplicationJob, record claim.Record) (Answer, *fault.Fault) {
	switch record.State {
	case claim.StateRan:
		return d.retainedAnswer(ctx, job, record)
	case claim.StateUnknown:
		return Answer{}, fault.New(fault.OutcomeUnknown, "the application's answer to the first request was lost").WithRan(fault.RanUnknown)
	default:
		return Answer{}, d.withRetryAfter(fault.New(fault.AlreadyClaimed, "the first request is still running, or its router was lost").WithRan(fault.RanUnknown))
	}
}

func (d *Dispatcher) retainedAnswer(ctx context.Context, job *ApplicationJob, record claim.Record) (Answer, *fault.Fault) {
	if record.AnswerKey != "" && d.Answers != nil && job.Zones[record.AnswerZone] {
		ctx, stop := context.WithTimeout(ctx, d.config.RecordTimeout)
		defer stop()
		answer, found, err := d.Answers.Load(ctx, record.AnswerZone, record.AnswerKey)
		if err != nil {
			failure := fault.Wrap(err, fault.AlreadyClaimed, "the request ran, but its retained answer could not be read")
			return Answer{}, d.withRetryAfter(failure.WithRan(fault.RanYes))
		}
		if found {
			answer.Replayed = true
			d.Counters.Retained.Add(1)
			return answer, nil
		}
	}
	return Answer{}, fault.New(fault.AlreadyClaimed, "the request ran with status %d, and its answer is no longer retained", record.Status).WithRan(fault.RanYes)
}

// recordOutcome writes the outcome of a claimed run. If that fails, the key stays
// claimed forever, and retries get an unknown outcome.
func (d *Dispatcher) recordOutcome(ctx context.Context, key claim.Key, claimID string, answer Answer, failure *fault.Fault) {
	ctx, stop := context.WithTimeout(ctx, d.config.RecordTimeout)
	defer stop()
	outcome := claim.Outcome{Ran: fault.RanYes, Status: answer.Status}
	if failure != nil {
		outcome = claim.Outcome{Ran: failure.Ran}
	} else if d.Answers != nil {
		if answerKey, err := d.Answers.Save(ctx, answer.Zone, claimID, answer); err == nil {
			outcome.AnswerZone, outcome.AnswerKey = answer.Zone, answerKey
		} else {
			d.Counters.Unsaved.Add(1)
		}
	}
	for try := range maxRecordAttempts {
		if d.Claimer.Finish(ctx, key, claimID, outcome) == nil {
			return
		}
		if !wait.For(ctx, d.config.RetryAfter<<try) {
			break
		}
	}
	d.Counters.Unsaved.Add(1)
}
