package balance

import "time"

const (
	// minLatencyPeriod is half of the window of the minimum latency.
	minLatencyPeriod = 3 * time.Second
	// unqueuedShare is the share of the latency objective below which a server's
	// minimum latency shows that it could meet the objective without a queue.
	unqueuedShare = 0.6
	// shedSlope is how fast the shed fraction grows with the expected latency
	// beyond the objective. maxShedFraction limits it, so that the requests that
	// are still sent show when the queue is shorter.
	shedSlope       = 2.5
	maxShedFraction = 0.9
)

// minLatency tracks the minimum latency over the current and previous period.
type minLatency struct {
	start             time.Duration // Of the current period.
	current, previous time.Duration // Zero without a response.
}

// add records the latency of one response.
func (m *minLatency) add(now, latency time.Duration) {
	m.advance(now)
	if m.current == 0 || latency < m.current {
		m.current = latency
	}
}

// advance starts a new period if the current one is over.
func (m *minLatency) advance(now time.Duration) {
	switch {
	case now >= m.start+2*minLatencyPeriod:
		m.previous, m.current, m.start = 0, 0, now
	case now >= m.start+minLatencyPeriod:
		m.previous, m.current, m.start = m.current, 0, now
	}
}

// value returns the minimum latency, or zero without a response.
func (m *minLatency) value() time.Duration {
	if m.current == 0 || m.previous != 0 && m.previous < m.current {
		return m.previous
	}
	return m.current
}

// ShedFraction returns the fraction of requests with the given latency objective
// that should not be sent to the server now. It is above zero if the server is
// fast enough but its queue delays responses beyond the objective. Shedding
// then costs no throughput, and the remaining requests are served in time.
func ShedFraction(now time.Duration, server *Server, objective time.Duration) float64 {
	expected := server.peek(now).expectedLatency
	if expected <= objective || objective == 0 {
		return 0
	}
	server.mu.Lock()
	server.minLatency.advance(now)
	minimum := server.minLatency.value()
	server.mu.Unlock()
	if minimum == 0 || float64(minimum) > unqueuedShare*float64(objective) {
		return 0
	}
	return min(shedSlope*(float64(expected)/float64(objective)-1), maxShedFraction)
}
