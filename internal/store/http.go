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
	// RequestsPerSecond limits this client over all services, waiting for its
	// turn within the deadline. Default: 0, no limit.
	RequestsPerSecond float64
	// Burst is how many requests may leave at once under the limit. Default: 1.
	Burst int
}

const (
	defaultMaxBodyBytes = 64 << 20
	// maxFailureBytes bounds the body read of a failed answer.
	maxFailureBytes = 4 << 10
	// defaultRetryAfter is told when the platform names no time.
	defaultRetryAfter = time.Second
)

// HTTPClient implements Client over the published protocol. A write is never
// sent twice by it. It is safe for concurrent use.
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
	// what names the call in messages, without its key.
	what         string
	method, path string
	body         []byte
	// missingIsAnswer says that 404 means: no such row or object.
	missingIsAnswer bool
}

// answer is a whole answer of the platform.
type answer struct {
	found bool
	body  []byte
}

// do sends the call and reads the whole answer.
func (c *HTTPClient) do(ctx context.Context, out call) (answer, error) {
	if err := c.wait(ctx); err != nil {
		return answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, out.method, c.base+out.path, bytes.NewReader(out.body))
	if err != nil {
		return answer{}, fault.Wrap(err, fault.BadRequest, "the request to the platform cannot be formed")
	}
	send := c.exchanges.Do
	if out.method == http.MethodGet {
		send = c.exchanges.DoRetryable
	}
	response, err := send(request)
	if err != nil {
		return answer{}, unavailable(err, out, "no answer to %s", out.what)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		body, err := httpclient.ReadBody(response, c.maxBody)
		if err != nil {
			return answer{}, unavailable(err, out, "the answer to %s broke off", out.what)
		}
		return answer{found: true, body: body}, nil
	case http.StatusNotFound:
		if out.missingIsAnswer {
			_ = response.Body.Close()
			return answer{}, nil
		}
	}
	return answer{}, failed(response, out)
}

// wait takes a turn of the limiter, or fails at once if none comes in time.
func (c *HTTPClient) wait(ctx context.Context) error {
	if c.limiter == nil {
		return nil
	}
	err := c.limiter.Wait(ctx)
	if err != nil && ctx.Err() != nil {
		return fault.Wrap(err, fault.StoreUnavailable, "the call to the platform was given up before it left").
			WithRetryAfter(defaultRetryAfter)
	}
	if err != nil {
		return fault.Wrap(err, fault.RateLimited, "this router's own limit on platform requests leaves no turn within the deadline").
			WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// failed turns an answer of failure into a fault.
func failed(response *http.Response, out call) error {
	body, _ := httpclient.ReadBody(response, maxFailureBytes)
	switch response.StatusCode {
	case http.StatusTooManyRequests:
		return fault.New(fault.RateLimited, "the platform's rate limit refused %s", out.what).
			WithRetryAfter(httpclient.RetryAfter(response.Header, defaultRetryAfter))
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return fault.New(fault.BadRequest, "the platform cannot take %s (status %d): %s",
			out.what, response.StatusCode, bytes.TrimSpace(body))
	}
	return unavailable(nil, out, "%s failed with status %d", out.what, response.StatusCode)
}

// unavailable returns a StoreUnavailable fault. Reads never run anything; a
// write's Ran is "no" only if no byte of it left this process.
func unavailable(cause error, out call, format string, arguments ...any) error {
	wrapped := fault.Wrap(cause, fault.StoreUnavailable, format, arguments...).WithRetryAfter(defaultRetryAfter)
	if out.method == http.MethodGet {
		return wrapped
	}
	var unsent *httpclient.Error
	if errors.As(cause, &unsent) && !unsent.Sent {
		return wrapped
	}
	return wrapped.WithRan(fault.RanUnknown)
}

// decode reads a JSON answer.
func decode(body []byte, out call, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return unavailable(err, out, "the answer to %s is malformed", out.what)
	}
	return nil
}
