package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/memory"
)

// maxBufferedBytes is the largest answer that is buffered whole before it is passed on.
const maxBufferedBytes = 256 << 10

// copyBytes is the size of a read of an answer that is passed on as it arrives.
const copyBytes = 16 << 10

// copyBuffers keeps the buffers of such answers.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// errUnframedEmpty is an answer that ended with its connection before its first byte.
var errUnframedEmpty = errors.New("the connection ended before the body began")

// bufferedReply is a complete answer of a back end. Its owner frees held, which has its body.
type bufferedReply struct {
	status int
	header http.Header
	held   memory.Buffer
}

// attempt is one attempt of a request at a back end.
type attempt struct {
	*run
	choice         backend.Choice
	backendAttempt *backend.Attempt
	ctx            context.Context
	cancel         context.CancelCauseFunc
	// idleTimer ends the attempt if no byte of the answer arrives in time; nil means
	// that only the deadline does.
	idleTimer *time.Timer
	// busyDeadline is until when the first byte of a busy back end is awaited.
	busyDeadline time.Time
	// sentAt is when the request was sent, firstByteAt when the first byte of the answer
	// arrived, zero until then.
	sentAt, firstByteAt time.Time
	// progressAt is when progress was last reported to the quarantine, at first firstByteAt.
	progressAt time.Time
	// through is the router that relayed the attempt, carrier its connection; both are zero values
	// before its answer.
	through netip.AddrPort
	carrier exchange.Carrier
	// status is that of the answer, 0 before its head arrived.
	status int
	// unframed is whether the answer ends with its connection.
	unframed bool
	// invalid is true if the answer may not be passed on.
	invalid bool
	// continues is whether the attempt continues a stream that began before it.
	continues bool
	// releaseRun identifies the attempt to Releases.
	releaseRun canary.Run
}

// attempt sends the request to the chosen back end. It returns true if the final
// answer was passed on, else the failure.
func (r *run) attempt(ctx context.Context, choice backend.Choice, backendAttempt *backend.Attempt) (done bool, failed *failure) {
	outgoing := r.newAttempt(&choice)
	outgoing.Withdrawn = func() bool { return backendAttempt.MustWithdraw(clock.Sync()) }
	attemptContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	current := &attempt{run: r, choice: choice, backendAttempt: backendAttempt, ctx: attemptContext, cancel: cancel, sentAt: clock.Now(), continues: r.bound}
	current.countForRelease()
	r.recordStep(StepSent, func(step *Step) { step.Choice = choice })
	if timeout := r.firstByteTimeout(&choice); timeout > 0 {
		current.busyDeadline = clock.Now().Add(busyFactor * timeout)
		current.idleTimer = time.AfterFunc(time.Hour, current.onIdle)
		current.idleTimer.Reset(timeout)
		defer current.idleTimer.Stop()
	}
	reply, err := r.forwarder.Caller.Send(attemptContext, outgoing)
	if err != nil {
		ran, outcome := classifySendError(err)
		return false, current.conclude(&failure{
			ran: ran, outcome: outcome, cause: err, notSent: notSent(err), connectionLimit: errors.Is(err, exchange.ErrConnectionLimit),
		})
	}
	failed = current.receive(reply)
	return failed == nil, current.conclude(failed)
}

// onIdle cancels the attempt for a retry if the budget grants one; otherwise the
// answer is awaited until the request's deadline.
func (a *attempt) onIdle() {
	now := clock.Now()
	if now.Before(a.busyDeadline) && a.backendAttempt.PeerBusy(now) {
		a.idleTimer.Reset(busyPollInterval)
		return
	}
	if !a.unnumbered.Load() && a.forwarder.allowRetry(a.request, a.service) {
		a.cancel(errBackendSilent)
	}
}

// conclude records the end of the attempt in the run, the registry, Releases and
// the quarantine.
func (a *attempt) conclude(failed *failure) *failure {
	outcome := backend.Answered
	if failed != nil {
		if failed.outcome == backend.Broken {
			failed.outcome = a.interruptionOutcome(failed.outcome)
		}
		outcome = failed.outcome
		// A back end with newer weights can serve under them, one without a free connection once it has
		// one.
		if !failed.newVersion && !failed.connectionLimit {
			a.excluded = append(a.excluded, a.choice.Instance)
		}
		if failed.ran != fault.RanNo {
			a.executions++
		}
		if failed.ran == fault.RanUnknown {
			a.executionUnknown = true
		}
	}
	a.backendAttempt.End(clock.Now(), outcome)
	a.reportSample(outcome)
	a.reportToQuarantine(clock.Now(), outcome)
	a.recordStep(StepAttemptEnded, func(step *Step) {
		step.Choice, step.Outcome, step.Through = a.choice, outcome, a.through
		step.Carrier, step.Unframed = a.carrier, a.unframed
		if outcome == backend.Broken {
			step.Fingerprint = a.subject().Fingerprint()
			step.SharedParts = a.request.Prompt.shared()
			if a.tenant != nil {
				step.Tenant = a.tenant.Name
			}
		}
		if failed != nil {
			step.Cause = failed.cause
		}
	})
	return failed
}

// interruptionOutcome returns the outcome of a broken exchange by the cause of its cancellation.
func (a *attempt) interruptionOutcome(outcome backend.Outcome) backend.Outcome {
	switch cause := context.Cause(a.ctx); {
	case cause == nil:
		return outcome
	case errors.Is(cause, errBackendSilent):
		return backend.Silent
	default:
		return backend.Abandoned
	}
}

const (
	// firstByteTenths is the wait for the first byte of an answer, in tenths of the
	// route's target. It is longer for streams: cancelling one discards the engine's
	// work on a long prompt.
	firstByteTenths       = 7
	streamFirstByteTenths = 15
	// busyFactor multiplies the wait for a back end that is known to be busy: a retry
	// would add another prefill of the prompt while engines are loaded.
	busyFactor = 2
	// busyPollInterval is the time between checks whether a back end is still busy.
	busyPollInterval = 100 * time.Millisecond
	// predictionFactor multiplies the predicted wait, and a stream's usual lateness,
	// in the first-byte timeout.
	predictionFactor = 3
)

// firstByteTimeout returns how long the first byte of an answer is awaited before the
// request is sent elsewhere; 0 means until the request's deadline.
func (r *run) firstByteTimeout(choice *backend.Choice) time.Duration {
	// Besides a release on trial there are back ends that were not compared.
	alone := choice.Candidates < 2 && choice.Releases.MaxBackends == 0
	if !r.route.Retryable() || r.executions+1 >= r.route.MaxAttempts || alone {
		return 0
	}
	if r.route.Kind == catalog.Streaming {
		return r.route.Target*streamFirstByteTenths/10 + predictionFactor*(choice.Predicted+choice.Lateness)
	}
	return max(r.route.Target*firstByteTenths/10, predictionFactor*choice.Predicted)
}

// receive reads the answer of a back end. It returns nil if it was passed on as the
// final answer.
func (a *attempt) receive(reply *Reply) *failure {
	defer func() { _ = reply.Body.Close() }()
	if a.idleTimer != nil && a.route.Kind != catalog.Streaming {
		a.idleTimer.Stop()
	}
	a.status, a.through, a.unframed, a.carrier = reply.Status, reply.Through, reply.Unframed, reply.Carrier
	a.backendAttempt.ObserveConnect(reply.ConnectTime)
	if reply.Version > 0 && a.request.Prompt != nil {
		a.forwarder.Backends.ObserveVersion(a.choice.Instance, a.request.Prompt.Model, reply.Version)
	}
	a.applyAdvertised(reply)
	switch reply.Execution {
	case NotExecuted:
		a.observeNoRoom()
		return a.refused(reply, backend.Refused)
	case OtherInstance:
		return a.refused(reply, backend.Misdirected)
	case OtherVersion:
		return a.refused(reply, backend.WrongVersion)
	case InvalidAnswer:
		a.invalid = true
		return &failure{ran: fault.RanUnknown, outcome: backend.Broken, cause: errors.Errorf("invalid answer with status %d", reply.Status)}
	}
	if a.route.Kind == catalog.Streaming && reply.Status == http.StatusOK {
		return a.stream(reply)
	}
	return a.buffer(reply)
}

const (
	// maxDiscardedBytes and discardTimeout bound what is read of the body of a refusal. Beyond them it is
	// cheaper to open another connection.
	maxDiscardedBytes = 16 << 10
	discardTimeout    = 20 * time.Millisecond
)

// errRefusalNotWhole ends the connection of a refusal whose body is long or late.
var errRefusalNotWhole = errors.New("the body of a refusal is too long or too late")

// refused discards the body of a refusal, so that the connection can be reused by other requests.
func (a *attempt) refused(reply *Reply, outcome backend.Outcome) *failure {
	a.refusedOn = append(a.refusedOn, reply.Carrier.Connection)
	if reply.Length != 0 {
		late := time.AfterFunc(discardTimeout, func() { a.cancel(errRefusalNotWhole) })
		defer late.Stop()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxDiscardedBytes))
	return &failure{
		ran: fault.RanNo, outcome: outcome, newVersion: outcome == backend.WrongVersion && a.assumeNewestVersion(),
		cause: errors.Errorf("refused with status %d", reply.Status),
	}
}

// assumeNewestVersion assumes that a back end that refused because of its version has
// the newest published one, since the instance list lags behind. It reports whether
// that is newer than the attempt's. Attempts carry their version, so that a wrong
// guess only costs one more refusal.
func (a *attempt) assumeNewestVersion() bool {
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

// buffer reads an answer whole before passing it on, so that one that breaks off
// can be replaced by another attempt's.
func (a *attempt) buffer(reply *Reply) *failure {
	if a.headSent {
		return &failure{ran: fault.RanYes, outcome: backend.Failed, cause: errors.Errorf("the continued stream was answered with status %d", reply.Status)}
	}
	buffered := &bufferedReply{status: reply.Status, header: reply.Header, held: a.forwarder.held.NewBuffer()}
	failed := a.sendWhole(reply, buffered)
	if failed == nil || failed.reply == nil {
		buffered.held.Free()
	}
	return failed
}

// sendWhole reads an answer, and passes it on once it is whole or too long to be held.
func (a *attempt) sendWhole(reply *Reply, buffered *bufferedReply) *failure {
	held := &buffered.held
	whole, err := held.Fill(reply.Body, maxBufferedBytes)
	if err != nil {
		return &failure{ran: fault.RanUnknown, outcome: backend.Broken, cause: err}
	}
	if reply.Unframed && len(held.Data) == 0 && reply.Status < http.StatusMultipleChoices {
		return &failure{ran: fault.RanUnknown, outcome: backend.Broken, cause: errUnframedEmpty}
	}
	a.recordReceived()
	if !whole {
		return a.sendUnbuffered(reply, held)
	}
	if reply.Status >= http.StatusInternalServerError {
		return &failure{ran: fault.RanYes, outcome: backend.Failed, cause: errors.Errorf("answered with status %d", reply.Status), reply: buffered}
	}
	a.sendBuffered(buffered)
	return nil
}

// sendBuffered sends a buffered answer to the client.
func (r *run) sendBuffered(reply *bufferedReply) {
	r.headSent = true
	r.sink.Head(reply.status, reply.header, int64(len(reply.held.Data)))
	err := r.sink.Write(reply.held.Data)
	r.recordStep(StepAnswered, func(step *Step) { step.Status, step.Cause = reply.status, err })
}

// sendUnbuffered passes on an answer that is too long to be buffered, whose beginning is held.
func (a *attempt) sendUnbuffered(reply *Reply, held *memory.Buffer) *failure {
	a.headSent = true
	a.sink.Head(reply.Status, reply.Header, reply.Length)
	if err := a.sink.Write(held.Data); err != nil {
		return &failure{ran: fault.RanYes, outcome: backend.Abandoned, cause: err}
	}
	held.Free()
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		count, err := reply.Body.Read(buffer[:])
		if count > 0 {
			if failed := a.sink.Write(buffer[:count]); failed != nil {
				return &failure{ran: fault.RanYes, outcome: backend.Abandoned, cause: failed}
			}
		}
		if err == io.EOF {
			a.recordStep(StepAnswered, func(step *Step) { step.Status = reply.Status })
			return nil
		}
		if err != nil {
			return &failure{ran: fault.RanYes, outcome: backend.Broken, cause: err}
		}
	}
}

// notSent reports whether a failed exchange ended before any byte of the request was sent.
func notSent(err error) bool {
	var failed *exchange.Error
	return errors.As(err, &failed) && !failed.Sent
}

// classifySendError returns what a failed exchange proves.
func classifySendError(err error) (ran fault.Ran, outcome backend.Outcome) {
	switch {
	case !notSent(err):
		return fault.RanUnknown, backend.Broken
	case errors.Is(err, exchange.ErrConnectionLimit), errors.Is(err, exchange.ErrWithdrawn):
		return fault.RanNo, backend.Withdrawn
	default:
		return fault.RanNo, backend.Unreachable
	}
}
