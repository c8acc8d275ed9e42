package balance

import (
	"math"
	"sync"
	"time"

	"guavacrank.example/gateway/availability"
	"guavacrank.example/gateway/capacity"
	"guavacrank.example/gateway/limit"
	"guavacrank.example/gateway/model"
	"guavacrank.example/traffic/upstream"
)

// Distance is the network distance between this VM and a server.
type Distance uint8

// Distances, from near to far.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// String returns the distance in words.
func (d Distance) String() string {
	return [...]string{"same zone", "same region", "other region"}[d]
}

// Result is the result of one request to a server.
type Result uint8

// Results.
const (
	// Succeeded: the response is complete and not a server error.
	Succeeded Result = iota
	// ServerError: the response is a server error.
	ServerError
	// Incomplete: no complete response was received.
	Incomplete
	// Unreachable: no connection could be established.
	Unreachable
	// Refused: the server had no capacity left.
	Refused
	// NotOwner: the server does not hold the request's key.
	NotOwner
	// Replaced: another server uses the address; this server is gone for good.
	Replaced
	// Canceled: the request was canceled. Only its age is used, as a lower bound
	// of the latency.
	Canceled
)

const (
	// minEjection and maxEjection limit how long a failing server is ejected; the
	// time doubles with each consecutive failure.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxConsecutiveFailures is the number of consecutive incomplete responses
	// after which a server is ejected. A single failure to connect suffices.
	maxConsecutiveFailures = 3
	// maxConsecutiveNotOwner is the number of consecutive requests for keys that
	// a server does not hold after which no keyed requests are sent to it for
	// lostKeysPause.
	maxConsecutiveNotOwner = 3
	lostKeysPause          = 120 * time.Millisecond
	// refusalPause is how long other servers are preferred after a refusal.
	refusalPause = 40 * time.Millisecond
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.15
	// fullConfidenceTime is how long an observation counts in full. After that,
	// its weight halves every confidenceHalfLife.
	fullConfidenceTime = 1500 * time.Millisecond
	confidenceHalfLife = time.Second
	// failureWeight is the weight of a new sample in the failure rate.
	failureWeight = 0.08
)

// Server is what this VM knows of one incarnation of a backend server. It is
// safe for concurrent use.
type Server struct {
	model.Server
	// Region is the region of its availability zone; empty if unknown.
	Region   string
	Distance Distance
	Pool     *upstream.Pool
	// Limit admits requests according to the limit that the server names.
	Limit limit.Admission
	// Cold admits requests while the server is cold.
	Cold limit.Cold
	// Availability is what the server says of itself. Nil if nothing is recorded.
	Availability *availability.Server
	estimates    estimates

	mu                  sync.Mutex
	inFlight            int
	startSum            time.Duration // Sum of the start times of the requests in flight.
	latency             time.Duration // Smoothed; zero before the first response.
	fresh               freshLatency
	failureRate         float64 // Smoothed share of refused, incomplete and server-error responses.
	consecutiveFailures int
	ejectedUntil        time.Duration
	pausedUntil         time.Duration
	replaced            bool
	consecutiveNotOwner int
	lostKeysUntil       time.Duration
	observedAt          time.Duration // End of the last request, or the first snapshot.
	responses           int
	responseTime        time.Duration
	minLatency          minLatency
	throttle            throttle
	meter               capacity.Meter
	waiting             int // Requests that wait for the server to get their keys.
}

// BeginRequest records the start of a request.
func (s *Server) BeginRequest(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.startSum += now
	s.meter.Begin(now)
}

// EndRequest records the end of a request that was started at the given time.
func (s *Server) EndRequest(now, started time.Duration, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.startSum -= started
	latency := now - started
	s.meter.End(now, latency, s.transit(), endingOf(result))
	s.observedAt = now
	if accepted, known := result.accepted(); known {
		s.throttle.addSent(now, accepted)
	}
	switch result {
	case Succeeded:
		s.recordSuccess(now, latency)
	case ServerError:
		s.updateFailureRate(1)
		s.consecutiveFailures = 0
	case Refused:
		s.updateFailureRate(1)
		s.pausedUntil = now + refusalPause
	case Incomplete:
		s.updateFailureRate(1)
		s.recordLatencyBound(now, latency)
		if s.consecutiveFailures++; s.consecutiveFailures >= maxConsecutiveFailures {
			s.eject(now)
		}
	case Unreachable:
		s.consecutiveFailures++
		s.eject(now)
	case NotOwner:
		if s.consecutiveNotOwner++; s.consecutiveNotOwner >= maxConsecutiveNotOwner {
			s.lostKeysUntil = now + lostKeysPause
		}
	case Replaced:
		s.replaced = true
	case Canceled:
		s.recordLatencyBound(now, latency)
	}
}

// LostKeys reports whether the server seems to hold none of its keys.
func (s *Server) LostKeys(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.lostKeysUntil
}

// Replaced reports whether another server responded at the server's address.
func (s *Server) Replaced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaced
}

func (s *Server) recordSuccess(now, latency time.Duration) {
	s.minLatency.add(now, latency)
	s.fresh.add(now, latency)
	s.updateFailureRate(0)
	s.consecutiveFailures, s.ejectedUntil = 0, 0
	s.consecutiveNotOwner, s.lostKeysUntil = 0, 0
	s.responses++
	s.responseTime += latency
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
}

// recordLatencyBound records a request without a complete response, whose latency
// would have been at least the given time.
func (s *Server) recordLatencyBound(now, minimum time.Duration) {
	if minimum > s.fresh.latency {
		s.fresh.add(now, minimum)
	}
	if minimum > s.latency {
		s.latency += time.Duration(latencyWeight * float64(minimum-s.latency))
	}
}

// updateFailureRate adds a sample to the failure rate: 1 for a failure, 0 for a
// success.
func (s *Server) updateFailureRate(sample float64) {
	s.failureRate += failureWeight * (sample - s.failureRate)
}

func (s *Server) eject(now time.Duration) {
	ejection := min(minEjection<<min(s.consecutiveFailures, 8), maxEjection)
	s.ejectedUntil = now + ejection
}

// TakeResponseTimes returns the number of successful responses and their total
// latency since the last call.
func (s *Server) TakeResponseTimes() (count int, total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, total = s.responses, s.responseTime
	s.responses, s.responseTime = 0, 0
	return count, total
}

// BeginWait counts a request that waits for the server to get its key, unless as many
// as the limit wait already: the server could not run more of them in time.
func (s *Server) BeginWait(limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= limit {
		return false
	}
	s.waiting++
	return true
}

// EndWait ends a wait for which BeginWait returned true.
func (s *Server) EndWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// snapshot is the state of a server at the time of one choice.
type snapshot struct {
	expectedLatency time.Duration // Zero if unknown.
	failureRate     float64
	inFlight        int
	inFlightAge     time.Duration // Mean time since the start of the requests in flight.
	usable          bool          // Neither ejected nor paused after a refusal.
	ejected         bool
	cold            bool
	replaced        bool // Must not be used again.
	// latency is that of recent responses, and recent how much it tells, from 0 to 1.
	latency time.Duration
	recent  float64
	// confidence is 1 for recent observations and falls towards 0. It scales the
	// expected latency and the failure cost, so that a server that received no
	// requests for a long time is tried again.
	confidence float64
}

func (s *Server) snapshot(now time.Duration) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observedAt == 0 {
		s.observedAt = now
	}
	return s.look(now)
}

// peek is snapshot for one who only looks: it leaves the server as it is.
func (s *Server) peek(now time.Duration) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.look(now)
}

// look returns the server's state. The caller must hold mu.
func (s *Server) look(now time.Duration) snapshot {
	observedAt := s.observedAt
	if observedAt == 0 {
		observedAt = now
	}
	snap := snapshot{cold: s.Cold.Active(now), inFlight: s.inFlight, failureRate: s.failureRate, replaced: s.replaced}
	snap.ejected = now < s.ejectedUntil || s.consecutiveFailures >= maxConsecutiveFailures && s.inFlight > 0
	snap.usable = !snap.ejected && now >= s.pausedUntil
	snap.confidence = math.Exp2(-float64(max(now-observedAt-fullConfidenceTime, 0)) / float64(confidenceHalfLife))
	snap.latency, snap.recent = s.fresh.latency, s.fresh.weight(now)
	base := time.Duration(float64(s.latency) * snap.confidence)
	if s.inFlight > 0 {
		snap.inFlightAge = now - s.startSum/time.Duration(s.inFlight)
		base = max(base, snap.inFlightAge)
	}
	snap.expectedLatency = base + base*time.Duration(s.inFlight)/time.Duration(max(s.Slots, 1))
	return snap
}
