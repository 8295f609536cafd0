package inbound

import "sync"

// chunkSizes are the sizes of the chunks in which answers are held, in bytes, ascending.
var chunkSizes = [...]int{1 << 10, 4 << 10, 16 << 10}

// chunkPools keep unused chunks, by the index of their size.
var chunkPools [len(chunkSizes)]sync.Pool

// chunk is a part of an answer.
type chunk struct {
	data []byte
	// class is the index of its size, reserved the memory that is reserved for it, in bytes.
	class    int
	reserved int64
}

// chunkClass returns the index of the smallest size that holds a number of bytes, or of the largest one.
func chunkClass(bytes int) int {
	for class, size := range chunkSizes {
		if bytes <= size {
			return class
		}
	}
	return len(chunkSizes) - 1
}

func newChunk(class int, reserved int64) *chunk {
	taken, _ := chunkPools[class].Get().(*chunk)
	if taken == nil {
		taken = &chunk{data: make([]byte, 0, chunkSizes[class]), class: class}
	}
	taken.reserved = reserved
	return taken
}

// append copies as many bytes of data as there is room for, and returns their number.
func (c *chunk) append(data []byte) int {
	count := min(cap(c.data)-len(c.data), len(data))
	c.data = append(c.data, data[:count]...)
	return count
}

// recycle keeps the chunk for another answer. It may not be used any more.
func (c *chunk) recycle() {
	c.data = c.data[:0]
	chunkPools[c.class].Put(c)
}
