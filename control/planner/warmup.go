package planner

import "time"

const (
	// warmupDuration is the time until a server that joined is given its full
	// share.
	warmupDuration = 60 * time.Second
	// initialFactor is the fraction of its capacity that a server that has just
	// joined counts with.
	initialFactor = 0.25
)

// warmupTracker tracks the servers that joined during the planner's lifetime.
// Servers that were present from the start count as warm.
type warmupTracker struct {
	initialized bool
	joined      map[string]time.Duration // When each warming server joined.
	accepting   map[string]bool
}

func newWarmupTracker() warmupTracker {
	return warmupTracker{joined: make(map[string]time.Duration), accepting: make(map[string]bool)}
}

// observe records the servers that start to accept units. A server that stops
// accepting them is dropped, so that it is warmed up again when it returns.
func (w *warmupTracker) observe(now time.Duration, view View) {
	for _, server := range view.Servers {
		accepts := server.AcceptsUnits && server.KeepsUnits
		if accepts && !w.accepting[server.Name] && w.initialized {
			w.joined[server.Name] = now
		}
		if !accepts {
			delete(w.joined, server.Name)
		}
		w.accepting[server.Name] = accepts
	}
	w.initialized = w.initialized || len(view.Servers) > 0
}

// factor returns the fraction of the server's capacity that may be used, at
// most 1.
func (w *warmupTracker) factor(now time.Duration, server string) float64 {
	at, joined := w.joined[server]
	if !joined || now-at >= warmupDuration {
		return 1
	}
	progress := float64(now-at) / float64(warmupDuration)
	return initialFactor + (1-initialFactor)*progress
}
