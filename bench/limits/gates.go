package limits

import (
	"time"

	"guavacrank.example/bench/virtual"
	"guavacrank.example/config"
	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/queue"
)

// gate is one VM's queue for one server, or for a group of servers of which
// any may serve a request, with an adaptive limit.
type gate struct {
	clock *virtual.Clock
	vm    int
	group []*simServer
	queue *queue.Queue
	limit *limit.Adaptive
	delay time.Duration
	// exact says that no other queue sends to the server.
	exact bool
	// starts gives what to do once a ticket is admitted.
	starts map[*queue.Ticket]func()
}

// far is a deadline that never passes in a run.
const far = time.Hour

// firstPause and lastPause bound the wait of a request that the server shed.
const (
	firstPause = 2 * time.Millisecond
	lastPause  = 25 * time.Millisecond
)

func newGate(clock *virtual.Clock, vm int, server *simServer, most int, delay time.Duration) *gate {
	return newGroupGate(clock, vm, []*simServer{server}, most, delay)
}

func newGroupGate(clock *virtual.Clock, vm int, group []*simServer, most int, delay time.Duration) *gate {
	g := &gate{
		clock: clock, vm: vm, group: group, delay: delay,
		limit:  limit.NewAdaptive(most),
		starts: make(map[*queue.Ticket]func()),
	}
	g.queue = queue.New(queue.Options{Slots: most, Limit: 1 << 30, Decide: g.decide})
	return g
}

func (g *gate) decide(t *queue.Ticket, _ queue.Decision) {
	start := g.starts[t]
	delete(g.starts, t)
	start()
}

// held returns the requests that the gate holds.
func (g *gate) held() int { return g.queue.Busy() + g.queue.Queued() }

// wait estimates the wait of a new request.
func (g *gate) wait() time.Duration {
	slots := g.queue.Slots()
	return time.Duration(g.held()-slots+1) * Service / time.Duration(slots)
}

// request admits and sends a request until it ran.
func (g *gate) request(service time.Duration, done func()) {
	ticket := &queue.Ticket{Priority: config.Interactive, Deadline: far}
	g.starts[ticket] = func() { g.send(ticket, service, firstPause, done) }
	if g.queue.Offer(g.clock.Now(), ticket) == queue.Admitted {
		g.decide(ticket, queue.Admitted)
	}
}

// least returns the server of the group to which this VM has the fewest requests.
func (g *gate) least() *simServer {
	best := g.group[0]
	for _, server := range g.group[1:] {
		if server.inFlight[g.vm] < best.inFlight[g.vm] {
			best = server
		}
	}
	return best
}

func (g *gate) send(ticket *queue.Ticket, service, pause time.Duration, done func()) {
	g.least().handle(g.vm, g.delay, service, func(ran bool) {
		if ran {
			g.limit.RecordSuccess()
			g.queue.Done(g.clock.Now(), ticket, true)
			g.queue.SetSlots(g.clock.Now(), g.limit.Current())
			done()
			return
		}
		g.limit.RecordShed()
		g.queue.SetSlots(g.clock.Now(), g.limit.Current())
		g.starts[ticket] = func() { g.send(ticket, service, min(2*pause, lastPause), done) }
		g.again(ticket, pause)
	})
}

// again returns a shed request to the front of the queue: at once where one
// queue admits everything, else after a pause, since other VMs hold the slots.
func (g *gate) again(ticket *queue.Ticket, pause time.Duration) {
	if g.exact {
		g.queue.Requeue(g.clock.Now(), ticket)
		return
	}
	wait := pause + time.Duration(g.clock.Random().Int64N(int64(pause)))
	g.clock.After(wait, func() { g.queue.Requeue(g.clock.Now(), ticket) })
}
