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

// At returns the time of the last confirmation by the process's clock, or zero if there
// was none. It is about a view that is loaded later, but not about an earlier one.
func (c *Confirmation) At() time.Duration { return time.Duration(c.at.Load()) }
