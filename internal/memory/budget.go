// Package memory bounds the memory of what many calls read and hold at a time.
package memory

import (
	"io"
	"sync/atomic"
)

// UnreservedBytes is what each Buffer may hold without a reservation, so that small answers are read while large
// ones use up the memory.
const UnreservedBytes = 4 << 10

// Budget is the memory that buffers share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// reserve reserves memory, and reports whether the limit allows that.
func (b *Budget) reserve(bytes int) bool {
	if b.used.Add(int64(bytes)) <= b.limit {
		return true
	}
	b.release(bytes)
	return false
}

func (b *Budget) release(bytes int) { b.used.Add(-int64(bytes)) }

// Buffer holds what one call has read. Its owner calls Free once that is not needed any more.
type Buffer struct {
	// Data is what is held. Its capacity must not grow but by Grow.
	Data   []byte
	budget *Budget
	// reserved is the memory reserved for it.
	reserved int
}

// NewBuffer returns an empty buffer.
func (b *Budget) NewBuffer() Buffer { return Buffer{budget: b} }

// Reserved returns the number of bytes that are reserved for the buffer.
func (b *Buffer) Reserved() int { return b.reserved }

// Grow makes room for at least a number of bytes in all, and reports whether the budget allows that.
func (b *Buffer) Grow(bytes int) bool {
	size := max(2*cap(b.Data), bytes)
	if bytes <= UnreservedBytes {
		size = min(size, UnreservedBytes)
	}
	if !b.reserveTo(size) {
		return false
	}
	b.Data = append(make([]byte, 0, size), b.Data...)
	return true
}

// reserveTo reserves memory for a size, and reports whether it has that.
func (b *Buffer) reserveTo(size int) bool {
	more := size - UnreservedBytes - b.reserved
	if more <= 0 {
		return true
	}
	if !b.budget.reserve(more) {
		return false
	}
	b.reserved += more
	return true
}

// Fill reads from a body until its end, more than a number of bytes, or the limit of the budget. whole is
// whether it reached the end.
func (b *Buffer) Fill(body io.Reader, most int) (whole bool, err error) {
	for len(b.Data) <= most {
		if len(b.Data) == cap(b.Data) && !b.Grow(max(cap(b.Data)+1, UnreservedBytes)) {
			return false, nil
		}
		count, err := body.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+count]
		if err == io.EOF {
			return len(b.Data) <= most, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// Free ends the reservation and drops what is held.
func (b *Buffer) Free() {
	if b.reserved > 0 {
		b.budget.release(b.reserved)
	}
	b.reserved, b.Data = 0, nil
}
