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
	// unreservedClass is the class of the chunk that each answer may hold without a reservation.
	unreservedClass = 1
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
	// room receives a value once something that was queued is written, or the answer has failed.
	room chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	pending []*chunk
	// held is the memory of pending and of what is being written, in bytes.
	held   int
	flush  bool
	closed bool
	err    error
}

// NewReadAhead returns a ReadAhead that writes to a client. Close must be called.
func (c *Clients) NewReadAhead(to AnswerWriter) *ReadAhead {
	r := &ReadAhead{clients: c, to: to, written: make(chan struct{}), room: make(chan struct{}, 1)}
	r.changed = sync.NewCond(&r.mu)
	go r.run()
	return r
}

// Write queues a copy of data. While there is no memory it waits, and returns ErrSlowClient if the
// client does not read for too long.
func (r *ReadAhead) Write(data []byte) error {
	var begun time.Time
	for {
		count, err := r.queue(data)
		if err != nil {
			return err
		}
		data = data[count:]
		if len(data) == 0 {
			return nil
		}
		if count > 0 {
			continue
		}
		if begun.IsZero() {
			begun = time.Now()
		}
		if time.Since(begun) >= slowClientTimeout {
			return ErrSlowClient
		}
		r.awaitRoom()
	}
}

// awaitRoom waits until something was written, or for roomCheckInterval.
func (r *ReadAhead) awaitRoom() {
	timer := time.NewTimer(roomCheckInterval)
	defer timer.Stop()
	select {
	case <-r.room:
	case <-timer.C:
	}
}

// queue queues a copy of the first bytes of data for which there is memory, and returns their number.
func (r *ReadAhead) queue(data []byte) (count int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	last := r.lastWithRoom()
	if last == nil {
		last = r.addChunk(len(data))
	}
	if last == nil {
		return 0, nil
	}
	count = last.append(data)
	r.changed.Signal()
	return count, nil
}

// lastWithRoom returns the last pending chunk if there is room in it, or nil; the caller holds the mutex.
func (r *ReadAhead) lastWithRoom() *chunk {
	if len(r.pending) == 0 {
		return nil
	}
	last := r.pending[len(r.pending)-1]
	if len(last.data) == cap(last.data) {
		return nil
	}
	return last
}

// addChunk adds a chunk for a number of bytes, or for fewer, and returns nil if there is no memory; the caller
// holds the mutex.
func (r *ReadAhead) addChunk(bytes int) *chunk {
	class := chunkClass(bytes)
	size := chunkSizes[class]
	if r.held > 0 && r.held+size > maxAheadBytes {
		return nil
	}
	reserved := int64(size)
	if !r.clients.reserveAnswer(reserved) {
		if r.held > 0 {
			return nil
		}
		// The client has read everything so far, and must not wait for those that do not.
		class, reserved = min(class, unreservedClass), 0
		size = chunkSizes[class]
	}
	added := newChunk(class, reserved)
	r.pending = append(r.pending, added)
	r.held += size
	return added
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
	for _, dropped := range r.pending {
		r.releaseLocked(dropped)
	}
	r.pending = nil
	r.changed.Signal()
}

// run writes what is queued until the answer is closed or its connection has failed.
func (r *ReadAhead) run() {
	defer close(r.written)
	var taken []*chunk
	for {
		var flush, ended bool
		taken, flush, ended = r.next(taken[:0])
		if ended {
			return
		}
		if err := r.write(taken, flush); err != nil {
			r.fail(err)
		}
	}
}

// write writes chunks and releases them.
func (r *ReadAhead) write(chunks []*chunk, flush bool) (err error) {
	for _, next := range chunks {
		if err == nil {
			_, err = r.to.Write(next.data)
		}
		r.release(next)
	}
	if err == nil && flush {
		err = r.to.Flush()
	}
	return err
}

// next waits for something to write or to flush, and appends it to chunks.
func (r *ReadAhead) next(chunks []*chunk) (taken []*chunk, flush, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) == 0 && !r.closed && r.err == nil && !r.flush {
		r.changed.Wait()
	}
	if r.err != nil || (len(r.pending) == 0 && !r.flush) {
		return nil, false, true
	}
	taken = append(chunks, r.pending...)
	clear(r.pending)
	r.pending = r.pending[:0]
	flush, r.flush = r.flush, false
	return taken, flush, false
}

// release frees a chunk that was written.
func (r *ReadAhead) release(written *chunk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseLocked(written)
}

// releaseLocked frees a chunk; the caller holds the mutex.
func (r *ReadAhead) releaseLocked(freed *chunk) {
	r.held -= cap(freed.data)
	r.clients.Release(freed.reserved)
	freed.recycle()
	select {
	case r.room <- struct{}{}:
	default:
	}
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
