package queue

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"guavacrank.example/config"
)

const ms = time.Millisecond

// TestQueueModel checks on random sequences that the slots are never exceeded,
// that each ticket is decided once, and that none is forgotten.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, limit := rapid.IntRange(1, 6).Draw(t, "slots"), rapid.IntRange(0, 8).Draw(t, "limit")
		var now time.Duration
		var admitted []*Ticket
		waiting := make(map[*Ticket]bool)
		q := New(Options{Slots: slots, Limit: limit, Floor: 10, Decide: func(ticket *Ticket, d Decision) {
			if !waiting[ticket] {
				t.Fatalf("decided %v on a ticket that does not wait", d)
			}
			delete(waiting, ticket)
			if d == Admitted {
				admitted = append(admitted, ticket)
			}
		}})
		take := func() *Ticket {
			i := rapid.IntRange(0, len(admitted)-1).Draw(t, "which")
			ticket := admitted[i]
			admitted = append(admitted[:i], admitted[i+1:]...)
			return ticket
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "elapsed")) * ms
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step <= 1:
				ticket := &Ticket{Priority: config.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), Deadline: now + 50*ms}
				switch q.Offer(now, ticket) {
				case Admitted:
					admitted = append(admitted, ticket)
				case Waiting:
					waiting[ticket] = true
				}
			case step == 2 && len(admitted) > 0:
				q.Done(now, take(), true)
			case step == 3 && len(admitted) > 0:
				ticket := take()
				waiting[ticket] = true
				q.Requeue(now, ticket)
			case step == 4:
				for ticket := range waiting {
					if !q.Cancel(ticket) {
						t.Fatalf("a waiting ticket could not be cancelled")
					}
					delete(waiting, ticket)
					break
				}
			}
			if q.Busy() != len(admitted) || q.Busy() > slots || q.Queued() != len(waiting) {
				t.Fatalf("busy %d of %d slots, %d admitted; queued %d, %d waiting", q.Busy(), slots, len(admitted), q.Queued(), len(waiting))
			}
		}
		for len(admitted) > 0 {
			q.Done(now, take(), true)
		}
		if len(waiting) > 0 {
			t.Fatalf("%d tickets wait at an idle server", len(waiting))
		}
	})
}

// order returns the order in which tickets that wait for one slot are admitted.
func order(priorities ...config.Priority) []config.Priority {
	var started []config.Priority
	var last *Ticket
	q := New(Options{Slots: 1, Limit: 100, Floor: 20, Decide: func(t *Ticket, d Decision) {
		started, last = append(started, t.Priority), t
	}})
	last = &Ticket{Deadline: time.Hour}
	q.Offer(0, last)
	for _, p := range priorities {
		q.Offer(0, &Ticket{Priority: p, Deadline: time.Hour})
	}
	for now := ms; len(started) < len(priorities); now += ms {
		q.Done(now, last, true)
	}
	return started
}

func TestOrderOfClasses(t *testing.T) {
	g := NewWithT(t)
	g.Expect(order(config.Bulk, config.Patient, config.Interactive)).To(Equal(
		[]config.Priority{config.Interactive, config.Patient, config.Bulk}))

	many := []config.Priority{config.Bulk}
	for range 30 {
		many = append(many, config.Interactive)
	}
	g.Expect(order(many...)[:10]).To(ContainElement(config.Bulk), "the floor")
}

func TestLateAndFull(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 1, Limit: 2, Decide: func(*Ticket, Decision) {}})
	first := &Ticket{Deadline: time.Hour}
	g.Expect(q.Offer(0, &Ticket{Deadline: 0})).To(Equal(Late))
	g.Expect(q.Offer(0, first)).To(Equal(Admitted))
	q.Done(100*ms, first, true)
	g.Expect(q.Offer(100*ms, first)).To(Equal(Admitted))
	g.Expect(q.Offer(100*ms, &Ticket{Deadline: 250 * ms})).To(Equal(Late), "a wait and a run of 100 ms each")
	g.Expect(q.Offer(100*ms, &Ticket{Deadline: time.Hour, MaxWait: ms})).To(Equal(Busy))
	g.Expect(q.Offer(100*ms, &Ticket{Deadline: time.Hour})).To(Equal(Waiting))
	g.Expect(q.Offer(100*ms, &Ticket{Deadline: time.Hour})).To(Equal(Waiting))
	g.Expect(q.Offer(100*ms, &Ticket{Deadline: time.Hour})).To(Equal(Full))
	g.Expect(q.Backlog()).To(BeNumerically(">=", 300*ms))
}

func TestBulkLeavesASlot(t *testing.T) {
	g := NewWithT(t)
	q := New(Options{Slots: 4, Limit: 10, Decide: func(*Ticket, Decision) {}})
	for range 3 {
		g.Expect(q.Offer(0, &Ticket{Priority: config.Bulk, Deadline: time.Hour})).To(Equal(Admitted))
	}
	g.Expect(q.Offer(0, &Ticket{Priority: config.Bulk, Deadline: time.Hour})).To(Equal(Waiting))
	g.Expect(q.Offer(0, &Ticket{Deadline: time.Hour})).To(Equal(Admitted))
}

func TestGateUnderConcurrency(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	gate := NewGate(func() time.Duration { return time.Since(start) }, Options{Slots: 3, Limit: 1000})
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%3 == 0 {
				cancel()
			}
			ticket, decision := gate.Enter(ctx, Request{Deadline: time.Hour})
			if decision == Admitted {
				gate.Leave(ticket, true)
			}
		})
	}
	group.Wait()
	state := gate.State()
	g.Expect([]int{state.Busy, state.Queued}).To(Equal([]int{0, 0}))
}

func TestGateAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	gate := NewGate(func() time.Duration { return 0 }, Options{Slots: 1, Limit: 1})
	ctx := context.Background()
	allocations := testing.AllocsPerRun(1000, func() {
		ticket, _ := gate.Enter(ctx, Request{Deadline: time.Hour})
		gate.Leave(ticket, true)
	})
	g.Expect(allocations).To(BeZero())
}
