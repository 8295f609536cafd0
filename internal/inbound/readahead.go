package inbound

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrSlowClient means that a client reads its answer so slowly that the memory for it is used up.
var ErrSlowClient = errors.New("the client reads its answer too slowly; it has to ask again and read faster")

const (
	// maxAheadBytes bounds what is held of one answer.
	maxAheadBytes = 1 << 20
	// slowClientTimeout is how long a write waits for memory. It is shorter than the time after
	// which back ends cut off an answer that is not read.
	slowClientTimeout = 1500 * time.Millisecond
	// roomCheckInterval is the time between two checks whether other answers have freed memory.
	roomCheckInterval = 20 * time.Millisecond
)

// AnswerWriter writes an answer to a client. Its methods are called by one goroutine at a time.
type AnswerWriter interface {
	Write(data []byte) (int, error)
	Flush() error
	// Interrupt makes a Write that waits for the client return an error.
	Interrupt()
}

// ReadAhead passes an answer on to a client in a goroutine of its own, so that a back end's answer
// is read as fast as it comes and not as fast as the client reads. What it holds counts against
// the memory for bodies of Clients and is bounded for each answer.
type ReadAhead struct {
	clients *Clients
	to      AnswerWriter
	written chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	pending []byte
	// writing is the number of bytes that are being written.
	writing int
	flush   bool
	closed  bool
	err     error
}

// NewReadAhead returns a ReadAhead that writes to a client. Close must be called.
func (c *Clients) NewReadAhead(to AnswerWriter) *ReadAhead {
	r := &ReadAhead{clients: c, to: to, written: make(chan struct{})}
	r.changed = sync.NewCond(&r.mu)
	go r.run()
	return r
}

// Write queues a copy of data. While there is no memory it waits, and returns ErrSlowClient if the
// client does not read for too long.
func (r *ReadAhead) Write(data []byte) error {
	for begun := time.Now(); ; {
		queued, err := r.queue(data)
		if queued || err != nil {
			return err
		}
		if time.Since(begun) >= slowClientTimeout {
			return ErrSlowClient
		}
		time.Sleep(roomCheckInterval)
	}
}

// queue queues a copy of data if there is memory for it.
func (r *ReadAhead) queue(data []byte) (queued bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return false, r.err
	}
	held := len(r.pending) + r.writing
	if (held > 0 && held+len(data) > maxAheadBytes) || !r.clients.reserveAnswer(int64(len(data))) {
		return false, nil
	}
	r.pending = append(r.pending, data...)
	r.changed.Signal()
	return true, nil
}

// Flush flushes the answer once everything queued is written.
func (r *ReadAhead) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flush = true
	r.changed.Signal()
	return r.err
}

// Close waits until everything queued is written or the client's connection has failed.
func (r *ReadAhead) Close() {
	r.mu.Lock()
	r.closed = true
	r.changed.Signal()
	r.mu.Unlock()
	<-r.written
}

// Interrupt drops what is queued, and returns once nothing is being written.
func (r *ReadAhead) Interrupt() {
	r.fail(ErrSlowClient)
	r.to.Interrupt()
	r.Close()
}

// fail ends all writes with an error and releases the memory of what was queued.
func (r *ReadAhead) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
	r.clients.Release(int64(len(r.pending)))
	r.pending = nil
	r.changed.Signal()
}

// run writes what is queued until the answer is closed or its connection has failed.
func (r *ReadAhead) run() {
	defer close(r.written)
	for {
		data, flush, ended := r.next()
		if ended {
			return
		}
		err := error(nil)
		if len(data) > 0 {
			_, err = r.to.Write(data)
		}
		if err == nil && flush {
			err = r.to.Flush()
		}
		r.done(len(data))
		if err != nil {
			r.fail(err)
		}
	}
}

// next waits for something to write or to flush.
func (r *ReadAhead) next() (data []byte, flush, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) == 0 && !r.closed && r.err == nil && !r.flush {
		r.changed.Wait()
	}
	if r.err != nil || (len(r.pending) == 0 && !r.flush) {
		return nil, false, true
	}
	data, r.pending, r.writing = r.pending, nil, len(r.pending)
	flush, r.flush = r.flush, false
	return data, flush, false
}

// done releases the memory of what was written.
func (r *ReadAhead) done(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = 0
	r.clients.Release(int64(bytes))
}

// reserveAnswer reserves memory for a part of an answer. Half of the memory is kept for the bodies
// of requests.
func (c *Clients) reserveAnswer(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyBytes+bytes > c.cfg.MaxBodyBytes/2 {
		return false
	}
	c.bodyBytes += bytes
	return true
}
