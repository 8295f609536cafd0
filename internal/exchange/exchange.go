package exchange

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Request is one request to a back end.
type Request struct {
	Method string
	// Target is the request target exactly as it is written: path and query.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers; framing headers in it are ignored.
	Header http.Header
	Body   []byte
	// Matches reports whether an answer with this header is the one to this
	// request. Answers that are not are dropped. Nil takes the first answer.
	Matches func(header http.Header) bool
	// MaxConnections bounds the connections to the address; 0 means no bound.
	MaxConnections int
	// AckTimeout is how long bytes of the request may stay unacknowledged before the
	// connection counts as silent; 0 means the pool's UserTimeout.
	AckTimeout time.Duration
	// Withdrawn reports, right before the first byte leaves, that the request is not to be sent
	// any more: time passes while a connection is opened. It may be nil.
	Withdrawn func() bool
}

// ErrWithdrawn says that a request was withdrawn before a byte of it left.
var ErrWithdrawn = errors.New("the request was withdrawn before it was sent")

// Error is a failed exchange: no answer to the request arrived.
type Error struct {
	// Sent is false only if no byte of the request left this process.
	Sent bool
	// Silent is true if the peer acknowledged nothing any more. The request may have
	// arrived all the same.
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
	// Length is the length of the body in bytes, or -1 if it is not told.
	Length int64
	// ConnectTime is how long it took to open the connection; 0 if an open one was used.
	ConnectTime time.Duration
	// Body gives io.EOF only at the proven end of the answer; an answer that
	// breaks off gives another error. It may be closed at any time, which ends
	// the connection if the answer is not whole.
	Body io.ReadCloser
}

const (
	// maxExcessAnswers and maxExcessBytes bound what is read past for the
	// answer that is due.
	maxExcessAnswers = 4
	maxExcessBytes   = 1 << 20
	// inlineBodyBytes is the largest body written before the answer is read; a
	// back end may answer a longer one before it has read it.
	inlineBodyBytes = 8 << 10
)

// errExcess says that too many answers to other requests came.
var errExcess = errors.New("too many answers to other requests on one connection")

const (
	// windowBytes is the longest body that the window of a back end takes whole, so that
	// its machine acknowledges it before the back end reads it.
	windowBytes = 32 << 10
	// longBodyAck bounds a closed window for longer bodies: the kernel counts the time for
	// which a living back end reads nothing as if nothing were acknowledged. With a bound
	// of 250 ms a back end that read a body of 16 MiB after 2 s was given up after 0.5 s.
	longBodyAck = 3 * time.Second
)

// ackWithin returns how long bytes of a request may stay unacknowledged.
func (p *Pool) ackWithin(request *Request) time.Duration {
	within := cmp.Or(request.AckTimeout, p.options.UserTimeout)
	if len(request.Body) > windowBytes {
		return max(within, longBodyAck)
	}
	return within
}

// Do sends a request once. An error is an *Error. When ctx ends, the
// connection is closed, also while the body of the answer is read.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	used, err := p.get(ctx, address, request.MaxConnections)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if request.Withdrawn != nil && request.Withdrawn() {
		p.drop(used)
		return nil, &Error{Cause: ErrWithdrawn}
	}
	used.expectAcks(p.ackWithin(request))
	exchange := &running{pool: p, connection: used, begunAt: time.Now()}
	exchange.stop = context.AfterFunc(ctx, exchange.giveUp)
	response, err := exchange.run(request)
	if err != nil {
		failed := &Error{Sent: exchange.sent.Load(), Silent: silent(err), Cause: err}
		exchange.failed(err)
		exchange.abort()
		if ctx.Err() != nil {
			failed.Cause = errors.Wrap(context.Cause(ctx), err.Error())
		}
		return nil, failed
	}
	return response, nil
}

// leastUnacknowledged is how long the bytes of a request that is given up must be
// without an acknowledgement for its connection to count as silent: a lost packet
// is sent again after 200 ms at least.
const leastUnacknowledged = 250 * time.Millisecond

// giveUp ends the connection of an exchange that nobody waits for.
func (r *running) giveUp() {
	unheard := time.Since(r.begunAt) >= leastUnacknowledged && r.connection.unacknowledged()
	_ = r.connection.Close()
	if unheard {
		r.pool.foundSilent(r.connection.address, r.begunAt)
	}
}

// failed takes in why an exchange broke off.
func (r *running) failed(err error) {
	if !silent(err) {
		return
	}
	since := r.begunAt
	if probed := time.Now().Add(-probeInterval); probed.After(since) {
		since = probed
	}
	r.pool.foundSilent(r.connection.address, since)
}

// running is one exchange under way.
type running struct {
	pool       *Pool
	connection *connection
	stop       func() bool
	begunAt    time.Time
	// sent is true once a byte may have left, written once all have.
	sent, written atomic.Bool
	excess        bool
	ended         bool
}

func (r *running) run(request *Request) (*Response, error) {
	head := requestHead(request)
	r.sent.Store(true)
	if len(request.Body) <= inlineBodyBytes {
		if _, err := r.connection.Write(append(head, request.Body...)); err != nil {
			return nil, errors.Wrap(err, "send the request")
		}
		r.written.Store(true)
	} else {
		go r.write(head, request.Body)
	}
	answer, err := r.due(request)
	if err != nil {
		return nil, err
	}
	response := &Response{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, ConnectTime: r.connection.opening}
	r.connection.opening = 0
	response.Body = &answerBody{running: r, answer: answer}
	return response, nil
}

// write sends a long request while its answer is awaited. When it fails, the
// back end may still have answered.
func (r *running) write(head, body []byte) {
	if _, err := r.connection.Write(head); err != nil {
		return
	}
	if _, err := r.connection.Write(body); err == nil {
		r.written.Store(true)
	}
}

// due reads the answer to the request, past answers to others.
func (r *running) due(request *Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	for range maxExcessAnswers {
		answer, err := http.ReadResponse(r.connection.reader, asked)
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches == nil || request.Matches(answer.Header) {
			return answer, nil
		}
		r.excess = true
		if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
			return nil, errExcess
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxExcessBytes)); err != nil {
			return nil, errors.Wrap(err, "read past an answer in excess")
		}
	}
	return nil, errExcess
}

// abort ends the exchange and its connection.
func (r *running) abort() {
	if r.ended {
		return
	}
	r.ended = true
	r.stop()
	r.pool.drop(r.connection)
}

// finish ends an exchange whose answer was read whole, and keeps the
// connection if nothing speaks against it.
func (r *running) finish(answer *http.Response) {
	if r.ended {
		return
	}
	reusable := !r.excess && r.written.Load() && !answer.Close && r.connection.reader.Buffered() == 0 &&
		(answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0)
	// A context that has ended closes the connection by itself.
	if !reusable || !r.stop() {
		r.abort()
		return
	}
	r.ended = true
	r.pool.put(r.connection, keepAlive(answer.Header))
}

// answerBody is the body of an answer.
type answerBody struct {
	running *running
	answer  *http.Response
	// whole is true once the proven end was read, broken once a read failed.
	whole, broken bool
}

// Read implements io.Reader.
func (b *answerBody) Read(buffer []byte) (int, error) {
	count, err := b.answer.Body.Read(buffer)
	switch {
	case err == io.EOF:
		b.whole = true
	case err != nil && !b.broken:
		b.broken = true
		b.running.failed(err)
	}
	return count, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.whole {
		b.running.finish(b.answer)
	} else {
		b.running.abort()
	}
	return nil
}

// keepAlive returns how long the peer keeps a resting connection, or 0.
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

// requestHead writes the request line and the headers.
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

// framing holds the headers that this package sets, or that belong to one
// connection only.
var framing = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Host": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}
