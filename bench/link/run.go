package link

import (
	"time"

	"guavacrank.example/bench/virtual"
)

// policy is the way in which bulk is held back.
type policy uint8

const (
	unpaced  policy = iota // TCP alone.
	paced                  // The product's: a fixed share for each VM.
	receiver               // Limits that the receiving side sets, after the paper.
)

// String returns the policy's name.
func (p policy) String() string { return [...]string{"unpaced", "paced", "receiver"}[p] }

// run is one run of interactive answers beside bulk.
type run struct {
	clock     *virtual.Clock
	policy    policy
	until     time.Duration
	freeAt    time.Duration // When the link has sent what it holds.
	senders   []*sender
	limiting  bool // The receiving side has set limits.
	latencies []time.Duration
	bulkBytes int64
}

// sender is one VM with bulk to send, in statements with pauses between them.
type sender struct {
	run *run
	// limit is in bytes a second; zero means that TCP alone limits.
	limit    float64
	underWay int
	left     int  // Of the statement.
	ticking  bool // A chunk is due.
	sent     int  // In this period.
}

const (
	statement = 1 << 20
	// pauseMean is the mean pause of a sender between two statements.
	pauseMean = 300 * time.Millisecond
	// leastShare is what the receiving side leaves to a sender that was idle.
	leastShare = 1.0 / senders / senders
)

func newRun(options Options, p policy, active int) *run {
	r := &run{clock: virtual.NewClock(options.Seed), policy: p, until: options.Duration}
	r.interactive(seconds(answerBytes / (rate * interactiveShare)))
	for range active {
		s := &sender{run: r}
		if p == paced {
			s.limit = rate * budget / senders
		}
		r.senders = append(r.senders, s)
		r.clock.After(r.clock.Exponential(pauseMean), s.begin)
	}
	if p == receiver {
		r.clock.After(period, r.control)
	}
	r.clock.Run()
	return r
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// transmit puts bytes on the link, in the order of arrival, and calls arrived
// on the other side.
func (r *run) transmit(bytes int, arrived func()) {
	r.freeAt = max(r.freeAt, r.clock.Now()) + seconds(float64(bytes)/rate)
	r.clock.After(r.freeAt-r.clock.Now()+oneWay, arrived)
}

// interactive lets answers cross the link; each is asked for from the other side.
func (r *run) interactive(interval time.Duration) {
	r.clock.After(r.clock.Exponential(interval), func() {
		if r.clock.Now() >= r.until {
			return
		}
		began := r.clock.Now()
		r.clock.After(oneWay+r.clock.Exponential(service), func() {
			r.transmit(answerBytes, func() { r.latencies = append(r.latencies, r.clock.Now()-began) })
		})
		r.interactive(interval)
	})
}

func (s *sender) begin() {
	if s.run.clock.Now() >= s.run.until {
		return
	}
	s.left = statement
	s.next()
}

// next sends the next chunk when the window and the limit allow it.
func (s *sender) next() {
	if s.left <= 0 || s.ticking || s.underWay+chunk > window {
		return
	}
	s.left -= chunk
	s.underWay += chunk
	s.sent += chunk
	r := s.run
	r.transmit(chunk, func() {
		if r.clock.Now() < r.until {
			r.bulkBytes += chunk
		}
		r.clock.After(oneWay, func() { s.underWay -= chunk; s.next() })
	})
	if s.left <= 0 {
		r.clock.After(r.clock.Exponential(pauseMean), s.begin)
		return
	}
	if s.limit == 0 {
		s.next()
		return
	}
	s.ticking = true
	r.clock.After(seconds(chunk/s.limit), func() { s.ticking = false; s.next() })
}

// control is the receiving side's: once the senders' sum exceeds the budget it
// limits each in proportion to its rate, and sets the limits anew each period.
// Lifting them when the rate falls, as the paper does, would let each
// statement begin with a burst; here limits stay.
func (r *run) control() {
	if r.clock.Now() >= r.until {
		return
	}
	total := 0
	for _, s := range r.senders {
		total += s.sent
	}
	r.limiting = r.limiting || float64(total) > rate*budget*period.Seconds()
	for _, s := range r.senders {
		share := leastShare
		if total > 0 {
			share = max(share, float64(s.sent)/float64(total))
		}
		s.sent = 0
		if r.limiting {
			r.clock.After(oneWay, func() { s.limit = rate * budget * share; s.next() })
		}
	}
	r.clock.After(period, r.control)
}
