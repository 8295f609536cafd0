package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/httpclient"
)

// Options bounds an HTTPClient. Zero values mean the defaults.
type Options struct {
	// ConnectTimeout bounds opening a connection to a back end. Default: 1s.
	ConnectTimeout time.Duration
	// MaxEventBytes bounds one server-sent event. Default: 1 MiB.
	MaxEventBytes int
	// MaxAnswerBytes bounds an application's answer and an engine's JSON answer,
	// such as a cache snapshot. Default: 16 MiB.
	MaxAnswerBytes int64
	// MaxExportBytes bounds one export of cached blocks. Default: 256 MiB.
	MaxExportBytes int64
}

// Defaults of Options.
const (
	defaultMaxEventBytes  = 1 << 20
	defaultMaxAnswerBytes = 16 << 20
	defaultMaxExportBytes = 256 << 20
)

// maxRefusalBytes bounds the body of an answer with an error status.
const maxRefusalBytes = 64 << 10

const (
	contentTypeJSON   = "application/json"
	contentTypeBlocks = "application/octet-stream"
)

// HTTPClient implements Client over HTTP. It never retries a request and is safe
// for concurrent use.
type HTTPClient struct {
	exchanges *httpclient.Client
	options   Options
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with its own connection pool, sized for
// hundreds of back ends.
func NewHTTPClient(options Options) *HTTPClient {
	options.MaxEventBytes = cmp.Or(options.MaxEventBytes, defaultMaxEventBytes)
	options.MaxAnswerBytes = cmp.Or(options.MaxAnswerBytes, defaultMaxAnswerBytes)
	options.MaxExportBytes = cmp.Or(options.MaxExportBytes, defaultMaxExportBytes)
	exchanges := httpclient.New(httpclient.Options{ConnectTimeout: options.ConnectTimeout})
	return &HTTPClient{exchanges: exchanges, options: options}
}

// CloseIdle closes idle connections.
func (c *HTTPClient) CloseIdle() { c.exchanges.CloseIdle() }

// exchange is one request to a back end.
type exchange struct {
	method, address, path string
	contentType           string
	header                http.Header
	body                  []byte
}

// send sends the exchange once. A response of any status is not an error.
func (c *HTTPClient) send(ctx context.Context, out exchange) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, out.method, "http://"+out.address+out.path, bytes.NewReader(out.body))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "the request to back end %q cannot be created", out.address)
	}
	for name, values := range out.header {
		request.Header[name] = values
	}
	if out.contentType != "" {
		request.Header.Set("Content-Type", out.contentType)
	}
	response, err := c.exchanges.Do(request)
	if err != nil {
		return nil, backendLost(err, "no answer from back end %s", out.address)
	}
	return response, nil
}

// sendJSON sends a JSON body through sendChecked.
func (c *HTTPClient) sendJSON(ctx context.Context, address, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "the request to back end %s cannot be encoded", address)
	}
	return c.sendChecked(ctx, exchange{
		method: http.MethodPost, address: address, path: path, contentType: contentTypeJSON, body: encoded,
	})
}

// sendChecked sends the exchange and returns a fault for every status except 200
// and 204.
func (c *HTTPClient) sendChecked(ctx context.Context, out exchange) (*http.Response, error) {
	response, err := c.send(ctx, out)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent {
		return response, nil
	}
	body, err := httpclient.ReadBody(response, maxRefusalBytes)
	if err != nil {
		return nil, backendLost(err, "back end %s failed with status %d", out.address, response.StatusCode)
	}
	if refused, found := refusalFault(response, body); found {
		return nil, refused
	}
	return nil, backendLost(nil, "back end %s answered with status %d without a valid refusal", out.address, response.StatusCode)
}

// decodeJSON reads a JSON answer of at most MaxAnswerBytes.
func (c *HTTPClient) decodeJSON(response *http.Response, address string, into any) error {
	body, err := httpclient.ReadBody(response, c.options.MaxAnswerBytes)
	if err != nil {
		return backendLost(err, "the answer of back end %s is incomplete or too large", address)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return backendLost(err, "the answer of back end %s is malformed", address)
	}
	return nil
}

// backendLost returns a BackendLost fault. Ran is "no" only if cause proves that
// no byte of the request was sent.
func backendLost(cause error, format string, arguments ...any) *fault.Fault {
	raised := fault.Wrap(cause, fault.BackendLost, format, arguments...).WithRan(fault.RanUnknown)
	var transportError *httpclient.Error
	if errors.As(cause, &transportError) && !transportError.Sent {
		raised.Ran = fault.RanNo
	}
	return raised
}
