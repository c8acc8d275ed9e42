package capacity

import (
	"math"
	"time"
)

// Sample is what one VM saw of one server since its last sample.
type Sample struct {
	Server ServerKey
	// Sent counts the requests sent, Served those with a complete response that is no
	// server error, Refused those that the server did not run, Failed all others that
	// ended, apart from those that this VM canceled.
	Sent, Served, Refused, Failed int
	// Withheld counts the requests that this VM refused for want of room at the server.
	Withheld int
	// Busy is the sum of the times that requests were in flight, those included that are
	// still so. Over Served it gives the response time by Little's law, and grows at once
	// when a server stops responding.
	Busy time.Duration
}

// scaled returns the sample multiplied by a factor.
func (s Sample) scaled(factor float64) Sample {
	for _, count := range []*int{&s.Sent, &s.Served, &s.Refused, &s.Failed, &s.Withheld} {
		*count = int(math.Round(factor * float64(*count)))
	}
	s.Busy = time.Duration(factor * float64(s.Busy))
	return s
}

// Meter counts what one VM sees of one server. It is not safe for concurrent use.
type Meter struct {
	inFlight  int
	updatedAt time.Duration
	takenAt   time.Duration // Zero before the first sample.
	current   Sample
	// isOwing reports that earlier samples counted too much time, found at owingSince.
	isOwing    bool
	owingSince time.Duration
}

// Ending is how a request ended.
type Ending uint8

// Endings.
const (
	// Served: the response is complete and not a server error.
	Served Ending = iota
	// Refused: the server did not run the request.
	Refused
	// Failed: anything else, apart from a cancellation by this VM.
	Failed
	// Canceled: by this VM, before a response.
	Canceled
)

// Begin counts the start of a request.
func (m *Meter) Begin(now time.Duration) {
	m.advance(now)
	m.inFlight++
	m.current.Sent++
}

// Withhold counts a request that this VM refused for want of room at the server.
func (m *Meter) Withhold() { m.current.Withheld++ }

// End counts the end of a request. transit is the part of its duration that it spent on the
// way to the server and back.
func (m *Meter) End(now, duration, transit time.Duration, ending Ending) {
	m.advance(now)
	m.inFlight--
	switch ending {
	case Served:
		m.current.Served++
		m.current.Busy -= min(transit, duration)
	case Refused:
		m.current.Refused++
		m.current.Busy -= duration
	case Failed:
		m.current.Failed++
		m.current.Busy -= duration // A server that fails fast must not look fast.
	case Canceled:
		// The time until then is a lower bound of the response time.
	}
}

// advance adds the time since the last update to the requests in flight.
func (m *Meter) advance(now time.Duration) {
	m.current.Busy += time.Duration(m.inFlight) * max(now-m.updatedAt, 0)
	m.updatedAt = now
}

// Take returns the sample since the last call, and whether it says anything. If that was
// longer ago than the given time, the sample is that of a mean part of the time: what many
// VMs counted while there was no leader must not look like the load of the moment.
func (m *Meter) Take(now, longest time.Duration) (Sample, bool) {
	m.advance(now)
	elapsed := now - m.takenAt
	if m.takenAt > 0 && elapsed > longest {
		m.current = m.current.scaled(longest.Seconds() / elapsed.Seconds())
	}
	m.takenAt = now
	taken := m.current
	m.current = Sample{}
	if taken.Busy < 0 {
		m.current.Busy = m.owed(now, taken.Busy)
		taken.Busy = 0
	} else {
		m.isOwing = false
	}
	return taken, taken != Sample{}
}

// owed returns what the next sample must count less: time of requests that earlier samples
// counted. The leader forgets these samples, and so it is owed for lastingTime only: the server
// would look fast long after a hang.
func (m *Meter) owed(now, excess time.Duration) time.Duration {
	if !m.isOwing {
		m.isOwing, m.owingSince = true, now
	}
	if now-m.owingSince < lastingTime {
		return excess
	}
	m.isOwing = false
	return 0
}
