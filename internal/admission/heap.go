package admission

import "container/heap"

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1

// indexedHeap is a binary heap whose elements store their index, so that they can be moved or
// removed in logarithmic time. It implements heap.Interface.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(item T) *int
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface; use add.
func (h *indexedHeap[T]) Push(item any) {
	added := item.(T)
	*h.index(added) = len(h.items)
	h.items = append(h.items, added)
}

// Pop implements heap.Interface; use remove.
func (h *indexedHeap[T]) Pop() any {
	var zero T
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = notInHeap
	return item
}

func (h *indexedHeap[T]) add(item T) { heap.Push(h, item) }

func (h *indexedHeap[T]) remove(item T) {
	if at := *h.index(item); at != notInHeap {
		heap.Remove(h, at)
	}
}

// moved restores the order after the item's rank has changed.
func (h *indexedHeap[T]) moved(item T) {
	if at := *h.index(item); at != notInHeap {
		heap.Fix(h, at)
	}
}

func (h *indexedHeap[T]) top() (item T, found bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}
