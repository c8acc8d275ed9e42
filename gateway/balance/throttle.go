package balance

import (
	"math"
	"time"
)

const (
	// throttleHalfLife is the time in which the weight of a request halves.
	throttleHalfLife = 2 * time.Second
	// throttleAllowance is the ratio of the requests sent to those accepted that is kept to,
	// so that a server with room again is noticed.
	throttleAllowance = 1.1
	// minRefusals is the decayed count of the server's refusals from which requests are refused
	// here: two in a short time. A server that is full for a moment refuses one.
	minRefusals = 1.4
)

// throttle tells which fraction of the requests for a server is refused here, because the server
// would refuse them: adaptive throttling (Beyer et al., Site Reliability Engineering, chapter
// 21). It answers a load beyond the server that can't go elsewhere, as with a key that is
// hotter than its owner: a refusal here is earlier, and takes neither the server's connections
// nor its time.
type throttle struct {
	requests float64 // Decayed count of those that were to be sent.
	accepted float64 // Of those, the ones that the server accepted.
	refused  float64 // Of those, the ones that the server refused.
	at       time.Duration
}

// decay lets earlier requests count less.
func (t *throttle) decay(now time.Duration) {
	if now <= t.at {
		return
	}
	factor := math.Exp2(-float64(now-t.at) / float64(throttleHalfLife))
	t.requests *= factor
	t.accepted *= factor
	t.refused *= factor
	t.at = now
}

// addSent counts a request that the server accepted or refused.
func (t *throttle) addSent(now time.Duration, accepted bool) {
	t.decay(now)
	t.requests++
	if accepted {
		t.accepted++
		return
	}
	t.refused++
}

// addKept counts a request that was refused here.
func (t *throttle) addKept(now time.Duration) {
	t.decay(now)
	t.requests++
}

// fraction returns the fraction of requests to refuse.
func (t *throttle) fraction(now time.Duration) float64 {
	t.decay(now)
	if t.refused < minRefusals {
		return 0
	}
	return max(0, (t.requests-throttleAllowance*t.accepted)/(t.requests+1))
}

// accepted reports whether a result shows that the server accepted the request, and whether it
// shows anything.
func (r Result) accepted() (accepted, known bool) {
	switch r {
	case Refused:
		return false, true
	case Succeeded, ServerError, Incomplete, Canceled:
		return true, true
	}
	return false, false
}

// ThrottledFraction returns the fraction of requests that Throttled refuses.
func (s *Server) ThrottledFraction(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.throttle.fraction(now)
}

// Throttled reports whether a request for a key that is too much for its owner, this server, is
// refused here, given a random number below 1. Other requests must not be throttled: a server that
// refuses part of them without being full (a grey failure) accepts fewer of fewer, too, and where
// many servers are full at times a refusal here would leave slots free.
func (s *Server) Throttled(now time.Duration, random float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if random >= s.throttle.fraction(now) {
		return false
	}
	s.throttle.addKept(now)
	return true
}
