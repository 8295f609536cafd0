package forward

import (
	"io"
	"sync/atomic"
)

const (
	// unreservedBytes is what of each answer or event may be held without a reservation.
	unreservedBytes = 4 << 10
	// defaultHeldAnswerBytes is the default of Config.HeldAnswerBytes.
	defaultHeldAnswerBytes = 32 << 20
)

// heldAnswers bounds the memory of what is held of all answers before it is passed on. It is safe for
// concurrent use.
type heldAnswers struct {
	limit int64
	bytes atomic.Int64
}

// reserve reserves memory, and reports whether the limit allows that.
func (h *heldAnswers) reserve(count int) bool {
	if h.bytes.Add(int64(count)) <= h.limit {
		return true
	}
	h.release(count)
	return false
}

func (h *heldAnswers) release(count int) { h.bytes.Add(-int64(count)) }

// heldBuffer is what is held of one answer. Its owner calls free once that is passed on.
type heldBuffer struct {
	held *heldAnswers
	data []byte
	// reserved is the memory reserved for it.
	reserved int
}

// grow makes room for at least a number of bytes in all, and reports whether the memory allows that.
func (b *heldBuffer) grow(bytes int) bool {
	size := max(2*cap(b.data), bytes)
	if bytes <= unreservedBytes {
		size = min(size, unreservedBytes)
	}
	if !b.reserveTo(size) {
		return false
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// reserveTo reserves memory for a size, and reports whether it has that.
func (b *heldBuffer) reserveTo(size int) bool {
	more := size - unreservedBytes - b.reserved
	if more <= 0 {
		return true
	}
	if !b.held.reserve(more) {
		return false
	}
	b.reserved += more
	return true
}

// readFrom reads from a body until its end, more than a number of bytes, or the limit of the memory. whole is
// whether it reached the end.
func (b *heldBuffer) readFrom(body io.Reader, most int) (whole bool, err error) {
	for len(b.data) <= most {
		if len(b.data) == cap(b.data) && !b.grow(max(cap(b.data)+1, unreservedBytes)) {
			return false, nil
		}
		count, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+count]
		if err == io.EOF {
			return len(b.data) <= most, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// free ends the reservation and drops what is held.
func (b *heldBuffer) free() {
	b.held.release(b.reserved)
	b.reserved, b.data = 0, nil
}
