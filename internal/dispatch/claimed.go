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

// settleTries bounds the tries to record the outcome of a claim.
const settleTries = 4

// DigestOf returns the digest of a request under an idempotency key: fields
// are length-prefixed, so two different requests never hash the same bytes.
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

// runClaimed runs a request that may not be repeated, or attaches to the run
// that goes on, or to the answer that is known, under the same key. The run
// goes on when the caller leaves, since its outcome must be recorded.
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
		return Answer{}, fault.New(fault.AlreadyClaimed, "the request goes on under its key, its caller left").
			WithRan(fault.RanUnknown).WithRetryAfter(d.config.RetryAfter)
	}
	if run.failure != nil {
		return Answer{}, run.failure
	}
	answer := run.answer
	if !job.Zones[answer.Zone] {
		return Answer{}, fault.New(fault.AlreadyClaimed, "the request ran, and its answer is in a place the tenant may no longer use").WithRan(fault.RanYes)
	}
	answer.Replayed = answer.Replayed || !first
	return answer, nil
}

// claimAndRun claims the key, runs the request at most once, gives the answer
// to everyone who waits, and then records the outcome.
func (d *Dispatcher) claimAndRun(ctx context.Context, key claim.Key, run *claimedRun, job *ApplicationJob) {
	application := d.newApplicationRun(job)
	// Admission to the claim; the queue for an application comes after it, so
	// that a repeat learns what became of the first sending however full it is.
	application.chart.Fire(EventAdmitted)
	runContext, stop := context.WithTimeout(ctx, d.runTimeout(job))
	defer stop()
	grant, err := d.Claimer.Claim(runContext, key, run.digest)
	if err != nil {
		application.chart.Fire(EventClaimFailed)
		d.runs.forget(key, run)
		d.runs.publish(run, Answer{}, d.withRetryAfter(err))
		return
	}
	if !grant.Acquired {
		application.chart.Fire(EventClaimLost)
		answer, failure := d.answerOf(ctx, job, grant.Record)
		if failure == nil {
			application.chart.Fire(EventCompleted)
		} else {
			application.chart.Fire(finalEvent(failure))
		}
		d.runs.publish(run, answer, failure)
		d.runs.settle(key, run)
		return
	}
	application.chart.Fire(EventClaimWon)
	answer, failure := application.run(runContext)
	if failure != nil {
		// It is true of those who wait, and of no later sending: recording it
		// frees the key, maybe long before this router learns that it did.
		d.runs.forget(key, run)
	}
	d.runs.publish(run, answer, failure)
	d.record(ctx, key, grant.Record.ClaimID, answer, failure)
	d.runs.settle(key, run)
}

// runTimeout bounds a claimed run, whose caller may have left.
func (d *Dispatcher) runTimeout(job *ApplicationJob) time.Duration {
	hold := max(0, time.Until(job.PlacementDeadline))
	return hold + d.config.ApplicationTimeout + d.config.SettleTimeout
}

// answerOf turns another call's claim into what its repeat is told.
func (d *Dispatcher) answerOf(ctx context.Context, job *ApplicationJob, record claim.Record) (Answer, *fault.Fault) {
	switch record.State {
	case claim.StateRan:
		return d.retained(ctx, job, record)
	case claim.StateUnknown:
		return Answer{}, fault.New(fault.OutcomeUnknown, "the application's answer to the first sending was lost").WithRan(fault.RanUnknown)
	default:
		return Answer{}, d.withRetryAfter(fault.New(fault.AlreadyClaimed, "the first sending goes on, or its router was lost").WithRan(fault.RanUnknown))
	}
}

func (d *Dispatcher) retained(ctx context.Context, job *ApplicationJob, record claim.Record) (Answer, *fault.Fault) {
	if record.AnswerKey != "" && d.Answers != nil && job.Zones[record.AnswerZone] {
		ctx, stop := context.WithTimeout(ctx, d.config.SettleTimeout)
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

// record writes the outcome of a claimed run. If it fails, the claim stays
// claimed for ever: a repeat is then told that the outcome is unknown.
func (d *Dispatcher) record(ctx context.Context, key claim.Key, claimID string, answer Answer, failure *fault.Fault) {
	ctx, stop := context.WithTimeout(ctx, d.config.SettleTimeout)
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
	for try := range settleTries {
		if d.Claimer.Finish(ctx, key, claimID, outcome) == nil {
			return
		}
		if !wait.For(ctx, d.config.RetryAfter<<try) {
			break
		}
	}
	d.Counters.Unsaved.Add(1)
}
