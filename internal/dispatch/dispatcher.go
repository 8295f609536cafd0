package dispatch

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/claim"
	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Config bounds attempts, streams and waits. Zero fields take the defaults.
type Config struct {
	// StartTimeout bounds the wait for the answer to a generate or cancel call.
	// Default: 10s.
	StartTimeout time.Duration
	// StallTimeout bounds the wait between two accepted events. Default: 10s.
	StallTimeout time.Duration
	// MaxIdleResumes bounds consecutive resumes that bring no event. Default: 3.
	MaxIdleResumes int
	// ResumeDelay is the delay before each resume after the first. Default: 50ms.
	ResumeDelay time.Duration
	// ResumeTimeout bounds the wait for the answer to a resume call, and then for
	// its first event. Default: 2s.
	ResumeTimeout time.Duration
	// MaxAttempts bounds the attempts of one request. Default: 6.
	MaxAttempts int
	// ContinueTimeout is the least time allowed for the placement of an attempt
	// that continues a broken answer. Default: 5s.
	ContinueTimeout time.Duration
	// ResumeGrace is how long a generation continues after its caller left, so
	// that the caller can resume it. Default: 15s.
	ResumeGrace time.Duration
	// ApplicationTimeout bounds one application call. Default: 30s.
	ApplicationTimeout time.Duration
	// RecordTimeout bounds the recording of a claimed outcome. Default: 20s.
	RecordTimeout time.Duration
	// RetryAfter is sent to callers if the fault has none of its own. Default: 1s.
	RetryAfter time.Duration
	// MaxRetainedAnswers and MaxRetainedBytes bound the answers kept in memory for
	// retries under an idempotency key. Defaults: 1024 and 16 MiB.
	MaxRetainedAnswers, MaxRetainedBytes int
}

// The defaults of Config.
const (
	defaultStartTimeout       = 10 * time.Second
	defaultStallTimeout       = 10 * time.Second
	defaultMaxIdleResumes     = 3
	defaultResumeDelay        = 50 * time.Millisecond
	defaultResumeTimeout      = 2 * time.Second
	defaultMaxAttempts        = 6
	defaultContinueTimeout    = 5 * time.Second
	defaultResumeGrace        = 15 * time.Second
	defaultApplicationTimeout = 30 * time.Second
	defaultRecordTimeout      = 20 * time.Second
	defaultRetryAfter         = time.Second
	defaultMaxRetainedAnswers = 1024
	defaultMaxRetainedBytes   = 16 << 20
)

func (c Config) withDefaults() Config {
	c.StartTimeout = cmp.Or(c.StartTimeout, defaultStartTimeout)
	c.StallTimeout = cmp.Or(c.StallTimeout, defaultStallTimeout)
	c.MaxIdleResumes = cmp.Or(c.MaxIdleResumes, defaultMaxIdleResumes)
	c.ResumeDelay = cmp.Or(c.ResumeDelay, defaultResumeDelay)
	c.ResumeTimeout = cmp.Or(c.ResumeTimeout, defaultResumeTimeout)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, defaultMaxAttempts)
	c.ContinueTimeout = cmp.Or(c.ContinueTimeout, defaultContinueTimeout)
	c.ResumeGrace = cmp.Or(c.ResumeGrace, defaultResumeGrace)
	c.ApplicationTimeout = cmp.Or(c.ApplicationTimeout, defaultApplicationTimeout)
	c.RecordTimeout = cmp.Or(c.RecordTimeout, defaultRecordTimeout)
	c.RetryAfter = cmp.Or(c.RetryAfter, defaultRetryAfter)
	c.MaxRetainedAnswers = cmp.Or(c.MaxRetainedAnswers, defaultMaxRetainedAnswers)
	c.MaxRetainedBytes = cmp.Or(c.MaxRetainedBytes, defaultMaxRetainedBytes)
	return c
}

// Dependencies are the collaborators of a Dispatcher. All are required, except
// that Claimer, Applications, ApplicationPlacer and Answers are needed only
// for application requests, and that Quarantine may be nil.
type Dependencies struct {
	Engines           engine.Generator
	Placer            Placer
	Budget            RetryBudget
	NewChart          func(retryable bool) Chart
	Applications      engine.ApplicationCaller
	ApplicationPlacer ApplicationPlacer
	Claimer           claim.Claimer
	Answers           AnswerStore
	Quarantine        Quarantine
}

// Counters counts dropped events, resumes, retries and retained answers.
type Counters struct {
	Misrouted, StaleAttempt, Duplicate, Gaps   atomic.Uint64
	Stalls, Resumes, Attempts, Retries         atomic.Uint64
	Continued, Regenerated, Cancelled          atomic.Uint64
	BudgetRefused, Attached, Retained, Unsaved atomic.Uint64
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	Dependencies
	// Counters may be read at any time.
	Counters Counters

	config         Config
	mutex          sync.Mutex
	pendingCancels map[ident.Stream]*time.Timer
	runs           *runRegistry
	work           sync.WaitGroup
	closed         bool
}

// New returns a Dispatcher.
func New(config Config, dependencies Dependencies) *Dispatcher {
	config = config.withDefaults()
	return &Dispatcher{
		Dependencies:   dependencies,
		config:         config,
		pendingCancels: map[ident.Stream]*time.Timer{},
		runs:           newRunRegistry(config.MaxRetainedAnswers, config.MaxRetainedBytes),
	}
}

// Close drops the pending cancels, so that another router can still resume
// those streams, and waits until every claimed outcome is recorded and every
// started cancel is sent.
func (d *Dispatcher) Close() {
	d.mutex.Lock()
	d.closed = true
	for stream, timer := range d.pendingCancels {
		timer.Stop()
		delete(d.pendingCancels, stream)
	}
	d.mutex.Unlock()
	d.work.Wait()
}

// withRetryAfter returns a copy of the fault with a Retry-After, unless the
// request itself is at fault.
func (d *Dispatcher) withRetryAfter(err error) *fault.Fault {
	failure := *fault.From(err)
	status := failure.Kind.Status()
	temporary := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == http.StatusConflict
	if temporary && failure.RetryAfter == 0 {
		failure.RetryAfter = d.config.RetryAfter
	}
	return &failure
}

// cancelStream cancels a stream at its engine, at once or after a grace period
// during which the caller may resume it.
func (d *Dispatcher) cancelStream(address string, stream ident.Stream, grace time.Duration) {
	if stream == "" {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if grace == 0 {
		d.startCancel(address, stream)
		return
	}
	if d.closed {
		return
	}
	d.pendingCancels[stream] = time.AfterFunc(grace, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if _, still := d.pendingCancels[stream]; !still {
			return
		}
		delete(d.pendingCancels, stream)
		d.startCancel(address, stream)
	})
}

// startCancel sends one cancel in the background; the caller holds the mutex.
func (d *Dispatcher) startCancel(address string, stream ident.Stream) {
	d.Counters.Cancelled.Add(1)
	d.work.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), d.config.StartTimeout)
		defer stop()
		// If the cancel is lost, the engine only finishes a bounded generation.
		_ = d.Engines.Cancel(ctx, address, stream)
	})
}

// KeepStream drops the pending cancel of a stream, because its caller resumed
// it here or at another router.
func (d *Dispatcher) KeepStream(stream ident.Stream) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if timer, found := d.pendingCancels[stream]; found {
		timer.Stop()
		delete(d.pendingCancels, stream)
	}
}
