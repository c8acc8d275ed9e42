// Package clock provides monotonic time and timers, from the system or, in
// tests, from a virtual clock that the test advances.
package clock

import (
	"sync"
	"time"
)

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the time elapsed since an arbitrary fixed point.
	Now() time.Duration
	// Timer returns a channel that is closed once d has passed, and a function
	// that stops the timer.
	Timer(d time.Duration) (done <-chan struct{}, stop func())
}

// System returns a clock that reads the system's monotonic time.
func System() Clock { return systemClock{start: time.Now()} }

type systemClock struct{ start time.Time }

func (c systemClock) Now() time.Duration { return time.Since(c.start) }

func (c systemClock) Timer(d time.Duration) (<-chan struct{}, func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(done) })
	return done, func() { timer.Stop() }
}

// Virtual is a Clock whose time changes only by Advance. The zero value is
// ready to use.
type Virtual struct {
	mu     sync.Mutex
	now    time.Duration
	timers map[*virtualTimer]struct{}
}

type virtualTimer struct {
	at   time.Duration
	done chan struct{}
}

// Now implements Clock.
func (v *Virtual) Now() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Timer implements Clock.
func (v *Virtual) Timer(d time.Duration) (<-chan struct{}, func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	timer := &virtualTimer{at: v.now + d, done: make(chan struct{})}
	if d <= 0 {
		close(timer.done)
		return timer.done, func() {}
	}
	if v.timers == nil {
		v.timers = make(map[*virtualTimer]struct{})
	}
	v.timers[timer] = struct{}{}
	return timer.done, func() { v.remove(timer) }
}

// Advance moves the time forward by d and fires the timers that are due.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now += d
	for timer := range v.timers {
		if timer.at <= v.now {
			delete(v.timers, timer)
			close(timer.done)
		}
	}
}

// Waiting returns the number of timers that have neither fired nor been
// stopped.
func (v *Virtual) Waiting() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.timers)
}

func (v *Virtual) remove(timer *virtualTimer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.timers, timer)
}
