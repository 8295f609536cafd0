package harness

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fieldpond/fieldpond/internal/api"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/application"
)

// callTimeout bounds one exchange of a caller, far above every router timeout.
const callTimeout = 60 * time.Second

// maxAnswerBytes bounds the body of an answer that is not a stream.
const maxAnswerBytes = 1 << 20

// Outcome is one request of a caller with its result: one entry of its history.
type Outcome struct {
	Began, Ended time.Time
	Router       string
	Tenant       ident.Tenant
	// Key is the idempotency key and Body the body of an application request.
	Key, Body string

	// Broken is set if the connection broke before the answer was complete. Of
	// the fields below, only those of a stream may be set then.
	Broken bool
	// Unsent is set if no connection was opened, so nothing was sent.
	Unsent bool
	Status int
	// RequestID is the id that the router gave the request.
	RequestID ident.Request
	// Refusal is set if the router returned an error, in an answer or an event.
	Refusal *api.ErrorDetail
	// RetryAfter is the Retry-After header, in seconds; empty if it is missing.
	RetryAfter string
	// Answer is the application's; Replayed is set if it was stored earlier.
	Answer   application.Answer
	Replayed bool

	// Text, Finish and Done are a stream's text so far, its finish reason, and
	// whether its end marker arrived.
	Text, Finish string
	Done         bool
	// LastID is the last event id, from which the stream is resumed.
	LastID string
	// Usage is the token usage reported at the end of the stream.
	Usage *api.Usage
}

// Answered reports whether a complete, successful answer arrived.
func (o Outcome) Answered() bool {
	return !o.Broken && o.Refusal == nil && o.Status >= 200 && o.Status < 300
}

// Ran returns what the caller learned about execution: "yes" with an answer,
// the error's value with a refusal, "unknown" when the connection broke.
func (o Outcome) Ran() fault.Ran {
	switch {
	case o.Broken:
		return fault.RanUnknown
	case o.Refusal != nil:
		return o.Refusal.Ran
	default:
		return fault.RanYes
	}
}

// Kind returns the kind of the refusal, or "".
func (o Outcome) Kind() fault.Kind {
	if o.Refusal == nil {
		return ""
	}
	return o.Refusal.Kind
}

// Caller is one client of the routers, which records its outcomes. It is safe
// for concurrent use.
type Caller struct {
	Tenant  ident.Tenant
	client  *http.Client
	mutex   sync.Mutex
	history []Outcome
}

// NewCaller returns a caller of a tenant with its own connections.
func (c *Cluster) NewCaller(tenant ident.Tenant) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	c.tb.Cleanup(transport.CloseIdleConnections)
	return &Caller{Tenant: tenant, client: &http.Client{Transport: transport}}
}

// The receive buffer and the segments of a slow caller are far smaller than a
// long stream. The router's send buffer stays small as well, so its writes block.
const (
	slowBufferBytes  = 4 << 10
	slowSegmentBytes = 536
)

// NewSlowCaller returns a caller whose connections have minimal buffers.
func (c *Cluster) NewSlowCaller(tenant ident.Tenant) *Caller {
	dialer := &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBufferBytes)
			if optionErr == nil {
				optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, slowSegmentBytes)
			}
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	transport := &http.Transport{DialContext: dialer.DialContext}
	c.tb.Cleanup(transport.CloseIdleConnections)
	return &Caller{Tenant: tenant, client: &http.Client{Transport: transport}}
}

// History returns the outcomes so far, in the order in which they ended.
func (c *Caller) History() []Outcome {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Outcome(nil), c.history...)
}

func (c *Caller) record(outcome *Outcome) {
	outcome.Ended = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.history = append(c.history, *outcome)
}

// Book sends one request to the route that must run at most once.
func (c *Caller) Book(ctx context.Context, router, key, body string) Outcome {
	return c.Call(ctx, http.MethodPost, router, BookPath, key, body)
}

// Call sends one request to a route of the application service.
func (c *Caller) Call(ctx context.Context, method, router, path, key, body string) Outcome {
	outcome := Outcome{Began: time.Now(), Router: router, Tenant: c.Tenant, Key: key, Body: body}
	defer c.record(&outcome)
	url := router + "/v1/services/" + string(Bookings) + path
	content, ok := c.exchange(ctx, &outcome, method, url, body, key)
	if ok {
		outcome.Broken = json.Unmarshal(content, &outcome.Answer) != nil
	}
	return outcome
}

// exchange sends a request and reads its whole answer into outcome. It returns
// the body, and false if the request failed or was refused.
func (c *Caller) exchange(ctx context.Context, outcome *Outcome, method, url, body, key string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := c.request(ctx, method, url, body)
	if err != nil {
		outcome.Broken = true
		return nil, false
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		outcome.Broken, outcome.Unsent = true, isDialError(err)
		return nil, false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		outcome.Broken = true
		return nil, false
	}
	outcome.readHeader(response)
	if response.StatusCode >= http.StatusBadRequest {
		outcome.readRefusal(content)
		return nil, false
	}
	outcome.Replayed = response.Header.Get("Idempotency-Replayed") != ""
	return content, true
}

func (c *Caller) request(ctx context.Context, method, url, body string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// net/http would retry a request with an idempotency key by itself, and the
	// retry would be missing from the history.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+APIKey(c.Tenant))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// isDialError reports whether an exchange failed before a connection was opened.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (o *Outcome) readHeader(response *http.Response) {
	o.Status = response.StatusCode
	o.RequestID = ident.Request(response.Header.Get("X-Request-Id"))
	o.RetryAfter = response.Header.Get("Retry-After")
}

// readRefusal reads an error body. Without one, execution stays unknown.
func (o *Outcome) readRefusal(content []byte) {
	var body api.ErrorBody
	if json.Unmarshal(content, &body) != nil || body.Error.Ran == "" {
		body.Error.Ran = fault.RanUnknown
		body.Error.Kind = fault.Kind("http_" + strconv.Itoa(o.Status))
	}
	o.Refusal = &body.Error
}
