// Package virtual is a clock for simulations: events happen in the order of
// their time, and nothing sleeps.
package virtual

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at    time.Duration
	order uint64 // Events of one moment happen in the order of their creation.
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Clock is a virtual clock with events.
type Clock struct {
	now     time.Duration
	pending events
	created uint64
	random  *rand.Rand
}

// NewClock returns a clock at zero whose random source has a fixed seed.
func NewClock(seed uint64) *Clock {
	return &Clock{random: rand.New(rand.NewPCG(seed, seed))}
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// Random returns the random source.
func (c *Clock) Random() *rand.Rand { return c.random }

// After runs a function after a delay.
func (c *Clock) After(delay time.Duration, run func()) {
	c.created++
	heap.Push(&c.pending, event{at: c.now + delay, order: c.created, run: run})
}

// Run lets events happen until none is left.
func (c *Clock) Run() {
	for len(c.pending) > 0 {
		next := heap.Pop(&c.pending).(event)
		c.now = next.at
		next.run()
	}
}

// Exponential returns an exponentially distributed duration.
func (c *Clock) Exponential(mean time.Duration) time.Duration {
	return time.Duration(c.random.ExpFloat64() * float64(mean))
}

// Quantile returns a quantile of the values; it sorts them.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[int(math.Ceil(q*float64(len(values))))-1]
}
