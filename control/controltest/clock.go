package controltest

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of events.
type Clock struct {
	now    time.Duration
	order  uint64
	events eventHeap
}

type scheduled struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []scheduled

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduled)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*h = old[:len(old)-1]
	return last
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules a call.
func (c *Clock) After(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, scheduled{c.now + max(delay, 0), c.order, run})
}

// RunUntil runs every event up to a time.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(scheduled)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// hostClock is the clock of one machine: it starts anywhere and runs a little
// fast or slow.
type hostClock struct {
	offset time.Duration
	ppm    int64
}

func (h hostClock) read(now time.Duration) time.Duration {
	return h.offset + now + now*time.Duration(h.ppm)/1_000_000
}
