// Package budget limits how many retries all VMs together send to a service.
//
// Each VM has a budget of its own: a ratio of the requests that it received for
// the service in a sliding window, plus its share of a fixed slack. The total of
// all VMs stays within the platform's limit without coordination per request.
package budget

import (
	"sync"
	"time"
)

const (
	// buckets is the number of buckets of the sliding window.
	buckets = 10
	// usableShare is the share of the platform's limit that the VMs use, so that
	// they stay within it although their clocks and windows differ.
	usableShare = 0.75
)

// Options configure a Budget.
type Options struct {
	Window time.Duration
	// Ratio is the number of retries allowed per request. Slack is a number of
	// retries that is allowed in addition and divided among all VMs.
	Ratio, Slack float64
}

// Budget counts the requests and retries of every service. It is safe for
// concurrent use.
type Budget struct {
	options Options

	mu       sync.Mutex
	vms      int
	services map[string]*window
}

type window struct {
	start    time.Duration // Start of the newest bucket.
	requests [buckets]int
	retries  [buckets]int
}

// New returns a budget. It has no slack until the number of VMs is known.
func New(options Options) *Budget {
	return &Budget{options: options, services: make(map[string]*window)}
}

// SetOptions replaces the options.
func (b *Budget) SetOptions(options Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options = options
}

// SetVMs sets the number of VMs that share the slack; zero means unknown.
func (b *Budget) SetVMs(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = vms
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service).requests[0]++
}

// Spend reports whether a retry may be sent now, and counts it if so. reserve is
// the share of the budget that must remain for other uses; 0 leaves none.
func (b *Budget) Spend(now time.Duration, service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, retries := 0, 0
	for i := range buckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := b.options.Ratio * float64(requests)
	if b.vms > 0 {
		allowed += b.options.Slack / float64(b.vms)
	}
	if float64(retries+1) > allowed*usableShare*(1-reserve) {
		return false
	}
	w.retries[0]++
	return true
}

// window returns a service's window, advanced to now.
func (b *Budget) window(now time.Duration, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{start: now}
		b.services[service] = w
	}
	length := b.options.Window / buckets
	for now >= w.start+length {
		elapsed := min(int((now-w.start)/length), buckets)
		if elapsed == buckets {
			*w = window{start: now}
			break
		}
		copy(w.requests[1:], w.requests[:buckets-1])
		copy(w.retries[1:], w.retries[:buckets-1])
		w.requests[0], w.retries[0] = 0, 0
		w.start += length
	}
	return w
}
