// Package httpclient sends each HTTP request at most once and reports, on a
// failure, whether any byte of the request may have left this process.
//
// net/http's Transport retries requests by itself in two cases, which could
// execute work twice: a request without a body with a safe method, and any
// request with an Idempotency-Key header whose body is empty or can be rewound.
// Do prevents both by a body that is neither nil nor rewindable.
package httpclient

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/answer"
)

// Options configures a Client. Zero values take the defaults.
type Options struct {
	// ConnectTimeout limits opening a connection. Default: 1s.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which idle connections are closed. Default: 30s.
	IdleTimeout time.Duration
	// MaxIdle limits idle connections to all hosts. Default: 4096.
	MaxIdle int
	// MaxIdlePerHost limits idle connections to one host. Default: 64.
	MaxIdlePerHost int
	// MaxHeaderBytes limits the header of a response. Default: 64 KiB.
	MaxHeaderBytes int64
}

// Defaults of Options.
const (
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxIdle        = 4096
	defaultMaxIdlePerHost = 64
	defaultMaxHeaderBytes = 64 << 10
	keepAlivePeriod       = 15 * time.Second
)

// Client sends exchanges over plain HTTP/1.1. It follows no redirects, keeps
// no cookies and uses no proxy. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// New returns a client with its own connection pool.
func New(options Options) *Client {
	dialer := &net.Dialer{
		Timeout:   cmp.Or(options.ConnectTimeout, defaultConnectTimeout),
		KeepAlive: keepAlivePeriod,
	}
	return &Client{transport: &http.Transport{
		DialContext:            dialGated(dialer),
		IdleConnTimeout:        cmp.Or(options.IdleTimeout, defaultIdleTimeout),
		MaxIdleConns:           cmp.Or(options.MaxIdle, defaultMaxIdle),
		MaxIdleConnsPerHost:    cmp.Or(options.MaxIdlePerHost, defaultMaxIdlePerHost),
		MaxResponseHeaderBytes: cmp.Or(options.MaxHeaderBytes, defaultMaxHeaderBytes),
		DisableCompression:     true,
	}}
}

// Error is a failed exchange: no response header was received.
type Error struct {
	// Sent is false only if no byte of the request left this process and none
	// will.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Do sends the request once. The caller closes the response body. An error is an
// *Error.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	guarded := request.Clone(request.Context())
	if guarded.Body == nil || guarded.Body == http.NoBody {
		guarded.Body = io.NopCloser(strings.NewReader(""))
	}
	guarded.GetBody = nil
	return c.exchange(guarded)
}

// DoRetryable sends a request that may safely run twice; the transport may retry
// it on a new connection.
func (c *Client) DoRetryable(request *http.Request) (*http.Response, error) {
	return c.exchange(request)
}

// CloseIdle closes the connections not in use.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

func (c *Client) exchange(request *http.Request) (*http.Response, error) {
	var tracker sentTracker
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConnection, WroteRequest: tracker.write.end}
	traced := request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := c.transport.RoundTrip(traced)
	if err != nil {
		return nil, &Error{Sent: tracker.sealAll(), Cause: errors.Wrap(err, request.Method+" "+request.URL.Host)}
	}
	if err := answer.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, &Error{Sent: true, Cause: errors.Wrap(err, request.Method+" "+request.URL.Host)}
	}
	if isUnframed(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, request: &tracker.write}
	}
	return response, nil
}
