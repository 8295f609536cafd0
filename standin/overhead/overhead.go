// Package overhead measures the latency that a router adds to a model request.
// It sends similar requests alternately to a router and directly to an engine,
// one at a time, and compares the times to the first text.
package overhead

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Config configures a measurement.
type Config struct {
	// Router and Engine are base URLs. For a fair comparison the engine must be
	// the only one available to the router.
	Router, Engine string
	// Key is the tenant's API key and Service the model service, for the router.
	Key     string
	Service ident.Service
	// Tenant, Model and Version are sent to the engine.
	Tenant  ident.Tenant
	Model   ident.Model
	Version ident.ModelVersion
	// Requests is the number of requests on each path.
	Requests int
	// PromptBytes is the length of each prompt; no two prompts share a block.
	PromptBytes int
}

// Times are quantiles of the time to the first text, in microseconds.
type Times struct {
	P50 int64 `json:"p50_micros"`
	P99 int64 `json:"p99_micros"`
}

// Report compares both paths.
type Report struct {
	Requests int   `json:"requests"`
	Direct   Times `json:"direct"`
	Routed   Times `json:"routed"`
}

// The range of the histograms, in microseconds, and their precision.
const (
	lowest    = 1
	highest   = 60_000_000
	precision = 3
)

// Run measures until all requests are answered, one fails, or ctx ends.
func Run(ctx context.Context, config Config) (*Report, error) {
	probe := &prober{config: config, client: &http.Client{}}
	incarnation, err := probe.incarnation(ctx)
	if err != nil {
		return nil, err
	}
	direct := hdrhistogram.New(lowest, highest, precision)
	routed := hdrhistogram.New(lowest, highest, precision)
	for number := range config.Requests {
		if err := probe.measure(direct, func() (*http.Request, error) {
			return probe.direct(ctx, incarnation, number)
		}); err != nil {
			return nil, err
		}
		if err := probe.measure(routed, func() (*http.Request, error) { return probe.routed(ctx, number) }); err != nil {
			return nil, err
		}
	}
	return &Report{Requests: config.Requests, Direct: timesOf(direct), Routed: timesOf(routed)}, nil
}

func timesOf(times *hdrhistogram.Histogram) Times {
	const half, almostAll = 50, 99
	return Times{P50: times.ValueAtQuantile(half), P99: times.ValueAtQuantile(almostAll)}
}

// prober sends single requests.
type prober struct {
	config Config
	client *http.Client
}

func (p *prober) incarnation(ctx context.Context) (ident.Incarnation, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.config.Engine+"/v1/load", nil)
	if err != nil {
		return "", fault.Wrap(err, fault.BadRequest, "invalid engine URL %q", p.config.Engine)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return "", fault.Wrap(err, fault.BackendLost, "reading the engine's load")
	}
	defer func() { _ = response.Body.Close() }()
	var report protocol.LoadReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return "", fault.Wrap(err, fault.BackendLost, "decoding the engine's load")
	}
	return report.Incarnation, nil
}

// prompt returns a prompt whose first block is unique to the path and number.
func (p *prober) prompt(way string, number int) string {
	start := fmt.Sprintf("%s request %08d ", way, number)
	return start + strings.Repeat("x", max(0, p.config.PromptBytes-len(start)))
}

func (p *prober) direct(ctx context.Context, incarnation ident.Incarnation, number int) (*http.Request, error) {
	namespace := prefix.Namespace{Tenant: p.config.Tenant, Model: p.config.Model, Version: p.config.Version}
	return post(ctx, p.config.Engine+"/v1/generate", protocol.GenerateRequest{
		RequestID: ident.NewRequest(), Attempt: 1, ExpectedIncarnation: incarnation,
		Tenant: p.config.Tenant, Model: p.config.Model, Version: p.config.Version,
		Salt: namespace.Salt(), Prompt: p.prompt("direct", number), MaxTokens: 1,
	})
}

// completion is the body of a completions request.
type completion struct {
	Model     ident.Service `json:"model"`
	Prompt    string        `json:"prompt"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

func (p *prober) routed(ctx context.Context, number int) (*http.Request, error) {
	request, err := post(ctx, p.config.Router+"/v1/completions",
		completion{p.config.Service, p.prompt("routed", number), true, 1})
	if err == nil {
		request.Header.Set("Authorization", "Bearer "+p.config.Key)
	}
	return request, err
}

func post(ctx context.Context, url string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encoding a request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "invalid URL %q", url)
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// measure sends one request, reads the whole response and records the time to
// its first text.
func (p *prober) measure(times *hdrhistogram.Histogram, build func() (*http.Request, error)) error {
	request, err := build()
	if err != nil {
		return err
	}
	started := time.Now()
	response, err := p.client.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.BackendLost, "sending a request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.BackendRefused, "%s answered with status %d", request.URL.Host, response.StatusCode)
	}
	elapsed, found, err := firstText(response, started)
	if err != nil || !found {
		return fault.Wrap(err, fault.StreamBroken, "no text received from %s", request.URL.Host)
	}
	return times.RecordValue(max(lowest, elapsed.Microseconds()))
}

// firstText reads a whole stream and returns the time to its first text. Both
// protocols have it in a non-empty JSON field "text".
func firstText(response *http.Response, started time.Time) (elapsed time.Duration, found bool, err error) {
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Text()
		if !found && strings.Contains(line, `"text":"`) && !strings.Contains(line, `"text":""`) {
			elapsed, found = time.Since(started), true
		}
	}
	return elapsed, found, lines.Err()
}
