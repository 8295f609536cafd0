package exchange

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/answer"
)

// Request is one request to a back end.
type Request struct {
	Method string
	// Target is the request target, path and query, sent unchanged.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers; framing headers in it are ignored.
	Header http.Header
	Body   []byte
	// Matches reports whether an answer with this header belongs to this request;
	// others are dropped. Nil accepts the first answer.
	Matches func(header http.Header) bool
	// MaxConnections limits the connections to the address; 0 means no limit.
	MaxConnections int
	// AckTimeout is how long bytes of the request may stay unacknowledged before
	// the connection counts as silent; 0 means the pool's UserTimeout.
	AckTimeout time.Duration
	// Withdrawn is called right before the first byte is sent, since opening a
	// connection takes time; true cancels the request. It may be nil.
	Withdrawn func() bool
	// DirectOnly forbids connections through other routers.
	DirectOnly bool
	// Avoid are the numbers of connections on which the same request was answered before: a second copy
	// of that answer may still arrive there, and would pass for the answer to this sending.
	Avoid []uint64
	// Unshared asks for a connection on which nothing was sent before, where nothing in an answer tells
	// which request it belongs to.
	Unshared bool
}

// ErrWithdrawn is the cause if a request was withdrawn before a byte of it was sent.
var ErrWithdrawn = errors.New("the request was withdrawn before it was sent")

// Error is a failed exchange: no answer to the request was received.
type Error struct {
	// Sent is false only if no byte of the request left this process.
	Sent bool
	// Silent is true if the peer stopped acknowledging. It may still have
	// received the request.
	Silent bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is the answer to a request. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Unframed is whether the body has neither a length nor chunks, so that the end of the connection
	// is its end.
	Unframed bool
	// ConnectTime is how long opening the connection took; 0 if it was reused.
	ConnectTime time.Duration
	// Through is the router that relayed the connection, the zero value for a direct one.
	Through netip.AddrPort
	// Carrier is the connection that the answer arrived on.
	Carrier Carrier
	// Body returns io.EOF only at the end of the answer, which is proven unless it is Unframed, and
	// another error if the answer is cut off: a *RelayError if the router that relays it broke off, or may
	// have. Closing it early closes the connection.
	Body io.ReadCloser
}

// Carrier identifies the exchange of an answer among those of its connection.
type Carrier struct {
	// Connection is the number of the connection, unique in its pool.
	Connection uint64
	// Exchange is the number of the exchange on the connection, 1 for the first.
	Exchange int
	// Skipped is the number of answers to other requests that arrived in its place.
	Skipped int
}

const (
	// maxExcessAnswers and maxExcessBytes limit what is skipped before the
	// matching answer.
	maxExcessAnswers = 4
	maxExcessBytes   = 1 << 20
	// inlineBodyBytes is the largest body written before the answer is read; a
	// back end may answer a longer one before reading all of it.
	inlineBodyBytes = 8 << 10
)

var errExcessAnswers = errors.New("too many or too long answers to other requests on one connection")

const (
	// receiveWindowBytes is the longest body that fits a back end's receive window,
	// so that its kernel acknowledges the body before the back end reads it.
	receiveWindowBytes = 32 << 10
	// longBodyAckTimeout is the least timeout for longer bodies: the kernel counts the
	// time with a closed window, while a back end does not read, as unacknowledged. With 250 ms a
	// back end that read a body of 16 MiB after 2 s was given up after 0.5 s.
	longBodyAckTimeout = 3 * time.Second
)

// ackTimeout returns how long bytes of a request may stay unacknowledged.
func (p *Pool) ackTimeout(request *Request) time.Duration {
	timeout := cmp.Or(request.AckTimeout, p.options.UserTimeout)
	if len(request.Body) > receiveWindowBytes {
		return max(timeout, longBodyAckTimeout)
	}
	return timeout
}

// Do sends a request once. An error is an *Error. When ctx ends, the
// connection is closed, also during reads of the answer's body.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	conn, err := p.get(ctx, address, request)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if request.Withdrawn != nil && request.Withdrawn() {
		p.drop(conn)
		return nil, &Error{Cause: ErrWithdrawn}
	}
	conn.setAckTimeout(p.ackTimeout(request))
	conn.exchanges++
	exchange := &call{pool: p, connection: conn, startedAt: time.Now()}
	exchange.waiting = time.AfterFunc(conn.ackTimeout+ackMargin, exchange.extendAckTimeout)
	exchange.stop = context.AfterFunc(ctx, exchange.cancel)
	response, err := exchange.run(request)
	if err != nil {
		failed := &Error{Sent: exchange.sent.Load(), Silent: isSilent(err), Cause: err}
		exchange.recordFailure(err)
		exchange.abort()
		if ctx.Err() != nil {
			failed.Cause = errors.Wrap(context.Cause(ctx), err.Error())
		}
		return nil, failed
	}
	return response, nil
}

// ackMargin is the time after the ack timeout by which the kernel has ended a connection whose peer
// does not acknowledge.
const ackMargin = 100 * time.Millisecond

// minUnacknowledged is the least age of a cancelled request with unacknowledged
// bytes for its connection to count as silent: a lost packet is retransmitted
// after 200 ms at the earliest.
const minUnacknowledged = 250 * time.Millisecond

// cancel closes the connection of an exchange whose context has ended.
func (c *call) cancel() {
	silent := time.Since(c.startedAt) >= minUnacknowledged && c.connection.unacknowledged()
	_ = c.connection.Close()
	if silent {
		c.pool.recordSilent(c.connection, c.startedAt)
	}
}

// recordFailure records the connection as silent if that is why the exchange failed.
func (c *call) recordFailure(err error) {
	if !isSilent(err) {
		return
	}
	since := c.startedAt
	if probed := time.Now().Add(-probeInterval); probed.After(since) {
		since = probed
	}
	c.pool.recordSilent(c.connection, since)
}

// call is one exchange in progress.
type call struct {
	pool       *Pool
	connection *connection
	stop       func() bool
	startedAt  time.Time
	// sent is true once a byte may have been sent, written once all were.
	sent, written atomic.Bool
	// writeEnded is closed when a request that is written while its answer is awaited was written or failed; it
	// is nil for other requests.
	writeEnded chan struct{}
	// skipped is the number of answers to other requests that were read.
	skipped int
	// waiting extends the ack timeout once the request is acknowledged.
	waiting *time.Timer

	mu    sync.Mutex
	ended bool
}

// waitTimeout is how long a back end that works on an acknowledged request may leave keep-alive
// probes unanswered: more than two of them, since a sound one may be unreachable for a second. The
// user timeout decides that in place of the number of probes.
const waitTimeout = 2*probeInterval + probeInterval/2

// extendAckTimeout applies waitTimeout to the rest of the exchange, unless bytes of the request are
// still unacknowledged, in which case the kernel is about to end the connection.
func (c *call) extendAckTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && !c.connection.unacknowledged() {
		c.connection.setAckTimeout(max(waitTimeout, c.connection.ackTimeout))
	}
}

// end ends the exchange, and reports whether it had not ended yet.
func (c *call) end() bool {
	c.waiting.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.ended = true
	return true
}

func (c *call) run(request *Request) (*Response, error) {
	sent := requestHead(request)
	c.sent.Store(true)
	if len(request.Body) <= inlineBodyBytes {
		if _, err := c.connection.Write(append(sent, request.Body...)); err != nil {
			return nil, errors.Wrap(err, "send the request")
		}
		c.written.Store(true)
	} else {
		c.writeEnded = make(chan struct{})
		go c.write(sent, request.Body)
	}
	head, err := c.readMatching(request)
	if err != nil {
		return nil, err
	}
	if c.pool.options.Detour != nil && !c.connection.through.IsValid() {
		c.pool.options.Detour.ObserveAnswer()
	}
	response := &Response{Status: head.Status, Header: head.Header, Length: head.Length, Unframed: head.Unframed(), ConnectTime: c.connection.connectTime, Through: c.connection.through}
	response.Carrier = Carrier{Connection: c.connection.number, Exchange: c.connection.exchanges, Skipped: c.skipped}
	c.connection.connectTime = 0
	response.Body = &answerBody{call: c, head: head, content: answer.NewBody(head, c.connection.reader)}
	return response, nil
}

// write sends a long request while its answer is awaited. Errors are ignored: the
// back end may still answer.
func (c *call) write(head, body []byte) {
	defer close(c.writeEnded)
	if _, err := c.connection.Write(head); err != nil {
		return
	}
	if _, err := c.connection.Write(body); err == nil {
		c.written.Store(true)
	}
}

// readMatching reads the answer to the request and skips answers to others.
func (c *call) readMatching(request *Request) (*answer.Head, error) {
	for range maxExcessAnswers {
		head, err := c.readHead(request.Method)
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if head.IsInterim() {
			continue
		}
		if request.Matches == nil || request.Matches(head.Header) {
			return head, nil
		}
		c.skipped++
		if head.Unframed() {
			return nil, errExcessAnswers
		}
		if err := c.skip(head); err != nil {
			return nil, err
		}
	}
	return nil, errExcessAnswers
}

// abort ends the exchange and its connection.
func (c *call) abort() {
	if !c.end() {
		return
	}
	c.stop()
	c.pool.drop(c.connection)
}

// finish ends an exchange whose answer was read completely, and keeps the
// connection if it is reusable.
func (c *call) finish(head *answer.Head) {
	reusable := c.skipped == 0 && c.written.Load() && !head.Close && c.connection.buffered() == 0 && !head.Unframed()
	// stop returns false if the context has ended, which closes the connection.
	if !reusable || !c.stop() {
		c.abort()
		return
	}
	if c.end() {
		c.pool.put(c.connection, keepAlive(head.Header))
	}
}

// answerBody is the body of an answer.
type answerBody struct {
	call *call
	head *answer.Head
	// content is what the connection carries of the body.
	content io.Reader
	// complete is true once the proven end was read, failed once a read failed.
	complete, failed bool
}

// Read implements io.Reader.
func (b *answerBody) Read(buffer []byte) (int, error) {
	count, err := b.content.Read(buffer)
	if b.head.Unframed() {
		err = b.readUnframed(err)
	}
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil && !b.failed:
		b.failed = true
		b.call.recordFailure(err)
		b.call.recordMalformed(err)
	}
	return count, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.complete {
		b.call.finish(b.head)
	} else {
		b.call.abort()
	}
	return nil
}

// keepAlive returns how long the peer keeps an idle connection, or 0 if unknown.
func keepAlive(header http.Header) time.Duration {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// requestHead returns the request line and the headers.
func requestHead(request *Request) []byte {
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		if framing[name] {
			continue
		}
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// framing holds the headers that this package sets or that apply to a single
// connection.
var framing = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Host": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}
