package balance

import "time"

const (
	// floorPeriod is half of the time over which the shortest answer counts.
	floorPeriod = 3 * time.Second
	// quickShare is the part of the latency objective below which a server's
	// shortest answer shows that it could answer in time without a queue.
	quickShare = 0.6
	// crowdSlope is how fast the refused share grows with the expected time
	// beyond the objective; crowdMost bounds it, so that a shorter queue is seen.
	crowdSlope = 2.5
	crowdMost  = 0.9
)

// floor is the shortest time to an answer of the last periods.
type floor struct {
	began         time.Duration // Of the running period.
	now, previous time.Duration // Zero without an answer.
}

// add takes the time to one answer.
func (f *floor) add(now, took time.Duration) {
	f.pass(now)
	if f.now == 0 || took < f.now {
		f.now = took
	}
}

// pass begins a new period if one is over.
func (f *floor) pass(now time.Duration) {
	switch {
	case now >= f.began+2*floorPeriod:
		f.previous, f.now, f.began = 0, 0, now
	case now >= f.began+floorPeriod:
		f.previous, f.now, f.began = f.now, 0, now
	}
}

// least returns the shortest time, or zero if nothing was seen.
func (f *floor) least() time.Duration {
	if f.now == 0 || f.previous != 0 && f.previous < f.now {
		return f.previous
	}
	return f.now
}

// ShedFraction returns the share of requests with a latency objective that should
// not be sent to a server now: its queue is so long that answers come late,
// though it works fast enough. It serves as many without them, and in time.
func ShedFraction(now time.Duration, server *Server, objective time.Duration) float64 {
	expected := server.state(now).expected
	if expected <= objective || objective == 0 {
		return 0
	}
	server.mu.Lock()
	server.floor.pass(now)
	least := server.floor.least()
	server.mu.Unlock()
	if least == 0 || float64(least) > quickShare*float64(objective) {
		return 0
	}
	return min(crowdSlope*(float64(expected)/float64(objective)-1), crowdMost)
}
