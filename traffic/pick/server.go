// Package pick chooses a backend server of a service that is not divided by
// key, by what this VM sees itself: requests outstanding, latency, refusals
// and failures. A server's own reports are a hint only, and can neither
// attract all traffic nor empty the service.
//
// Time is a reading of a clock that the caller passes.
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
	// ServerError: the server answered with a fault of its own (status 5xx).
	ServerError
	// Failed: no whole answer came.
	Failed
	// Refused: the server or its home's queue had no room.
	Refused
	// Canceled: the caller left; nothing is learned about the server.
	Canceled
)

const (
	// ejectAfter is the number of failures in a row after which a server is
	// left out for a time.
	ejectAfter    = 3
	firstEjection = time.Second
	lastEjection  = 30 * time.Second
	// refusalPause is how long a server that refused is passed over.
	refusalPause = 50 * time.Millisecond
	// hintLife is how long a hint counts.
	hintLife = 5 * time.Second
	// backlogLife is how long a home's word on its queue counts.
	backlogLife = 200 * time.Millisecond
	// unknownLatency is assumed before the first answer. It is low, so that a
	// new server is tried; warming up bounds what it can attract.
	unknownLatency = time.Millisecond
	// latencyWeight is the reciprocal of the weight of one new latency.
	latencyWeight = 8
)

// Server is what this VM has seen of one server. It is safe for concurrent use.
type Server struct {
	mu           sync.Mutex
	outstanding  int
	latency      time.Duration
	ramp         int // Requests allowed at once while the server is warming up.
	failures     int
	ejections    int
	ejectedUntil time.Duration
	pausedUntil  time.Duration
	unwellUntil  time.Duration
	backlog      int
	backlogAt    time.Duration
}

// NewServer returns a server of which nothing is known: it warms up with one
// request at a time.
func NewServer() *Server { return &Server{ramp: 1} }

// BeginRequest notes a request on its way to the server.
func (s *Server) BeginRequest() {
	s.mu.Lock()
	s.outstanding++
	s.mu.Unlock()
}

// EndRequest notes the end of a request. latency runs from the start to the
// answer's head.
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
		s.slower(latency)
		s.failed(now)
	case Refused:
		s.pausedUntil = now + refusalPause
	case Canceled:
		s.slower(latency)
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

// slower counts a request without an answer as one that took at least that long.
func (s *Server) slower(latency time.Duration) {
	if latency > s.latency {
		s.latency += (latency - s.latency) / latencyWeight
	}
}

func (s *Server) failed(now time.Duration) {
	s.failures++
	if s.failures < ejectAfter {
		return
	}
	life := min(firstEjection<<min(s.ejections, 10), lastEjection)
	s.ejections++
	s.ejectedUntil = now + life
	s.ramp = 1
	s.failures = ejectAfter - 1 // One more failure after the time ejects again.
}

// ReportHealth takes the server's own word on its health as a hint: a server that
// calls itself unwell is preferred less for a while.
func (s *Server) ReportHealth(now time.Duration, healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if healthy {
		s.unwellUntil = 0
		return
	}
	s.unwellUntil = now + hintLife
}

// ReportBacklog takes the home's word on how many requests it holds for the server.
func (s *Server) ReportBacklog(now time.Duration, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlog, s.backlogAt = held, now
}

// Eligible says whether the server is not left out for failures.
func (s *Server) Eligible(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.ejectedUntil
}

// Outstanding returns the number of requests on their way.
func (s *Server) Outstanding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outstanding
}

// standing is a server's standing in one choice.
type standing struct {
	cost        time.Duration // Expected time to an answer.
	usable      bool
	well        bool // Not left out for failures.
	outstanding int
}

// unwellFactor makes a server that calls itself unwell look slower.
const unwellFactor = 2

func (s *Server) standing(now time.Duration, slots int) standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	latency := s.latency
	if latency == 0 {
		latency = unknownLatency
	}
	held := s.outstanding
	if now-s.backlogAt < backlogLife {
		held = max(held, s.backlog)
	}
	cost := latency + latency*time.Duration(held)/time.Duration(max(slots, 1))
	if now < s.unwellUntil {
		cost *= unwellFactor
	}
	well := now >= s.ejectedUntil
	return standing{
		cost:        cost,
		well:        well,
		outstanding: s.outstanding,
		usable:      well && now >= s.pausedUntil && s.outstanding < s.ramp,
	}
}
