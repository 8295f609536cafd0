package experiment

import (
	"container/heap"
	"time"
)

// event is a function scheduled at a virtual time.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

// eventHeap orders events by time, then in order of insertion.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(added any) { *h = append(*h, added.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return popped
}

// clock is the virtual time of one simulation with its scheduled events.
type clock struct {
	now    time.Time
	events eventHeap
	order  uint64
}

// at schedules a function; a time in the past counts as now.
func (c *clock) at(when time.Time, run func()) {
	if when.Before(c.now) {
		when = c.now
	}
	c.order++
	heap.Push(&c.events, event{at: when, order: c.order, run: run})
}

// after runs a function after a delay.
func (c *clock) after(delay time.Duration, run func()) { c.at(c.now.Add(delay), run) }

// step runs the next event; it returns false if there is none.
func (c *clock) step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.run()
	return true
}
