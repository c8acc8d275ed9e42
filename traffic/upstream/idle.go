package upstream

import (
	"sync"
	"time"
)

const (
	// leastTrusted is the shortest time without use after which a connection is
	// still taken, whatever was seen.
	leastTrusted = 50 * time.Millisecond
	// trustedPart is the part of the time after which a connection was found
	// dead that others may go unused.
	trustedPart = 4
	// distrustTime is how long a dead connection is kept in mind.
	distrustTime = 10 * time.Second
)

// IdleLimit learns after which time without use servers, or what stands between,
// forget connections without a word. Pools share one, since a fault of the
// network meets many servers at once. It is safe for concurrent use; nil trusts
// every connection.
type IdleLimit struct {
	mu    sync.Mutex
	limit time.Duration
	until time.Time
}

// ReportDead notes that a connection that had been unused for some time was dead.
func (t *IdleLimit) ReportDead(now time.Time, unused time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := max(unused/trustedPart, leastTrusted)
	if now.After(t.until) || limit < t.limit {
		t.limit = limit
	}
	t.until = now.Add(distrustTime)
}

// Allows says whether a connection that was unused for some time may be taken.
func (t *IdleLimit) Allows(now time.Time, unused time.Duration) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.After(t.until) || unused <= t.limit
}
