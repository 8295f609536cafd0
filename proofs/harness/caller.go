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

// callTimeout bounds one exchange of a caller, far above every limit of a router.
const callTimeout = 60 * time.Second

// maxAnswerBytes bounds what a caller reads of an answer that is no stream.
const maxAnswerBytes = 1 << 20

// Outcome is what a caller sent and what it was told: one entry of its history.
type Outcome struct {
	Began, Ended time.Time
	Router       string
	Tenant       ident.Tenant
	// Key and Body are those of an application request.
	Key, Body string

	// Broken says that the connection broke before a whole answer; nothing
	// below is set then, but for the text of a stream.
	Broken bool
	// Unsent says that no connection was opened, so nothing was sent.
	Unsent bool
	Status int
	// RequestID is the router's name for the request.
	RequestID ident.Request
	// Refusal is set if the router stated a fault, in an answer or an event.
	Refusal *api.ErrorDetail
	// RetryAfter is the header of that name, in seconds; empty if it is missing.
	RetryAfter string
	// Answer is the application's, and Replayed says that it is an earlier one's.
	Answer   application.Answer
	Replayed bool

	// Text, Finish and Done are what a stream brought: its text so far, its
	// finish reason, and whether its end marker arrived.
	Text, Finish string
	Done         bool
	// LastID is the last event id, to resume from.
	LastID string
	// Usage is that of the end of the stream.
	Usage *api.Usage
}

// Answered reports whether a whole answer came.
func (t Outcome) Answered() bool {
	return !t.Broken && t.Refusal == nil && t.Status >= 200 && t.Status < 300
}

// Ran returns what the caller was told of execution: "yes" with an answer,
// the word of a stated fault, and "unknown" when the connection broke.
func (t Outcome) Ran() fault.Ran {
	switch {
	case t.Broken:
		return fault.RanUnknown
	case t.Refusal != nil:
		return t.Refusal.Ran
	default:
		return fault.RanYes
	}
}

// Kind returns the kind of the stated fault, or "".
func (t Outcome) Kind() fault.Kind {
	if t.Refusal == nil {
		return ""
	}
	return t.Refusal.Kind
}

// Caller is one client of the routers. It keeps the history of all it was
// told. It is safe for concurrent use.
type Caller struct {
	Tenant  ident.Tenant
	client  *http.Client
	mutex   sync.Mutex
	history []Outcome
}

// NewCaller returns a caller of a tenant with connections of its own.
func (c *Cluster) NewCaller(tenant ident.Tenant) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	c.tb.Cleanup(transport.CloseIdleConnections)
	return &Caller{Tenant: tenant, client: &http.Client{Transport: transport}}
}

// The receive buffer and the segments of a slow caller are far smaller than a
// long stream, which keeps the send buffer at the router's end small as well:
// so the router is the one that has to wait.
const (
	slowBufferBytes  = 4 << 10
	slowSegmentBytes = 536
)

// NewSlowCaller returns a caller whose connections buffer next to nothing.
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

// History returns what the caller was told so far, in the order of the ends.
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

// Book sends one request to the route that may run only once.
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

// exchange sends a request and reads its whole answer into told. It returns
// the body of an answer that is no refusal.
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
	// net/http would send a request with an idempotency key again by itself,
	// and that sending would be missing from the history.
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

func (t *Outcome) readHeader(response *http.Response) {
	t.Status = response.StatusCode
	t.RequestID = ident.Request(response.Header.Get("X-Request-Id"))
	t.RetryAfter = response.Header.Get("Retry-After")
}

// readRefusal reads a stated fault. A body that states none leaves its fate open.
func (t *Outcome) readRefusal(content []byte) {
	var body api.ErrorBody
	if json.Unmarshal(content, &body) != nil || body.Error.Ran == "" {
		body.Error.Ran = fault.RanUnknown
		body.Error.Kind = fault.Kind("http_" + strconv.Itoa(t.Status))
	}
	t.Refusal = &body.Error
}
