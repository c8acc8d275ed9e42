package upstream

import (
	"sync"
	"time"
)

const (
	// minIdleLimit is the lowest limit that is learned.
	minIdleLimit = 50 * time.Millisecond
	// idleLimitDivisor divides the idle time of a connection that was found
	// dead to give the limit for others.
	idleLimitDivisor = 4
	// idleLimitDuration is how long a limit applies after the last dead connection.
	idleLimitDuration = 10 * time.Second
)

// IdleLimit learns after which idle time servers, or middleboxes on the path,
// drop connections without closing them. Pools share one, since a network fault
// affects many servers at once. It is safe for concurrent use; nil allows every
// connection.
type IdleLimit struct {
	mu    sync.Mutex
	limit time.Duration
	until time.Time
}

// ReportDead records that a connection was found dead after the given idle time.
func (t *IdleLimit) ReportDead(now time.Time, idle time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := max(idle/idleLimitDivisor, minIdleLimit)
	if now.After(t.until) || limit < t.limit {
		t.limit = limit
	}
	t.until = now.Add(idleLimitDuration)
}

// Allows reports whether a connection may be reused after the given idle time.
func (t *IdleLimit) Allows(now time.Time, idle time.Duration) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.After(t.until) || idle <= t.limit
}
