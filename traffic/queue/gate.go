package queue

import (
	"context"
	"sync"
	"time"

	"guavacrank.example/config"
)

// Gate blocks requests until a Queue admits them. It is safe for concurrent use.
type Gate struct {
	now     func() time.Duration
	tickets sync.Pool // Of its own, since a channel may not leave the virtual clock of its test.

	mu    sync.Mutex
	queue *Queue
}

// NewGate returns a gate over an empty queue. now is the clock of deadlines;
// options.Decide is not used.
func NewGate(now func() time.Duration, options Options) *Gate {
	options.Decide = func(t *Ticket, d Decision) { t.decided <- d }
	return &Gate{now: now, queue: New(options), tickets: sync.Pool{New: newTicket}}
}

// newTicket returns a *Ticket whose owner can wait for the decision.
func newTicket() any { return &Ticket{decided: make(chan Decision, 1)} }

// Request is the parameters of a request to a gate.
type Request struct {
	Priority config.Priority
	// Deadline is on the gate's clock.
	Deadline time.Duration
	// MaxWait refuses the request if its expected wait is longer; zero means no limit.
	MaxWait time.Duration
}

// Enter waits for a slot. The ticket is only non-nil after Admitted; Leave must
// then be called with it.
func (g *Gate) Enter(ctx context.Context, want Request) (*Ticket, Decision) {
	t := g.tickets.Get().(*Ticket)
	t.Priority, t.Deadline, t.MaxWait = want.Priority, want.Deadline, want.MaxWait
	g.mu.Lock()
	decision := g.queue.Offer(g.now(), t)
	g.mu.Unlock()
	if decision == Waiting {
		decision = g.wait(ctx, t)
	}
	if decision != Admitted {
		g.tickets.Put(t)
		return nil, decision
	}
	return t, Admitted
}

// wait returns the decision, or withdraws the ticket when the context ends.
func (g *Gate) wait(ctx context.Context, t *Ticket) Decision {
	select {
	case decision := <-t.decided:
		return decision
	case <-ctx.Done():
	}
	g.mu.Lock()
	canceled := g.queue.Cancel(t)
	g.mu.Unlock()
	if canceled {
		return Canceled
	}
	decision := <-t.decided
	if decision == Admitted {
		g.leave(t, false)
	}
	return Canceled
}

// Leave frees the slot of an admitted ticket. ran reports whether the request
// ran, so that its time counts as service time.
func (g *Gate) Leave(t *Ticket, ran bool) {
	g.leave(t, ran)
	g.tickets.Put(t)
}

// Requeue puts an admitted ticket, whose request the server shed, back to the
// front of the queue, and waits for a slot as Enter does.
func (g *Gate) Requeue(ctx context.Context, t *Ticket) (*Ticket, Decision) {
	g.mu.Lock()
	g.queue.Requeue(g.now(), t)
	g.mu.Unlock()
	decision := g.wait(ctx, t)
	if decision != Admitted {
		g.tickets.Put(t)
		return nil, decision
	}
	return t, Admitted
}

func (g *Gate) leave(t *Ticket, ran bool) {
	g.mu.Lock()
	g.queue.Done(g.now(), t, ran)
	g.mu.Unlock()
}

// Configure sets the slots, the number that may wait in each class, and the floor.
func (g *Gate) Configure(slots, limit, floor int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetLimits(limit, floor)
	if slots != g.queue.Slots() {
		g.queue.SetSlots(g.now(), slots)
	}
}

// State is the current state of a gate.
type State struct {
	Slots, Busy, Queued int
	Backlog             time.Duration
}

// State returns the current state of the gate.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue
	return State{Slots: q.slots, Busy: q.busy, Queued: q.queued, Backlog: q.Backlog()}
}
