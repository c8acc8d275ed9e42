// Package metric records the outcomes and latencies of requests, by service and
// class, and publishes them through expvar. docs/operators/metrics.md lists the names.
package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the recorded times, in microseconds.
const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 2
)

// window holds histograms of the current minute, of the last full one, and of
// all time up to it. It is not safe for concurrent use.
type window struct {
	current, last, all *hdrhistogram.Histogram
}

func newWindow() window {
	create := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return window{current: create(), last: create(), all: create()}
}

// record adds one value; values out of bounds count as the nearest bound.
func (w *window) record(value int64) {
	value = min(max(value, minMicros), maxMicros)
	w.current.RecordValue(value) // Fails only out of bounds.
}

// rotate ends the current minute.
func (w *window) rotate() {
	w.all.Merge(w.current)
	w.current, w.last = w.last, w.current
	w.current.Reset()
}

// Quantiles summarizes a histogram. Times are in microseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P90   int64   `json:"p90"`
	P99   int64   `json:"p99"`
	P999  int64   `json:"p999"`
	Max   int64   `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  h.Mean(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}

// stripes is the number of parts into which a class's histograms are divided,
// to reduce lock contention between cores.
const stripes = 4

// stripe is one part of a class's histograms.
type stripe struct {
	mu      sync.Mutex
	windows [kinds]window
	_       [64]byte // Keeps stripes on different cache lines.
}

func (s *stripe) record(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.windows[total].record(o.Total.Microseconds())
	if o.Attempts > 0 {
		s.windows[queue].record(o.Queue.Microseconds())
		s.windows[backend].record(o.Backend.Microseconds())
		s.windows[attempts].record(int64(o.Attempts))
	}
}

// Kinds of histograms.
const (
	total = iota
	queue
	backend
	attempts
	kinds
)

var kindNames = [kinds]string{"total_us", "queue_us", "backend_us", "attempts"}

// Observation holds the times and sizes of one request.
type Observation struct {
	// Total runs from the request's arrival to the last byte of the response.
	Total time.Duration
	// Queue is the time in servers' queues, over all attempts.
	Queue time.Duration
	// Backend is the time from sending to the response headers, over all attempts.
	Backend time.Duration
	// Attempts is the number of attempts, zero if the request was never sent.
	Attempts int
	// RequestBytes and ResponseBytes are the sizes of the bodies.
	RequestBytes, ResponseBytes int64
}
