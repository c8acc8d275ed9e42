package pipeline

// maxOpen limits the requests of one connection that are served side by side.
const maxOpen = 16

// Turn says whether the response to a request may be written.
type Turn uint8

// Turns.
const (
	// Later is the turn of a request with unanswered ones before it.
	Later Turn = iota
	// Now is the turn of the first unanswered request.
	Now
	// Never is the turn of a request on a connection that has failed: its caller left, or an
	// earlier response closed it.
	Never
)

// Queue is the order of the requests on one connection that are being served. It answers the
// load of callers that send faster than they are answered: it bounds how many requests of
// one connection are served at a time. It is pure: no I/O, clock or goroutine.
//
// Requests have ascending numbers. Its zero value is a connection without requests.
type Queue struct {
	first, next uint64
	// ended says that no more requests are added.
	ended  bool
	failed bool
	// closing are open requests whose response closes the connection.
	closing []uint64
}

// Add adds a request that is about to be served, if one more is allowed.
func (q *Queue) Add() (number uint64, added bool) {
	if q.ended || q.Open() >= maxOpen {
		return 0, false
	}
	q.next++
	return q.next - 1, true
}

// Open returns the number of requests without a complete response.
func (q *Queue) Open() int { return int(q.next - q.first) }

// Failed reports whether no more responses are written.
func (q *Queue) Failed() bool { return q.failed }

// Turn returns the turn of an open request.
func (q *Queue) Turn(number uint64) Turn {
	switch {
	case q.failed || number < q.first:
		return Never
	case number > q.first:
		return Later
	}
	return Now
}

// Answered notes that the response to a request whose turn it was is complete.
func (q *Queue) Answered(number uint64) {
	if q.Turn(number) != Now {
		return
	}
	q.first++
	q.failAtClosing()
}

// Close notes that the response to an open request closes the connection, or that there is
// none. The requests before it are still answered.
func (q *Queue) Close(number uint64) {
	if q.Turn(number) == Never {
		return
	}
	q.ended = true
	q.closing = append(q.closing, number)
	q.failAtClosing()
}

func (q *Queue) failAtClosing() {
	for _, number := range q.closing {
		if number == q.first {
			q.Fail()
		}
	}
}

// End ends the adding of requests.
func (q *Queue) End() { q.ended = true }

// EndAfter ends the adding of requests if an open request is the last one, and reports that.
func (q *Queue) EndAfter(number uint64) bool {
	if number+1 != q.next {
		return false
	}
	q.ended = true
	return true
}

// Fail gives up the connection.
func (q *Queue) Fail() { q.ended, q.failed = true, true }
