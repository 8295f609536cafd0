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
	// ResumeTries bounds the resumes in a row that bring no event. Default: 3.
	ResumeTries int
	// ResumePause is waited before each resume after the first. Default: 50ms.
	ResumePause time.Duration
	// ResumeStall bounds the wait for the answer to a resume call, and the one
	// for the first event after it. Default: 2s.
	ResumeStall time.Duration
	// MaxAttempts bounds the attempts of one request. Default: 6.
	MaxAttempts int
	// ContinueHold bounds the wait for an engine that continues a broken
	// answer. Default: 5s.
	ContinueHold time.Duration
	// ResumeGrace is how long a generation whose caller left runs on, so that
	// the caller can resume it. Default: 15s.
	ResumeGrace time.Duration
	// ApplicationTimeout bounds one application call. Default: 30s.
	ApplicationTimeout time.Duration
	// SettleTimeout bounds the recording of a claimed outcome. Default: 20s.
	SettleTimeout time.Duration
	// RetryAfter is told to callers when nothing better is known. Default: 1s.
	RetryAfter time.Duration
	// RetainedAnswers and RetainedBytes bound the answers kept in memory for
	// repeats under an idempotency key. Defaults: 1024 and 16 MiB.
	RetainedAnswers, RetainedBytes int
}

// The defaults of Config.
const (
	defaultStartTimeout       = 10 * time.Second
	defaultStallTimeout       = 10 * time.Second
	defaultResumeTries        = 3
	defaultResumePause        = 50 * time.Millisecond
	defaultResumeStall        = 2 * time.Second
	defaultMaxAttempts        = 6
	defaultContinueHold       = 5 * time.Second
	defaultResumeGrace        = 15 * time.Second
	defaultApplicationTimeout = 30 * time.Second
	defaultSettleTimeout      = 20 * time.Second
	defaultRetryAfter         = time.Second
	defaultRetainedAnswers    = 1024
	defaultRetainedBytes      = 16 << 20
)

func (c Config) withDefaults() Config {
	c.StartTimeout = cmp.Or(c.StartTimeout, defaultStartTimeout)
	c.StallTimeout = cmp.Or(c.StallTimeout, defaultStallTimeout)
	c.ResumeTries = cmp.Or(c.ResumeTries, defaultResumeTries)
	c.ResumePause = cmp.Or(c.ResumePause, defaultResumePause)
	c.ResumeStall = cmp.Or(c.ResumeStall, defaultResumeStall)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, defaultMaxAttempts)
	c.ContinueHold = cmp.Or(c.ContinueHold, defaultContinueHold)
	c.ResumeGrace = cmp.Or(c.ResumeGrace, defaultResumeGrace)
	c.ApplicationTimeout = cmp.Or(c.ApplicationTimeout, defaultApplicationTimeout)
	c.SettleTimeout = cmp.Or(c.SettleTimeout, defaultSettleTimeout)
	c.RetryAfter = cmp.Or(c.RetryAfter, defaultRetryAfter)
	c.RetainedAnswers = cmp.Or(c.RetainedAnswers, defaultRetainedAnswers)
	c.RetainedBytes = cmp.Or(c.RetainedBytes, defaultRetainedBytes)
	return c
}

// Dependencies are what a Dispatcher works with. All are required, except
// that Claimer, Applications, ApplicationPlacer and Answers are needed only
// for application requests, and that Quarantine may be nil.
type Dependencies struct {
	Engines           engine.Generator
	Placer            Placer
	Budget            RetryBudget
	NewChart          func(repeatable bool) Chart
	Applications      engine.ApplicationCaller
	ApplicationPlacer ApplicationPlacer
	Claimer           claim.Claimer
	Answers           AnswerStore
	// Quarantine keeps model requests from engines under which these crash.
	Quarantine Quarantine
}

// Counters counts what dispatch dropped, resumed and retried.
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

	config  Config
	mutex   sync.Mutex
	pending map[ident.Stream]*time.Timer
	runs    *runRegistry
	work    sync.WaitGroup
	closed  bool
}

// New returns a Dispatcher.
func New(config Config, dependencies Dependencies) *Dispatcher {
	config = config.withDefaults()
	return &Dispatcher{
		Dependencies: dependencies,
		config:       config,
		pending:      map[ident.Stream]*time.Timer{},
		runs:         newRunRegistry(config.RetainedAnswers, config.RetainedBytes),
	}
}

// Close drops the pending cancels, so that another router may still resume
// those streams, and waits until every claimed outcome is recorded and every
// cancel is sent.
func (d *Dispatcher) Close() {
	d.mutex.Lock()
	d.closed = true
	for stream, timer := range d.pending {
		timer.Stop()
		delete(d.pending, stream)
	}
	d.mutex.Unlock()
	d.work.Wait()
}

// withRetryAfter returns a copy of the fault that says when to come back,
// unless the request itself is at fault.
func (d *Dispatcher) withRetryAfter(err error) *fault.Fault {
	failure := *fault.From(err)
	status := failure.Kind.Status()
	passes := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == http.StatusConflict
	if passes && failure.RetryAfter == 0 {
		failure.RetryAfter = d.config.RetryAfter
	}
	return &failure
}

// abandon cancels a stream at its engine, at once or after a grace in which
// the caller may resume it.
func (d *Dispatcher) abandon(address string, stream ident.Stream, grace time.Duration) {
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
	d.pending[stream] = time.AfterFunc(grace, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if _, still := d.pending[stream]; !still {
			return
		}
		delete(d.pending, stream)
		d.startCancel(address, stream)
	})
}

// startCancel sends one cancel; the caller holds the mutex.
func (d *Dispatcher) startCancel(address string, stream ident.Stream) {
	d.Counters.Cancelled.Add(1)
	d.work.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), d.config.StartTimeout)
		defer stop()
		// A lost cancel only costs the engine the rest of a bounded generation.
		_ = d.Engines.Cancel(ctx, address, stream)
	})
}

// KeepStream drops the pending cancel of a stream, because its caller resumed
// it here or at another router.
func (d *Dispatcher) KeepStream(stream ident.Stream) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if timer, found := d.pending[stream]; found {
		timer.Stop()
		delete(d.pending, stream)
	}
}
