// Package ring provides bounded queues between goroutines with an overflow policy
// and counters.
package ring

import (
	"sync"
	"sync/atomic"
)

// Policy is what a full ring does on Push.
type Policy int

const (
	// RefuseNew refuses the new item.
	RefuseNew Policy = iota
	// DropOldest drops the oldest item; use it only where a later item replaces
	// an earlier one.
	DropOldest
)

// Ring is a bounded first-in first-out queue, safe for concurrent use by any
// number of producers and consumers.
type Ring[T any] struct {
	name    string
	policy  Policy
	mutex   sync.Mutex
	items   []T
	head    int
	length  int
	ready   chan struct{}
	pushed  atomic.Uint64
	dropped atomic.Uint64
}

// Counters is a snapshot of a ring's counters.
type Counters struct {
	// Name is the name given to New.
	Name string
	// Depth is the number of waiting items, Capacity its maximum.
	Depth, Capacity int
	// Pushed counts accepted items; Dropped counts refused or dropped ones.
	Pushed, Dropped uint64
}

// New returns an empty ring that holds at most capacity items.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{
		name:   name,
		policy: policy,
		items:  make([]T, capacity),
		ready:  make(chan struct{}, 1),
	}
}

// Push adds an item. It never blocks. It returns false when an item was lost:
// the new one under RefuseNew, the oldest one under DropOldest.
func (r *Ring[T]) Push(item T) bool {
	r.mutex.Lock()
	noneLost := true
	if r.length == len(r.items) {
		noneLost = false
		r.dropped.Add(1)
		if r.policy == RefuseNew {
			r.mutex.Unlock()
			return false
		}
		r.removeHead()
	}
	r.items[(r.head+r.length)%len(r.items)] = item
	r.length++
	r.pushed.Add(1)
	r.mutex.Unlock()
	r.signal()
	return noneLost
}

// Pop removes the oldest item without blocking; ok is false when there is none.
func (r *Ring[T]) Pop() (item T, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.length == 0 {
		return item, false
	}
	item = r.removeHead()
	if r.length > 0 {
		r.signal()
	}
	return item, true
}

// Ready returns a channel that receives a value when the ring may hold items.
// A consumer selects on it and then calls Pop until ok is false.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Counters returns the ring's counters.
func (r *Ring[T]) Counters() Counters {
	r.mutex.Lock()
	depth := r.length
	r.mutex.Unlock()
	return Counters{
		Name:     r.name,
		Depth:    depth,
		Capacity: len(r.items),
		Pushed:   r.pushed.Load(),
		Dropped:  r.dropped.Load(),
	}
}

func (r *Ring[T]) removeHead() T {
	var zero T
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.length--
	return item
}

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
