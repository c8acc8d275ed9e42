package standin

import (
	"slices"
	"sync"
	"time"
)

// Run is one run of a request at a stand-in server. Times are readings of the
// server's clock; the stand-ins of one machine share it.
type Run struct {
	Server    string `json:"server"`
	Service   string `json:"service"`
	Boot      string `json:"boot"`
	RequestID string `json:"request_id"`
	CallerID  string `json:"caller_id"`
	Attempt   int    `json:"attempt"`
	Unit      uint32 `json:"unit"`
	// HasUnit is false for a request without an ownership unit.
	HasUnit bool          `json:"has_unit"`
	Epoch   uint64        `json:"epoch"`
	Key     string        `json:"key"`
	Class   string        `json:"class"`
	Start   time.Duration `json:"start_ns"`
	// End is zero while the run is under way, or if the server was killed.
	End time.Duration `json:"end_ns"`
	// Granted says that the run began under a valid grant.
	Granted bool `json:"granted"`
	// Cancelled says why the run was cut off; empty: it ran to its end.
	Cancelled Cancellation `json:"cancelled,omitempty"`
}

// Cancellation is the reason why a run was cut off.
type Cancellation string

// Reasons of a cancellation.
const (
	CancelledGrant    Cancellation = "grant"    // The grant ran out.
	CancelledCaller   Cancellation = "caller"   // The caller's connection went away.
	CancelledKill     Cancellation = "kill"     // The server was killed.
	CancelledDeadline Cancellation = "deadline" // The deadline passed.
)

// Records is the stand-ins' own record of every run. It is safe for concurrent
// use; the zero value is ready.
type Records struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns a copy of all runs in order of their start.
func (r *Records) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// Reset forgets all runs.
func (r *Records) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = nil
}

// begin records a run and returns its position.
func (r *Records) begin(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	return len(r.runs) - 1
}

func (r *Records) end(position int, at time.Duration, cancelled Cancellation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position >= len(r.runs) {
		return // Reset came in between.
	}
	r.runs[position].End = at
	r.runs[position].Cancelled = cancelled
}

// Repeated returns the request identifiers that ran more than once, with all
// their runs.
func Repeated(runs []Run) map[string][]Run {
	byRequest := make(map[string][]Run)
	for _, run := range runs {
		byRequest[run.RequestID] = append(byRequest[run.RequestID], run)
	}
	for id, same := range byRequest {
		if len(same) < 2 {
			delete(byRequest, id)
		}
	}
	return byRequest
}

// Overlap is a pair of runs of one key at two servers at the same time.
type Overlap struct{ First, Second Run }

// Overlaps returns the runs of one service and key that overlap in time at two
// different servers. A run without an end counts as ended when it was cut off
// by a kill, otherwise at the time until.
func Overlaps(runs []Run, until time.Duration) []Overlap {
	type keyOfService struct{ service, key string }
	byKey := make(map[keyOfService][]Run)
	for _, run := range runs {
		if run.End == 0 {
			run.End = until
		}
		key := keyOfService{run.Service, run.Key}
		byKey[key] = append(byKey[key], run)
	}
	var overlaps []Overlap
	for _, same := range byKey {
		overlaps = append(overlaps, overlapsOfKey(same)...)
	}
	slices.SortFunc(overlaps, func(a, b Overlap) int { return int(a.Second.Start - b.Second.Start) })
	return overlaps
}

// overlapsOfKey compares each run with the latest-ending earlier run of each
// other server.
func overlapsOfKey(runs []Run) []Overlap {
	slices.SortStableFunc(runs, func(a, b Run) int { return int(a.Start - b.Start) })
	latest := make(map[string]Run)
	var overlaps []Overlap
	for _, run := range runs {
		for server, earlier := range latest {
			if server != run.Server && run.Start < earlier.End {
				overlaps = append(overlaps, Overlap{First: earlier, Second: run})
			}
		}
		if run.End > latest[run.Server].End {
			latest[run.Server] = run
		}
	}
	return overlaps
}
