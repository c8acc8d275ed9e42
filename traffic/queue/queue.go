// Package queue admits requests to a server's slots by class and deadline.
//
// Interactive requests go before patient ones and those before bulk, with a
// minimum share for the lower classes. A request that could not finish within its
// deadline is refused when it arrives, or dropped before it is started.
//
// Queue reads no clock and never blocks: the caller passes the time. Gate blocks
// requests until the queue decides.
package queue

import (
	"time"

	"guavacrank.example/config"
)

// priorities is the number of priority classes.
const priorities = int(config.Bulk) + 1

// Decision is what the queue decided about a ticket.
type Decision uint8

// Decisions.
const (
	Waiting  Decision = iota
	Admitted          // The ticket holds a slot until Done.
	Full              // Refused: too many requests are waiting.
	Late              // Refused: it could not finish within its deadline.
	Canceled          // Its caller disconnected.
	Busy              // Refused: it would have had to wait longer than MaxWait.
)

// Ticket is one request in a queue. A ticket is in one queue at a time.
type Ticket struct {
	Priority config.Priority
	// Deadline is on the clock that is passed to the queue.
	Deadline time.Duration
	// MaxWait refuses the ticket if it is expected to wait longer; zero means
	// that it waits as long as its deadline allows.
	MaxWait time.Duration

	decision   Decision
	startedAt  time.Duration
	prev, next *Ticket
	list       *list
	decided    chan Decision
}

// Options configure a Queue.
type Options struct {
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Limit is the number of requests that may wait in each class.
	Limit int
	// Floor is the minimum share of the slots' time for each lower class that
	// waits, in percent.
	Floor int
	// Decide is called when a waiting ticket is admitted or dropped.
	Decide func(*Ticket, Decision)
}

// Queue is the queue of one server. It is not safe for concurrent use.
type Queue struct {
	options Options
	slots   int
	busy    int
	running [priorities]int
	queued  int
	waiting [priorities]list
	credit  [priorities]time.Duration
	service [priorities]Estimate
}

// New returns an empty queue.
func New(options Options) *Queue {
	return &Queue{options: options, slots: options.Slots}
}

// SetSlots changes the number of slots; it takes effect as requests end.
func (q *Queue) SetSlots(now time.Duration, slots int) {
	q.slots = slots
	q.start(now)
}

// SetLimits changes how many may wait in each class, and the floor.
func (q *Queue) SetLimits(limit, floor int) {
	q.options.Limit = limit
	q.options.Floor = floor
}

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Busy returns the number of admitted tickets.
func (q *Queue) Busy() int { return q.busy }

// Queued returns the number of waiting tickets.
func (q *Queue) Queued() int { return q.queued }

// Offer admits the ticket, makes it wait, or refuses it.
func (q *Queue) Offer(now time.Duration, t *Ticket) Decision {
	t.decision = Waiting
	if t.Deadline <= now {
		return q.setDecision(t, Late)
	}
	if q.mayStart(t.Priority) && !q.waitsBefore(t.Priority) {
		q.admit(now, t)
		return Admitted
	}
	wait := q.expectedWait(t.Priority)
	if t.MaxWait > 0 && wait > t.MaxWait {
		return q.setDecision(t, Busy)
	}
	if wait > 0 && now+wait+q.service[t.Priority].High() > t.Deadline {
		return q.setDecision(t, Late)
	}
	if q.waiting[t.Priority].length >= q.options.Limit {
		return q.setDecision(t, Full)
	}
	q.waiting[t.Priority].pushBack(t)
	q.queued++
	return Waiting
}

// Done frees the slot of an admitted ticket. The elapsed time is a
// sample of the service time if answered is set, and a lower bound of it otherwise.
func (q *Queue) Done(now time.Duration, t *Ticket, answered bool) {
	if answered {
		q.service[t.Priority].Add(now - t.startedAt)
	} else {
		q.service[t.Priority].AddAtLeast(now - t.startedAt)
	}
	q.busy--
	q.running[t.Priority]--
	q.start(now)
}

// Requeue puts an admitted ticket, whose request the server shed, back to the
// front of its class.
func (q *Queue) Requeue(now time.Duration, t *Ticket) {
	q.busy--
	q.running[t.Priority]--
	t.decision = Waiting
	q.waiting[t.Priority].pushFront(t)
	q.queued++
	q.start(now)
}

// Cancel removes a waiting ticket. It returns false if the ticket was decided before.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.list == nil {
		return false
	}
	q.remove(t)
	t.decision = Canceled
	return true
}

// Backlog estimates how long the waiting requests keep the server busy,
// as a retry hint for a refused caller.
func (q *Queue) Backlog() time.Duration {
	return q.expectedWait(config.Bulk)
}

func (q *Queue) setDecision(t *Ticket, d Decision) Decision {
	t.decision = d
	return d
}

func (q *Queue) admit(now time.Duration, t *Ticket) {
	t.decision = Admitted
	t.startedAt = now
	q.busy++
	q.running[t.Priority]++
}

func (q *Queue) remove(t *Ticket) {
	t.list.remove(t)
	q.queued--
}

// mayStart reports whether a slot is free for the class. Bulk leaves a quarter
// of the slots, at least one, to the others, since bulk requests run long.
func (q *Queue) mayStart(p config.Priority) bool {
	if q.busy >= q.slots {
		return false
	}
	if p != config.Bulk || q.slots == 1 {
		return true
	}
	return q.running[config.Bulk] < q.slots-max(1, q.slots/4)
}

// waitsBefore reports whether a waiting ticket goes before a new one.
func (q *Queue) waitsBefore(p config.Priority) bool {
	for class := 0; class <= int(p); class++ {
		if q.waiting[class].first != nil {
			return true
		}
	}
	return false
}

// expectedWait estimates how long a new ticket of the class would wait.
func (q *Queue) expectedWait(p config.Priority) time.Duration {
	if q.slots <= 0 {
		return 0
	}
	var work time.Duration
	for class := 0; class <= int(p); class++ {
		work += time.Duration(q.waiting[class].length) * q.service[class].Mean()
	}
	if q.busy >= q.slots {
		work += q.runningMean()
	}
	return work / time.Duration(q.slots)
}

// runningMean is the mean service time of the running requests.
func (q *Queue) runningMean() time.Duration {
	var sum time.Duration
	for class, count := range q.running {
		sum += time.Duration(count) * q.service[class].Mean()
	}
	return sum / time.Duration(max(q.busy, 1))
}

func (q *Queue) decide(t *Ticket, d Decision) {
	t.decision = d
	q.options.Decide(t, d)
}

// start gives free slots to waiting tickets.
func (q *Queue) start(now time.Duration) {
	for {
		class, ok := q.nextClass()
		if !ok {
			return
		}
		t := q.waiting[class].first
		q.remove(t)
		if now+q.needed(class) > t.Deadline {
			q.decide(t, Late)
			continue
		}
		q.charge(class)
		q.admit(now, t)
		q.options.Decide(t, Admitted)
	}
}

// needed is the time to the deadline that a request must still have when it is
// started. While others of its class wait, a slot only goes to a request that
// will very likely finish.
func (q *Queue) needed(class int) time.Duration {
	if q.waiting[class].first != nil {
		return q.service[class].High()
	}
	return q.service[class].Mean()
}

// nextClass returns the class whose first ticket is started next.
func (q *Queue) nextClass() (int, bool) {
	for class := priorities - 1; class > 0; class-- {
		if q.credit[class] >= q.cost(class) && q.ready(class) {
			return class, true
		}
	}
	for class := range priorities {
		if q.ready(class) {
			return class, true
		}
	}
	return 0, false
}

func (q *Queue) ready(class int) bool {
	return q.waiting[class].first != nil && q.mayStart(config.Priority(class))
}

// minCost is the assumed cost of a start while the class has no samples.
const minCost = time.Millisecond

// cost is the slot time that a start of the class is expected to take.
func (q *Queue) cost(class int) time.Duration {
	return max(q.service[class].Mean(), minCost)
}

// charge accounts for one start: the lower classes that wait gain their floor
// of its slot time, and the class that starts spends its credit.
func (q *Queue) charge(started int) {
	spent := q.cost(started)
	for class := 1; class < priorities; class++ {
		if q.waiting[class].first == nil {
			q.credit[class] = 0
			continue
		}
		q.credit[class] += spent * time.Duration(q.options.Floor) / 100
	}
	q.credit[started] = max(0, q.credit[started]-spent)
}
