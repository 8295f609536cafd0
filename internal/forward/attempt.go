package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/fault"
)

// maxBufferedBytes is the largest answer that is read whole before any of it
// is passed on.
const maxBufferedBytes = 256 << 10

// bufferedReply is an answer of a back end, read whole.
type bufferedReply struct {
	status int
	header http.Header
	body   []byte
}

// attempt is one sending of a request.
type attempt struct {
	*run
	choice backend.Choice
	flight *backend.Attempt
	ctx    context.Context
	cancel context.CancelCauseFunc
	// patience ends the attempt if no byte of the answer comes in time.
	patience *time.Timer
	// heldUntil ends the patience with a back end that is known to be busy.
	heldUntil time.Time
	// sentAt is when the request was sent, heardAt when the first byte of the answer was
	// there; it is zero before.
	sentAt, heardAt time.Time
	// status is that of the answer, 0 before its head came.
	status int
	// unsound says that the back end gave an answer that may not be passed on.
	unsound bool
	// counted is the attempt as the guard of releases counts it.
	counted canary.Run
}

// attempt sends the request to the chosen back end. It returns true if the
// final answer was given, else what the attempt came to.
func (r *run) attempt(ctx context.Context, choice backend.Choice, flight *backend.Attempt) (done bool, failed *failure) {
	described := r.describe(&choice)
	described.Withdrawn = func() bool { return flight.MustWithdraw(clock.Sync()) }
	attemptContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	current := &attempt{run: r, choice: choice, flight: flight, ctx: attemptContext, cancel: cancel, sentAt: clock.Now()}
	current.count()
	r.note(StepSent, func(step *Step) { step.Choice = choice })
	if patience := r.patience(&choice); patience > 0 {
		current.heldUntil = clock.Now().Add(busyFactor * patience)
		current.patience = time.AfterFunc(time.Hour, current.impatient)
		current.patience.Reset(patience)
		defer current.patience.Stop()
	}
	reply, err := r.forwarder.Caller.Send(attemptContext, described)
	if err != nil {
		ran, outcome := sentFailure(err)
		return false, current.ended(&failure{ran: ran, outcome: outcome, cause: err, unsent: unsent(err)})
	}
	failed = current.take(reply)
	return failed == nil, current.ended(failed)
}

// impatient gives the attempt up for another one, if there is a repeat left in
// the budget; else the answer is awaited to the end of the request's time.
func (a *attempt) impatient() {
	now := clock.Now()
	if now.Before(a.heldUntil) && a.flight.PeerBusy(now) {
		a.patience.Reset(busyPoll)
		return
	}
	if a.forwarder.allowRepeat(a.request, a.service) {
		a.cancel(errSilent)
	}
}

// ended settles the attempt with the registry and the run.
func (a *attempt) ended(failed *failure) *failure {
	outcome := backend.Answered
	if failed != nil {
		if failed.outcome == backend.Broken {
			failed.outcome = a.interrupted(failed.outcome)
		}
		outcome = failed.outcome
		// A back end with newer weights can serve under them.
		if !failed.newVersion {
			a.excluded = append(a.excluded, a.choice.Instance)
		}
		if failed.ran != fault.RanNo {
			a.ran++
		}
		if failed.ran == fault.RanUnknown {
			a.unproven = true
		}
	}
	a.flight.End(clock.Now(), outcome)
	a.settle(outcome)
	a.judged(clock.Now(), outcome)
	a.note(StepAttemptEnded, func(step *Step) {
		step.Choice, step.Outcome = a.choice, outcome
		if outcome == backend.Broken {
			step.Fingerprint = a.subject().Fingerprint()
		}
		if failed != nil {
			step.Cause = failed.cause
		}
	})
	return failed
}

// interrupted tells apart why an exchange broke off.
func (a *attempt) interrupted(outcome backend.Outcome) backend.Outcome {
	switch cause := context.Cause(a.ctx); {
	case cause == nil:
		return outcome
	case errors.Is(cause, errSilent):
		return backend.Silent
	default:
		return backend.Abandoned
	}
}

const (
	// patientTenths of the target, in tenths, are waited for the first byte of
	// an answer before another back end is tried. Streams are awaited longer:
	// to give one up throws away what its engine has read of a long prompt.
	patientTenths       = 7
	streamPatientTenths = 15
	// busyFactor times the patience is waited for a back end that is known to be busy:
	// another attempt would have all of the prompt read once more when engines have
	// least time for it.
	busyFactor = 2
	// busyPoll is the time between two looks whether a back end is still busy.
	busyPoll = 100 * time.Millisecond
	// patientFactor times the predicted wait, and the usual lateness of the back
	// end, is waited besides.
	patientFactor = 3
)

// patience returns how long the first byte of an answer is awaited before the
// request is sent elsewhere; 0 means until its time is over.
func (r *run) patience(choice *backend.Choice) time.Duration {
	// A release on trial has other back ends beside it that were not compared.
	alone := choice.Candidates < 2 && choice.Releases.MaxBackends == 0
	if !r.route.Repeatable() || r.ran+1 >= r.route.MaxAttempts || alone {
		return 0
	}
	if r.route.Kind == catalog.Streaming {
		return r.route.Target*streamPatientTenths/10 + patientFactor*(choice.Predicted+choice.Lateness)
	}
	return max(r.route.Target*patientTenths/10, patientFactor*choice.Predicted)
}

// take reads the answer of a back end. It returns nil if the final answer was
// passed on to the client.
func (a *attempt) take(reply *Reply) *failure {
	defer func() { _ = reply.Body.Close() }()
	if a.patience != nil && a.route.Kind != catalog.Streaming {
		a.patience.Stop()
	}
	a.status = reply.Status
	a.flight.ObserveConnect(reply.ConnectTime)
	if reply.Version > 0 && a.request.Prompt != nil {
		a.forwarder.Backends.ObserveVersion(a.choice.Instance, a.request.Prompt.Model, reply.Version)
	}
	a.takeSaid(reply)
	switch reply.Execution {
	case NotExecuted:
		return a.refused(reply, backend.Refused)
	case OtherInstance:
		return a.refused(reply, backend.Misdirected)
	case OtherVersion:
		return a.refused(reply, backend.WrongVersion)
	case InvalidAnswer:
		a.unsound = true
		return &failure{ran: fault.RanUnknown, outcome: backend.Broken, cause: errors.Errorf("unsound answer with status %d", reply.Status)}
	}
	if a.route.Kind == catalog.Streaming && reply.Status == http.StatusOK {
		return a.stream(reply)
	}
	return a.whole(reply)
}

// refused reads past the body of a refusal, so that the connection is kept.
func (a *attempt) refused(reply *Reply, outcome backend.Outcome) *failure {
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxBufferedBytes))
	return &failure{
		ran: fault.RanNo, outcome: outcome, newVersion: outcome == backend.WrongVersion && a.assumeNewest(),
		cause: errors.Errorf("refused with status %d", reply.Status),
	}
}

// assumeNewest takes a back end that refused because of its version to have
// the newest one that was named: the list tells versions late. It reports
// whether that is newer than what was believed. An attempt names the version it
// is meant for, so that a wrong guess costs one more refusal.
func (a *attempt) assumeNewest() bool {
	if a.request.Prompt == nil {
		return false
	}
	model := a.request.Prompt.Model
	newest := a.forwarder.Holder.View().Models[model].Version
	if newest <= a.choice.Version {
		return false
	}
	a.forwarder.Backends.AssumeVersion(clock.Now(), a.choice.Instance, model, newest)
	return true
}

// whole reads a whole answer before any of it is passed on, so that an answer
// that breaks off can be replaced by another attempt's.
func (a *attempt) whole(reply *Reply) *failure {
	if a.begun {
		return &failure{ran: fault.RanYes, outcome: backend.Failed, cause: errors.Errorf("the continued stream was answered with status %d", reply.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes+1))
	if err != nil {
		return &failure{ran: fault.RanUnknown, outcome: backend.Broken, cause: err}
	}
	a.heard()
	buffered := &bufferedReply{status: reply.Status, header: reply.Header, body: body}
	if len(body) > maxBufferedBytes {
		return a.long(reply, buffered)
	}
	if reply.Status >= http.StatusInternalServerError {
		return &failure{ran: fault.RanYes, outcome: backend.Failed, cause: errors.Errorf("answered with status %d", reply.Status), reply: buffered}
	}
	a.pass(buffered)
	return nil
}

// pass gives the client an answer that was read whole.
func (r *run) pass(reply *bufferedReply) {
	r.begun = true
	r.sink.Head(reply.status, reply.header, int64(len(reply.body)))
	err := r.sink.Write(reply.body)
	r.note(StepAnswered, func(step *Step) { step.Status, step.Cause = reply.status, err })
}

// long passes on an answer that is too long to be read whole first.
func (a *attempt) long(reply *Reply, begin *bufferedReply) *failure {
	a.begun = true
	a.sink.Head(reply.Status, reply.Header, reply.Length)
	if err := a.sink.Write(begin.body); err != nil {
		return &failure{ran: fault.RanYes, outcome: backend.Abandoned, cause: err}
	}
	buffer := make([]byte, 32<<10)
	for {
		count, err := reply.Body.Read(buffer)
		if count > 0 {
			if failed := a.sink.Write(buffer[:count]); failed != nil {
				return &failure{ran: fault.RanYes, outcome: backend.Abandoned, cause: failed}
			}
		}
		if err == io.EOF {
			a.note(StepAnswered, func(step *Step) { step.Status = reply.Status })
			return nil
		}
		if err != nil {
			return &failure{ran: fault.RanYes, outcome: backend.Broken, cause: err}
		}
	}
}

// unsent reports whether a failed exchange ended before a byte of the request left.
func unsent(err error) bool {
	var failed *exchange.Error
	return errors.As(err, &failed) && !failed.Sent
}

// sentFailure reads what a failed exchange proves.
func sentFailure(err error) (ran fault.Ran, outcome backend.Outcome) {
	switch {
	case !unsent(err):
		return fault.RanUnknown, backend.Broken
	case errors.Is(err, exchange.ErrConnectionLimit):
		return fault.RanNo, backend.Refused
	case errors.Is(err, exchange.ErrWithdrawn):
		return fault.RanNo, backend.Withdrawn
	default:
		return fault.RanNo, backend.Unreachable
	}
}
