package planner

import "time"

const (
	// warmTime is how long a joining server takes to get its whole share.
	warmTime = 60 * time.Second
	// coldFactor is the part of its capacity that a joining server counts at first.
	coldFactor = 0.25
)

// warmth tracks servers that joined while the planner looked on. Servers that
// were there from the start count as warm.
type warmth struct {
	started bool
	joined  map[string]time.Duration // Time at which a known server joined.
	known   map[string]bool
}

func newWarmth() warmth {
	return warmth{joined: make(map[string]time.Duration), known: make(map[string]bool)}
}

// observe notes servers that accept units for the first time. A server that
// stops accepting is forgotten, so that it is warmed again when it returns.
func (w *warmth) observe(now time.Duration, view View) {
	for _, server := range view.Servers {
		accepts := server.AcceptsUnits && server.KeepsUnits
		if accepts && !w.known[server.Name] && w.started {
			w.joined[server.Name] = now
		}
		if !accepts {
			delete(w.joined, server.Name)
		}
		w.known[server.Name] = accepts
	}
	w.started = w.started || len(view.Servers) > 0
}

// factor is the part of the server's capacity that may be used, at most 1.
func (w *warmth) factor(now time.Duration, server string) float64 {
	at, joined := w.joined[server]
	if !joined || now-at >= warmTime {
		return 1
	}
	progress := float64(now-at) / float64(warmTime)
	return coldFactor + (1-coldFactor)*progress
}
