// Package pick chooses a backend server of a service that is not divided by
// key, by what this VM observes: outstanding requests, latency, refusals and
// failures. A server's health reports are only a hint: they can neither draw
// all traffic to one server nor take all servers out of use.
//
// The caller passes the current time.
package pick

import (
	"sync"
	"time"
)

// Result is how a request ended at a server.
type Result uint8

// Results.
const (
	Succeeded Result = iota
	// ServerError: the server responded with a status 5xx.
	ServerError
	// Failed: no complete response was received.
	Failed
	// Refused: the server or its home's queue had no room.
	Refused
	// Canceled: the caller disconnected; not counted as a failure of the server.
	Canceled
)

const (
	// ejectAfter is the number of failures in a row after which a server is
	// ejected for a time.
	ejectAfter    = 3
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// refusalPause is how long a server is avoided after it refused a request.
	refusalPause = 50 * time.Millisecond
	// healthReportTTL is how long a report of bad health counts.
	healthReportTTL = 5 * time.Second
	// backlogTTL is how long a home's report of its queue counts.
	backlogTTL = 200 * time.Millisecond
	// unknownLatency is assumed before the first response. It is low, so that a
	// new server is tried; the warm-up limits how many requests it gets.
	unknownLatency = time.Millisecond
	// latencyWeight is the reciprocal of the weight of a new sample in the mean latency.
	latencyWeight = 8
)

// Server holds what this VM has observed of one server. It is safe for concurrent use.
type Server struct {
	mu             sync.Mutex
	outstanding    int
	latency        time.Duration
	ramp           int // Requests allowed at once while the server is warming up.
	failures       int
	ejections      int
	ejectedUntil   time.Duration
	pausedUntil    time.Duration
	unhealthyUntil time.Duration
	backlog        int
	backlogAt      time.Duration
}

// NewServer returns a server without observations: its warm-up starts with one
// request at a time.
func NewServer() *Server { return &Server{ramp: 1} }

// BeginRequest records that a request is sent to the server.
func (s *Server) BeginRequest() {
	s.mu.Lock()
	s.outstanding++
	s.mu.Unlock()
}

// EndRequest records the end of a request. latency runs from the start to the
// response headers.
func (s *Server) EndRequest(now time.Duration, result Result, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	switch result {
	case Succeeded:
		s.succeeded(latency)
	case ServerError:
		s.failed(now)
	case Failed:
		s.raiseLatency(latency)
		s.failed(now)
	case Refused:
		s.pausedUntil = now + refusalPause
	case Canceled:
		s.raiseLatency(latency)
	}
}

func (s *Server) succeeded(latency time.Duration) {
	s.failures, s.ejections, s.ejectedUntil = 0, 0, 0
	s.ramp++
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += (latency - s.latency) / latencyWeight
}

// raiseLatency counts a request without a response as one that took at least
// the given time.
func (s *Server) raiseLatency(latency time.Duration) {
	if latency > s.latency {
		s.latency += (latency - s.latency) / latencyWeight
	}
}

func (s *Server) failed(now time.Duration) {
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	duration := min(firstEjection<<min(s.ejections, 10), maxEjection)
	s.ejections++
	s.ejectedUntil = now + duration
	s.ramp = 1
	s.failures = ejectAfter - 1 // One more failure after the ejection ejects again.
}

// ReportHealth records the server's report on its health as a hint: a server that
// reports itself unhealthy is preferred less for healthReportTTL.
func (s *Server) ReportHealth(now time.Duration, healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if healthy {
		s.unhealthyUntil = 0
		return
	}
	s.unhealthyUntil = now + healthReportTTL
}

// ReportBacklog records the home's report of how many requests it holds for the server.
func (s *Server) ReportBacklog(now time.Duration, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlog, s.backlogAt = requests, now
}

// Eligible reports whether the server is not ejected.
func (s *Server) Eligible(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.ejectedUntil
}

// Outstanding returns the number of outstanding requests.
func (s *Server) Outstanding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outstanding
}

// assessment is the state of a server for one choice.
type assessment struct {
	cost        time.Duration // Expected time to a response.
	usable      bool
	eligible    bool // Not ejected.
	outstanding int
}

// unhealthyFactor multiplies the cost of a server that reports itself unhealthy.
const unhealthyFactor = 2

func (s *Server) assess(now time.Duration, slots int) assessment {
	s.mu.Lock()
	defer s.mu.Unlock()
	latency := s.latency
	if latency == 0 {
		latency = unknownLatency
	}
	pending := s.outstanding
	if now-s.backlogAt < backlogTTL {
		pending = max(pending, s.backlog)
	}
	cost := latency + latency*time.Duration(pending)/time.Duration(max(slots, 1))
	if now < s.unhealthyUntil {
		cost *= unhealthyFactor
	}
	eligible := now >= s.ejectedUntil
	return assessment{
		cost:        cost,
		eligible:    eligible,
		outstanding: s.outstanding,
		usable:      eligible && now >= s.pausedUntil && s.outstanding < s.ramp,
	}
}
