// Package load sends a workload to routers and checks every answer.
//
// The load is open-loop: arrivals are sent at their planned times whether or
// not earlier ones were answered, and latencies count from the planned time.
package load

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/workload"
)

// Config configures the workload, the targets, and the callers' time limits.
type Config struct {
	// Targets are the base URLs of the routers, for example http://127.0.0.1:8080.
	Targets []string
	// Spec and Seed determine the arrivals.
	Spec *workload.Spec
	Seed uint64
	// Key returns a tenant's API key. Default: "key-" plus the tenant's name.
	Key func(ident.Tenant) string
	// MaxInFlight limits the open requests; arrivals above it are counted as not
	// sent. Default: 2048.
	MaxInFlight int
	// MaxAttempts limits the attempts of one request. Default: 12.
	MaxAttempts int
	// RequestTimeout limits one request with its retries. Default: 2m.
	RequestTimeout time.Duration
	// MaxWait caps a Retry-After; MinWait is the minimum delay before a retry.
	// Defaults: 5s and 20ms.
	MaxWait, MinWait time.Duration
	// ExpectedText returns the expected answer to a prompt; nil disables this
	// check.
	ExpectedText func(prompt string, maxTokens int) string
	// ReadWaste reads the waste from the stand-ins' truth logs after the run;
	// nil omits it from the report.
	ReadWaste func(ctx context.Context) (Waste, error)
}

func (c *Config) fillDefaults() {
	if c.Key == nil {
		c.Key = func(tenant ident.Tenant) string { return "key-" + string(tenant) }
	}
	c.MaxInFlight = cmp.Or(c.MaxInFlight, 2048)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 12)
	c.RequestTimeout = cmp.Or(c.RequestTimeout, 2*time.Minute)
	c.MaxWait = cmp.Or(c.MaxWait, 5*time.Second)
	c.MinWait = cmp.Or(c.MinWait, 20*time.Millisecond)
}

// Run sends the load and returns its report once every request has ended. When
// ctx ends, it sends no more arrivals and cancels the open ones.
func Run(ctx context.Context, config Config) (*Report, error) {
	if len(config.Targets) == 0 {
		return nil, errors.New("at least one target is needed")
	}
	config.fillDefaults()
	transport := &http.Transport{MaxIdleConnsPerHost: config.MaxInFlight}
	defer transport.CloseIdleConnections()
	run := &runner{
		config:   &config,
		caller:   &caller{config: &config, client: &http.Client{Transport: transport}},
		recorder: newRecorder(),
		slots:    make(chan struct{}, config.MaxInFlight),
	}
	run.sendAll(ctx)
	run.open.Wait()
	report := run.recorder.report(&config)
	if config.ReadWaste != nil {
		waste, err := config.ReadWaste(ctx)
		if err != nil {
			return report, errors.Wrap(err, "reading the truth logs")
		}
		waste.fillShare()
		report.Waste = &waste
	}
	return report, nil
}

type runner struct {
	config   *Config
	caller   *caller
	recorder *recorder
	slots    chan struct{}
	open     sync.WaitGroup
}

func (r *runner) sendAll(ctx context.Context) {
	generator := workload.NewGenerator(r.config.Spec, r.config.Seed)
	start := time.Now()
	for {
		arrival := generator.Next()
		if arrival.At >= r.config.Spec.Duration {
			return
		}
		planned := start.Add(arrival.At)
		if !pause(ctx, time.Until(planned)) {
			return
		}
		select {
		case r.slots <- struct{}{}:
			r.open.Go(func() {
				r.recorder.add(r.caller.call(ctx, arrival, planned))
				<-r.slots
			})
		default:
			r.recorder.recordUnsent()
		}
	}
}
