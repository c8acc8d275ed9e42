// Package budget bounds how often all VMs together send requests to a service
// once more.
//
// Each VM may use its own share: a part of the requests that it received for
// the service in the window, and its part of the fixed slack. The sum over all
// VMs stays within the platform's bound without a message for each request.
package budget

import (
	"sync"
	"time"
)

const (
	// slots is the number of parts of the window.
	slots = 10
	// useShare is the part of the platform's bound that is used, so that clocks
	// and windows that differ between VMs do not add up to more.
	useShare = 0.75
)

// Options configure a Budget.
type Options struct {
	Window time.Duration
	// Ratio is how many repeats a request allows; Slack is added for all VMs.
	Ratio, Slack float64
}

// Budget counts the requests and repeats of every service. It is safe for
// concurrent use.
type Budget struct {
	options Options

	mu       sync.Mutex
	vms      int
	services map[string]*window
}

type window struct {
	at       time.Duration // Start of the newest slot.
	requests [slots]int
	repeats  [slots]int
}

// New returns a budget without slack until the number of VMs is known.
func New(options Options) *Budget {
	return &Budget{options: options, services: make(map[string]*window)}
}

// SetOptions replaces the bounds.
func (b *Budget) SetOptions(options Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options = options
}

// SetVMs takes the number of VMs that share the slack; zero means unknown.
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

// Spend reports whether one more repeat may be sent now, and counts it. spare is
// the part of the budget that must stay for others: 0 takes all.
func (b *Budget) Spend(now time.Duration, service string, spare float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0, 0
	for at := range slots {
		requests += w.requests[at]
		repeats += w.repeats[at]
	}
	allowed := b.options.Ratio * float64(requests)
	if b.vms > 0 {
		allowed += b.options.Slack / float64(b.vms)
	}
	if float64(repeats+1) > allowed*useShare*(1-spare) {
		return false
	}
	w.repeats[0]++
	return true
}

// window returns a service's window with its slots moved on to now.
func (b *Budget) window(now time.Duration, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{at: now}
		b.services[service] = w
	}
	length := b.options.Window / slots
	for now >= w.at+length {
		passed := min(int((now-w.at)/length), slots)
		if passed == slots {
			*w = window{at: now}
			break
		}
		copy(w.requests[1:], w.requests[:slots-1])
		copy(w.repeats[1:], w.repeats[:slots-1])
		w.requests[0], w.repeats[0] = 0, 0
		w.at += length
	}
	return w
}
