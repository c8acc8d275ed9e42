package admission

import "time"

const (
	// returnedShare is the share of the usual time that callers give below which a caller
	// is taken for one that was refused before and has come back.
	returnedShare = 0.93
	// patienceDecay is how fast the usual time falls where callers give less of it, as a
	// share per request.
	patienceDecay = 0.002
	// patienceRise is how fast the usual time rises where callers give more of it, as a share
	// per request: a few that give far more do not make the others late.
	patienceRise = 0.02
)

// Patience is the time that the callers of one route usually give when they begin: near the
// longest of late. It is not safe for concurrent use. No caller is remembered: one that comes back
// says itself how much of its time is left, and who gives less time than others only to be
// preferred has less time.
type Patience struct{ usual time.Duration }

// Observe records the time that a caller gives, and returns how much of the usual time
// has passed for it already: zero for one that begins. A caller that gives none (zero) is
// taken for one that begins and says nothing of the usual time.
func (p *Patience) Observe(left time.Duration) (passed time.Duration) {
	if left <= 0 {
		return 0
	}
	switch {
	case p.usual == 0:
		p.usual = left
	case left > p.usual:
		p.usual = min(left, p.usual+time.Duration(patienceRise*float64(p.usual)))
	default:
		p.usual -= time.Duration(patienceDecay * float64(p.usual))
	}
	if float64(left) >= returnedShare*float64(p.usual) {
		return 0
	}
	return p.usual - left
}

// ClassOf returns the class of a request of a route with the given priority and latency
// objective, for whose caller some time has passed, at a server that is expected to take the
// given time.
func ClassOf(priority int, passed, expected, objective time.Duration) Class {
	switch {
	case passed == 0:
		return Class{priority, First}
	case passed+expected <= objective:
		return Class{priority, Returned}
	default:
		return Class{priority, Late}
	}
}

const (
	// minReturnShare and maxReturnShare bound the time after which a refused caller comes
	// back, as shares of what its latency objective leaves beside the work: in time to be
	// preferred, and not all at once.
	minReturnShare = 0.15
	maxReturnShare = 0.5
	// minReturn is the shortest time after which a refused caller comes back. Up to as much
	// again is added at random.
	minReturn = 50 * time.Millisecond
)

// RetryAfter returns when a refused caller should come back: not before the server has room
// again, not at once, and, if the objective allows it, in time to be served within it. random
// is between 0 and 1.
func RetryAfter(drain, expected, objective time.Duration, random float64) time.Duration {
	left := max(objective-expected, 0)
	share := minReturnShare + (maxReturnShare-minReturnShare)*random
	shortest := time.Duration((1 + random) * float64(minReturn))
	return max(drain, shortest, time.Duration(share*float64(left)))
}
