package store

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/httpclient"
)

// Options bounds an HTTPClient. Zero values take the defaults.
type Options struct {
	// ConnectTimeout bounds opening a connection. Default: 1s.
	ConnectTimeout time.Duration
	// MaxBodyBytes bounds the body of every answer. Default: 64 MiB.
	MaxBodyBytes int64
	// RequestsPerSecond limits this client's requests to all services; a request waits
	// within its deadline. Default: 0, no limit.
	RequestsPerSecond float64
	// Burst is the burst size of the limit. Default: 1.
	Burst int
}

const (
	defaultMaxBodyBytes = 64 << 20
	// maxFailureBytes bounds the body read of a failed answer.
	maxFailureBytes = 4 << 10
	// defaultRetryAfter applies if the platform sends no Retry-After.
	defaultRetryAfter = time.Second
)

// HTTPClient implements Client over the published protocol. It never retries a write. It is
// safe for concurrent use.
type HTTPClient struct {
	base      string
	exchanges *httpclient.Client
	limiter   *rate.Limiter
	maxBody   int64
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client of the platform at baseURL, for example
// "http://10.0.0.1:7000".
func NewHTTPClient(baseURL string, options Options) (*HTTPClient, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		return nil, fault.New(fault.InvalidSettings, "the platform's URL %q is not of the form http://IP:PORT", baseURL)
	}
	client := &HTTPClient{
		base:      strings.TrimSuffix(baseURL, "/"),
		exchanges: httpclient.New(httpclient.Options{ConnectTimeout: options.ConnectTimeout}),
		maxBody:   options.MaxBodyBytes,
	}
	client.maxBody = cmp.Or(client.maxBody, defaultMaxBodyBytes)
	if options.RequestsPerSecond > 0 {
		client.limiter = rate.NewLimiter(rate.Limit(options.RequestsPerSecond), max(options.Burst, 1))
	}
	return client, nil
}

// CloseIdle closes the connections not in use.
func (c *HTTPClient) CloseIdle() { c.exchanges.CloseIdle() }

// call is one request to the platform.
type call struct {
	// description describes the call in messages, without its key.
	description  string
	method, path string
	body         []byte
	// allowsNotFound means that status 404 is no error: no such row or object.
	allowsNotFound bool
}

// answer is a complete answer of the platform.
type answer struct {
	found bool
	body  []byte
}

// do sends the call and reads the complete answer.
func (c *HTTPClient) do(ctx context.Context, outgoing call) (answer, error) {
	if err := c.waitForLimiter(ctx); err != nil {
		return answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, outgoing.method, c.base+outgoing.path, bytes.NewReader(outgoing.body))
	if err != nil {
		return answer{}, fault.Wrap(err, fault.BadRequest, "cannot create the request to the platform")
	}
	send := c.exchanges.Do
	if outgoing.method == http.MethodGet {
		send = c.exchanges.DoRetryable
	}
	response, err := send(request)
	if err != nil {
		return answer{}, unavailable(err, outgoing, "no answer to %s", outgoing.description)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		body, err := httpclient.ReadBody(response, c.maxBody)
		if err != nil {
			return answer{}, unavailable(err, outgoing, "the answer to %s was cut off", outgoing.description)
		}
		return answer{found: true, body: body}, nil
	case http.StatusNotFound:
		if outgoing.allowsNotFound {
			_ = response.Body.Close()
			return answer{}, nil
		}
	}
	return answer{}, faultFrom(response, outgoing)
}

// waitForLimiter waits for the limiter, and fails at once if the deadline is too early.
func (c *HTTPClient) waitForLimiter(ctx context.Context) error {
	if c.limiter == nil {
		return nil
	}
	err := c.limiter.Wait(ctx)
	if err != nil && ctx.Err() != nil {
		return fault.Wrap(err, fault.StoreUnavailable, "the call to the platform was canceled before it was sent").
			WithRetryAfter(defaultRetryAfter)
	}
	if err != nil {
		return fault.Wrap(err, fault.RateLimited, "this router's own limit on platform requests delays the request past its deadline").
			WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// faultFrom converts an error response into a fault.
func faultFrom(response *http.Response, outgoing call) error {
	body, _ := httpclient.ReadBody(response, maxFailureBytes)
	switch response.StatusCode {
	case http.StatusTooManyRequests:
		return fault.New(fault.RateLimited, "the platform's rate limit rejected %s", outgoing.description).
			WithRetryAfter(httpclient.RetryAfter(response.Header, defaultRetryAfter))
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return fault.New(fault.BadRequest, "the platform rejected %s (status %d): %s",
			outgoing.description, response.StatusCode, bytes.TrimSpace(body))
	}
	return unavailable(nil, outgoing, "%s failed with status %d", outgoing.description, response.StatusCode)
}

// unavailable returns a StoreUnavailable fault. A read has no effect; a write's Ran is "no"
// only if no byte of it was sent.
func unavailable(cause error, outgoing call, format string, arguments ...any) error {
	wrapped := fault.Wrap(cause, fault.StoreUnavailable, format, arguments...).WithRetryAfter(defaultRetryAfter)
	if outgoing.method == http.MethodGet {
		return wrapped
	}
	var unsent *httpclient.Error
	if errors.As(cause, &unsent) && !unsent.Sent {
		return wrapped
	}
	return wrapped.WithRan(fault.RanUnknown)
}

func decode(body []byte, outgoing call, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return unavailable(err, outgoing, "the answer to %s is malformed", outgoing.description)
	}
	return nil
}
