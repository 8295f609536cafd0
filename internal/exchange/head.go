package exchange

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/answer"
)

const (
	// maxHeaderFields bounds the fields of a header, each of which takes more memory than its bytes.
	maxHeaderFields = 256
	// maxPoolHeadBytes bounds the bytes of all heads that a pool reads at a time, beside those that fit the
	// buffer of their connection.
	maxPoolHeadBytes = 4 << 20
	// headTimeout is how long the rest of a head may take after its first bytes, and likewise an answer to
	// another request that is skipped.
	headTimeout = 2 * time.Second
	// badAnswerLogInterval is the least time between two log lines on answers that exceed a limit, and likewise on
	// malformed ones.
	badAnswerLogInterval = time.Second
)

// ErrHeadTooLarge is the cause if the first line and the header of an answer exceed their limit, or those of
// all answers that arrive at a time exceed theirs.
var ErrHeadTooLarge = errors.New("the header of an answer exceeds its limit")

// ErrHeadTooSlow is the cause if the rest of a head does not follow its first bytes in time.
var ErrHeadTooSlow = errors.New("the header of an answer arrives too slowly")

// headReader reads from a connection, and bounds what it reads of the head of an answer.
type headReader struct {
	from io.Reader
	conn net.Conn
	// total counts the bytes of all heads that the pool reads now.
	total *atomic.Int64
	// reading is true while a head is read, taken the number of its bytes, limit their bound; exceeded is
	// true once that was reached.
	reading      bool
	taken, limit int
	exceeded     bool
	// timed is whether reads of the connection have a deadline.
	timed bool
}

// Read implements io.Reader.
func (r *headReader) Read(buffer []byte) (int, error) {
	if !r.reading {
		return r.from.Read(buffer)
	}
	left := r.limit - r.taken
	if left <= 0 || r.taken >= readerBytes && r.total.Load() > maxPoolHeadBytes {
		r.exceeded = true
		return 0, ErrHeadTooLarge
	}
	if r.taken > 0 {
		r.startTimeout()
	}
	count, err := r.from.Read(buffer[:min(len(buffer), left)])
	r.taken += count
	r.total.Add(int64(count))
	return count, err
}

// begin bounds reads until end is called.
func (r *headReader) begin(limit int) {
	r.reading, r.exceeded, r.taken, r.limit = true, false, 0, limit
}

// end ends the bound.
func (r *headReader) end() {
	r.total.Add(-int64(r.taken))
	r.reading, r.taken = false, 0
	r.stopTimeout()
}

// startTimeout ends reads after headTimeout, unless that has begun.
func (r *headReader) startTimeout() {
	if !r.timed {
		r.timed = true
		// Fails only for a connection that is closed already.
		_ = r.conn.SetReadDeadline(time.Now().Add(headTimeout))
	}
}

func (r *headReader) stopTimeout() {
	if r.timed {
		r.timed = false
		_ = r.conn.SetReadDeadline(time.Time{})
	}
}

// readHead reads the first line and the header of an answer.
func (c *call) readHead(method string) (*answer.Head, error) {
	reader := &c.connection.head
	reader.begin(c.pool.options.MaxHeaderBytes)
	defer reader.end()
	head, err := answer.ReadHead(c.connection.reader, method)
	if reader.exceeded || err == nil && countFields(head.Header) > maxHeaderFields {
		c.pool.recordTooLarge(c.connection)
		return nil, ErrHeadTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, ErrHeadTooSlow
	}
	c.recordMalformed(err)
	return head, err
}

// recordMalformed counts an answer that is none, if that is what an error means.
func (c *call) recordMalformed(err error) {
	var malformed *answer.MalformedError
	if errors.As(err, &malformed) {
		c.pool.recordMalformed(c.connection, malformed.Cause)
	}
}

// skip reads the body of an answer to another request.
func (c *call) skip(head *answer.Head) error {
	reader := &c.connection.head
	reader.startTimeout()
	defer reader.stopTimeout()
	count, err := io.Copy(io.Discard, io.LimitReader(answer.NewBody(head, c.connection.reader), maxExcessBytes+1))
	if count > maxExcessBytes {
		return errExcessAnswers
	}
	return errors.Wrap(err, "skip an answer to another request")
}

func countFields(header http.Header) (count int) {
	for _, values := range header {
		count += len(values)
	}
	return count
}
