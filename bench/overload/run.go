package overload

import (
	"time"

	"guavacrank.example/bench/virtual"
	"guavacrank.example/config"
	"guavacrank.example/traffic/queue"
)

// policy is the way in which requests queue.
type policy uint8

const (
	classes policy = iota // The product's: by class and deadline.
	plain                 // First come, first served, without regard to deadlines.
)

// String returns the policy's name.
func (p policy) String() string { return [...]string{"classes", "plain"}[p] }

// run is one run of the mix at a load.
type run struct {
	clock   *virtual.Clock
	policy  policy
	queue   *queue.Queue
	mix     []kind
	until   time.Duration
	starts  map[*queue.Ticket]func()
	results []result
	wasted  time.Duration // Slot time of requests that missed their deadline.
}

// result is what became of one class.
type result struct {
	offered, good int
	work          time.Duration // Slot time of requests that met their deadline.
	latencies     []time.Duration
}

func newRun(options Options, p policy, mix []kind, load float64) *run {
	r := &run{
		clock:   virtual.NewClock(options.Seed),
		policy:  p,
		mix:     mix,
		until:   options.Duration,
		starts:  make(map[*queue.Ticket]func()),
		results: make([]result, len(mix)),
	}
	limit := queueLimit
	if p == plain {
		limit = 1 << 30
	}
	r.queue = queue.New(queue.Options{Slots: slots, Limit: limit, Floor: floor, Decide: r.decide})
	for i := range mix {
		interval := time.Duration(float64(mix[i].service) / (load * mix[i].share * slots))
		r.arrive(i, interval)
	}
	r.clock.Run()
	return r
}

// capacity is the slot time of the measured part, in seconds.
func (r *run) capacity() float64 { return slots * (r.until - warmUp).Seconds() }

// goodput is the share of the capacity that went to requests that met their deadline.
func (r *run) goodput() float64 {
	var work time.Duration
	for i := range r.results {
		work += r.results[i].work
	}
	return work.Seconds() / r.capacity()
}

func (r *run) arrive(class int, interval time.Duration) {
	r.clock.After(r.clock.Exponential(interval), func() {
		if r.clock.Now() >= r.until {
			return
		}
		r.offer(class)
		r.arrive(class, interval)
	})
}

func (r *run) offer(class int) {
	k, arrived := r.mix[class], r.clock.Now()
	if arrived >= warmUp {
		r.results[class].offered++
	}
	t := &queue.Ticket{Priority: k.priority, Deadline: arrived + k.deadline}
	if r.policy == plain {
		t.Priority, t.Deadline = config.Interactive, arrived+time.Hour
	}
	service := r.clock.Exponential(k.service)
	r.starts[t] = func() { r.start(t, class, arrived, service) }
	if decision := r.queue.Offer(arrived, t); decision != queue.Waiting {
		r.decide(t, decision)
	}
}

func (r *run) decide(t *queue.Ticket, d queue.Decision) {
	start := r.starts[t]
	delete(r.starts, t)
	if d == queue.Admitted {
		start()
	}
}

// start runs a request; it is cancelled at its deadline.
func (r *run) start(t *queue.Ticket, class int, arrived, service time.Duration) {
	began, deadline := r.clock.Now(), arrived+r.mix[class].deadline
	end := min(began+service, max(deadline, began))
	r.clock.After(end-began, func() {
		now := r.clock.Now()
		met := now < deadline
		r.queue.Done(now, t, met)
		if now < warmUp || now >= r.until {
			return
		}
		res := &r.results[class]
		res.latencies = append(res.latencies, now-arrived)
		if !met {
			r.wasted += now - began
			return
		}
		res.good++
		res.work += now - began
	})
}
