// Package shutdown decides which requests a VM still sends to servers while it stops.
//
// The platform kills the process at the end of the grace period. A request that runs on
// a server at that moment is lost to its caller, who can't know whether it has run. Such
// a request is therefore refused before it is sent, and its caller goes to another VM.
package shutdown

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// RetryAfter is the Retry-After of a VM that is stopping. It is short, since other VMs
// serve requests already.
const RetryAfter = 20 * time.Millisecond

// ErrInterrupted is the cause of the contexts of requests that were interrupted at the
// end of the grace period.
var ErrInterrupted = errors.New("the process ends")

// Schedule is the schedule of a stop, on the clock of this VM.
type Schedule struct {
	// EstimatesUntil is until when the expected duration of a request decides. Later
	// ones are sent only if their deadline is before the end.
	EstimatesUntil time.Duration
	// End is when all requests must have been answered.
	End time.Duration
}

// MayStart reports whether a request may be sent to a server now. expected is its
// expected duration; zero means unknown.
func (s Schedule) MayStart(now, deadline, expected time.Duration) bool {
	if deadline <= s.End {
		return true
	}
	return now < s.EstimatesUntil && expected > 0 && now+expected <= s.End
}

// Gate tells request handling about the stop of this VM. It is safe for concurrent use.
type Gate struct {
	schedule  atomic.Pointer[Schedule] // Nil while the VM does not stop.
	closed    atomic.Bool
	ended     context.Context
	interrupt context.CancelFunc
}

// NewGate returns the gate of a VM that does not stop.
func NewGate() *Gate {
	g := &Gate{}
	g.ended, g.interrupt = context.WithCancel(context.Background())
	return g
}

// Begin starts the stop.
func (g *Gate) Begin(schedule Schedule) { g.schedule.Store(&schedule) }

// Close refuses all requests from now on.
func (g *Gate) Close() { g.closed.Store(true) }

// Closed reports whether all requests are refused.
func (g *Gate) Closed() bool { return g.closed.Load() }

// Interrupt ends the contexts of all requests.
func (g *Gate) Interrupt() { g.interrupt() }

// MayStart reports whether a request may be sent to a server now. expected is its
// expected duration; zero means unknown.
func (g *Gate) MayStart(now, deadline, expected time.Duration) bool {
	schedule := g.schedule.Load()
	return schedule == nil || !g.Closed() && schedule.MayStart(now, deadline, expected)
}

// Context returns a context that Interrupt ends with the cause ErrInterrupted. The
// returned function must be called when the request has ended.
func (g *Gate) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	release := context.AfterFunc(g.ended, func() { cancel(ErrInterrupted) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}
