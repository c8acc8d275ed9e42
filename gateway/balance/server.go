package balance

import (
	"math"
	"sync"
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/traffic/upstream"
)

// Distance is how far a server stands from this VM.
type Distance uint8

// Distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Result is how a request ended at a server.
type Result uint8

// Results.
const (
	// Succeeded: a whole answer came that is not a fault of the server.
	Succeeded Result = iota
	// ServerError: the server answered with a fault of its own.
	ServerError
	// Incomplete: no whole answer came.
	Incomplete
	// Unreachable: no connection could be made.
	Unreachable
	// Refused: the server had no room.
	Refused
	// NotOwner: the server does not hold the request's key.
	NotOwner
	// Replaced: another server answers at the address; this one is over.
	Replaced
	// Canceled: the request was given up; nothing is learned but its age.
	Canceled
)

const (
	// firstEjection and lastEjection bound how long a server that fails is
	// left out; the time doubles with each failure in a row.
	firstEjection = 250 * time.Millisecond
	lastEjection  = 4 * time.Second
	// brokenInRow is the number of broken answers in a row after which a
	// server is left out; one connection that fails suffices.
	brokenInRow = 3
	// misplacedInRow is the number of requests in a row for keys that a server
	// does not hold after which it is asked for none for lapsePause.
	misplacedInRow = 3
	lapsePause     = 120 * time.Millisecond
	// refusalPause is how long a server that had no room is passed over.
	refusalPause = 40 * time.Millisecond
	// latencyWeight is the weight of one new time to an answer.
	latencyWeight = 0.15
	// trustTime is how long a time to an answer counts in full; after it, it
	// halves every doubtHalfLife.
	trustTime     = 1500 * time.Millisecond
	doubtHalfLife = time.Second
	// faultWeight is the weight of one new answer in the share of faults.
	faultWeight = 0.08
)

// Server is what this VM knows of one life of a backend server. It is safe for
// concurrent use.
type Server struct {
	model.Server
	Distance Distance
	Pool     *upstream.Pool

	mu           sync.Mutex
	inFlight     int
	startSum     time.Duration // Sum of the starts of the requests under way.
	latency      time.Duration // Smoothed; zero before the first answer.
	faults       float64       // Smoothed share of refused, broken and faulty answers.
	failures     int           // In a row.
	ejectedUntil time.Duration
	pausedUntil  time.Duration
	replaced     bool
	misplaced    int // Answers in a row that it does not hold the key.
	lapsedUntil  time.Duration
	observedAt   time.Duration // The last answer, or the first look.
	answers      int
	answerTime   time.Duration
	floor        floor
}

// BeginRequest notes a request on its way and returns a function that notes its end.
func (s *Server) BeginRequest(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.startSum += now
}

// EndRequest notes the end of a request that was started at the given time.
func (s *Server) EndRequest(now, started time.Duration, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.startSum -= started
	took := now - started
	s.observedAt = now
	switch result {
	case Succeeded:
		s.succeeded(now, took)
	case ServerError:
		s.fault(1)
		s.failures = 0
	case Refused:
		s.fault(1)
		s.pausedUntil = now + refusalPause
	case Incomplete:
		s.fault(1)
		s.slower(took)
		if s.failures++; s.failures >= brokenInRow {
			s.eject(now)
		}
	case Unreachable:
		s.failures++
		s.eject(now)
	case NotOwner:
		if s.misplaced++; s.misplaced >= misplacedInRow {
			s.lapsedUntil = now + lapsePause
		}
	case Replaced:
		s.replaced = true
	case Canceled:
		s.slower(took)
	}
}

// LostKeys says whether the server seems to hold none of its keys.
func (s *Server) LostKeys(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.lapsedUntil
}

// Replaced says whether another server was met at the address.
func (s *Server) Replaced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaced
}

func (s *Server) succeeded(now, took time.Duration) {
	s.floor.add(now, took)
	s.fault(0)
	s.failures, s.ejectedUntil = 0, 0
	s.misplaced, s.lapsedUntil = 0, 0
	s.answers++
	s.answerTime += took
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}

// slower counts a request without an answer as one that took at least as long.
func (s *Server) slower(took time.Duration) {
	if took > s.latency {
		s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	}
}

func (s *Server) fault(share float64) { s.faults += faultWeight * (share - s.faults) }

func (s *Server) eject(now time.Duration) {
	life := min(firstEjection<<min(s.failures, 8), lastEjection)
	s.ejectedUntil = now + life
}

// TakeResponseTimes returns the number of answers and their total time since the
// last call.
func (s *Server) TakeResponseTimes() (count int, total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, total = s.answers, s.answerTime
	s.answers, s.answerTime = 0, 0
	return count, total
}

// InFlight returns the number of requests under way.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// state is a server's standing in one choice.
type state struct {
	expected time.Duration // Expected time to an answer; zero if unknown.
	faults   float64
	inFlight int
	usable   bool // Neither left out nor passed over.
	ejected  bool
	out      bool // Never to be used again.
	// doubt shrinks what is expected of a server that was not asked for long,
	// so that it is tried again.
	doubt float64
}

func (s *Server) state(now time.Duration) state {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observedAt == 0 {
		s.observedAt = now
	}
	st := state{inFlight: s.inFlight, faults: s.faults, out: s.replaced}
	st.ejected = now < s.ejectedUntil || s.failures >= brokenInRow && s.inFlight > 0
	st.usable = !st.ejected && now >= s.pausedUntil
	st.doubt = math.Exp2(-float64(max(now-s.observedAt-trustTime, 0)) / float64(doubtHalfLife))
	base := time.Duration(float64(s.latency) * st.doubt)
	if s.inFlight > 0 {
		base = max(base, now-s.startSum/time.Duration(s.inFlight))
	}
	st.expected = base + base*time.Duration(s.inFlight)/time.Duration(max(s.Slots, 1))
	return st
}
