package queue

import "time"

// Estimate is a smoothed mean of durations and of their deviation, as TCP
// keeps for round trips (RFC 6298).
type Estimate struct {
	mean      time.Duration
	deviation time.Duration
}

// Add takes one observation into account.
func (e *Estimate) Add(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = d, d/2
		return
	}
	e.deviation += ((e.mean - d).Abs() - e.deviation) / 4
	e.mean += (d - e.mean) / 8
}

// AddAtLeast takes into account that a duration would have been at least d.
func (e *Estimate) AddAtLeast(d time.Duration) {
	if d > e.mean {
		e.Add(d)
	}
}

// Mean returns the smoothed mean, zero without observations.
func (e *Estimate) Mean() time.Duration { return e.mean }

// High returns a value that few observations exceed.
func (e *Estimate) High() time.Duration { return e.mean + 4*e.deviation }
