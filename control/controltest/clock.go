package controltest

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of scheduled calls.
type Clock struct {
	now   time.Duration
	order uint64
	calls callHeap
}

type scheduledCall struct {
	at    time.Duration
	order uint64
	run   func()
}

type callHeap []scheduledCall

func (h callHeap) Len() int { return len(h) }
func (h callHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)   { *h = append(*h, x.(scheduledCall)) }
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = scheduledCall{}
	*h = old[:len(old)-1]
	return last
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules a call after a delay. Calls due at the same time run in the
// order in which they were scheduled.
func (c *Clock) After(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.calls, scheduledCall{c.now + max(delay, 0), c.order, run})
}

// RunUntil runs every call due up to end and advances the clock to it.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.calls) > 0 && c.calls[0].at <= end {
		next := heap.Pop(&c.calls).(scheduledCall)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// hostClock is the clock of one host, with an arbitrary start and a slightly
// wrong rate.
type hostClock struct {
	offset   time.Duration
	driftPPM int64
}

func (h hostClock) read(now time.Duration) time.Duration {
	return h.offset + now + now*time.Duration(h.driftPPM)/1_000_000
}
