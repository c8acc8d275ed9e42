package upstream

import "sync/atomic"

// OpenCause is why a request needed a new connection.
type OpenCause uint8

// Causes.
const (
	// OpenedForLoad: all connections were in use, or there was none yet.
	OpenedForLoad OpenCause = iota
	// OpenedAfterTimeout: an idle connection had reached its idle timeout.
	OpenedAfterTimeout
	// OpenedForSafety: a connection was idle for too long for a non-idempotent request.
	OpenedForSafety
	// OpenedForDistrust: a connection was idle for longer than IdleLimit allows.
	OpenedForDistrust
	// OpenedAfterClose: the server had closed a connection.
	OpenedAfterClose
	// OpenedAfterRefusal: the server had closed a new connection, as beyond its limit.
	OpenedAfterRefusal
	// OpenedAfterCancel: a request had been canceled or had reached its deadline, which
	// ended its connection.
	OpenedAfterCancel
	// OpenedAfterFailure: a connection had ended with a failed request.
	OpenedAfterFailure
	// OpenedForRetry: the request had been sent on the idle connections before.
	OpenedForRetry
	openCauses
)

// String returns the cause as named in metrics.
func (c OpenCause) String() string {
	return [...]string{"load", "timeout", "safety", "distrust", "closed", "refused", "canceled", "failed", "retry"}[c]
}

// Opened counts new connections by cause. Pools may share one. It is safe for concurrent
// use; nil counts nothing.
type Opened struct{ counts [openCauses]atomic.Int64 }

func (o *Opened) add(cause OpenCause) {
	if o != nil {
		o.counts[cause].Add(1)
	}
}

// Counts returns the counts by cause.
func (o *Opened) Counts() map[string]int64 {
	counts := make(map[string]int64, openCauses)
	for cause := range openCauses {
		counts[cause.String()] = o.counts[cause].Load()
	}
	return counts
}
