// Package metric records the outcomes and latencies of requests, by service and
// class, and publishes them through expvar. docs/operators/metrics.md lists the names.
package metric

import (
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the recorded values.
const (
	minValue          = 1
	maxMicros         = 600_000_000
	maxAttempts       = 1000
	significantDigits = 2
)

// maxValue returns the highest value of a kind. A histogram takes about 25 KB if that is a
// time, and 4 KB if it is a number of attempts.
func maxValue(kind int) int64 {
	if kind == attempts {
		return maxAttempts
	}
	return maxMicros
}

func newHistogram(kind int) *hdrhistogram.Histogram {
	return hdrhistogram.New(minValue, maxValue(kind), significantDigits)
}

// histograms holds a histogram of each kind; nil without a value.
type histograms [kinds]*hdrhistogram.Histogram

// record adds one value; values out of bounds count as the nearest bound.
func (h *histograms) record(kind int, value int64) {
	if h[kind] == nil {
		h[kind] = newHistogram(kind)
	}
	value = min(max(value, minValue), maxValue(kind))
	h[kind].RecordValue(value) // Fails only out of bounds.
}

// merge adds the values of one kind of other.
func (h *histograms) merge(kind int, other *histograms) {
	if other[kind] == nil || other[kind].TotalCount() == 0 {
		return
	}
	if h[kind] == nil {
		h[kind] = newHistogram(kind)
	}
	h[kind].Merge(other[kind])
}

// reset removes the values of one kind.
func (h *histograms) reset(kind int) {
	if h[kind] != nil {
		h[kind].Reset()
	}
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

// quantiles summarizes a histogram; nil is an empty one.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h == nil {
		return Quantiles{}
	}
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

// maxStripes is the maximum number of parts into which the histograms of a class's current
// minute are divided, to reduce lock contention between cores.
const maxStripes = 4

// newStripes returns a stripe for each core that the process uses, up to maxStripes.
func newStripes() []stripe { return make([]stripe, min(runtime.GOMAXPROCS(0), maxStripes)) }

// stripe is one part of the histograms of a class's current minute.
type stripe struct {
	mu      sync.Mutex
	current histograms
	_       [64]byte // Keeps stripes on different cache lines.
}

func (s *stripe) record(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.record(total, o.Total.Microseconds())
	if o.Attempts > 0 {
		s.current.record(queue, o.Queue.Microseconds())
		s.current.record(backend, o.Backend.Microseconds())
		s.current.record(attempts, int64(o.Attempts))
	}
}

// addTo adds the values of one kind to those of into.
func (s *stripe) addTo(into *histograms, kind int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	into.merge(kind, &s.current)
}

// moveTo adds the values of one kind to those of into and removes them from the stripe.
func (s *stripe) moveTo(into *histograms, kind int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	into.merge(kind, &s.current)
	s.current.reset(kind)
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
