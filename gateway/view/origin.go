package view

import (
	"sync/atomic"
	"time"
)

// Origin says where the configuration of a view came from.
type Origin struct {
	// Source names the kind of sender, as in the log.
	Source string
	// At is when the configuration came into force, by the process's clock.
	At time.Duration
}

// Confirmation is when this process last knew that its configuration was the newest
// one. It is safe for concurrent use.
type Confirmation struct{ at atomic.Int64 }

// Confirm records that the configuration in force was the newest one at a time of the
// process's clock, which must be positive. Earlier times than the recorded one have no
// effect.
func (c *Confirmation) Confirm(at time.Duration) {
	for known := c.at.Load(); int64(at) > known; known = c.at.Load() {
		if c.at.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// Age returns the time since the last confirmation, and false if there was none.
func (c *Confirmation) Age(now time.Duration) (time.Duration, bool) {
	at := time.Duration(c.at.Load())
	return now - at, at > 0
}
