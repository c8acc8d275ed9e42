package limit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// coldRisk is the accepted probability that all VMs together exceed the bound of a
	// cold server in some second, by the randomness of their admissions.
	coldRisk = 1e-6
	// coldBurst is how much of its part of the rate of a cold server a VM accumulates
	// without sending.
	coldBurst = time.Second
	// coldSurgeFactor is by how much the demand for a cold server, at the rate that it
	// takes, may grow before the leader's share has to account for it.
	coldSurgeFactor = 8
	// meanSteps is the number of bisections with which a safe mean is found.
	meanSteps = 40
)

// ColdBound is what a cold server takes from all VMs together: Rate x Overrun + Slack
// requests in any second.
type ColdBound struct {
	Rate    float64
	Overrun float64
	Slack   float64
}

// perSecond returns the highest number of requests in a second.
func (b ColdBound) perSecond() float64 { return b.Rate*b.Overrun + b.Slack }

// safeMean returns the highest mean number of requests in a second that stays within the
// bound, up to coldRisk, if each VM admits its requests at random. By the Chernoff bound
// a sum of mean m exceeds n with a probability of e^(n-m) x (m/n)^n at most.
func (b ColdBound) safeMean() float64 {
	most := b.perSecond()
	low, high := 0.0, most
	for range meanSteps {
		mean := (low + high) / 2
		if most-mean+most*math.Log(mean/most) < math.Log(coldRisk) {
			low = mean
		} else {
			high = mean
		}
	}
	return min(low, b.Rate)
}

// Cold decides which requests one VM sends to one server while the server is cold. The
// zero value is ready to use and admits all. It is safe for concurrent use.
//
// It answers the load that moves to a server which cannot bear it: the requests of many
// VMs that learn of a server at the same moment, of owners that turn cold, and of a zone
// whose servers return together. Without a recent share of the leader each VM keeps to an
// equal part of the rate, of which it has accumulated nothing when it learns that the
// server is cold; with it, to the share of its requests. While the number of VMs is
// unknown it sends nothing: the parts might not add up.
type Cold struct {
	mu    sync.Mutex
	until time.Duration
	rate  float64 // Requests per second of all VMs together.

	demand, sent int // Since the last report.

	share      float64
	shareUntil time.Duration
	credit     float64 // The part of a request that may be sent by the share.
	tokens     float64 // The part of a request that may be sent by the equal part, as of tokensAt.
	tokensAt   time.Duration

	// random is the source of randomness; nil means the global one.
	random *rand.Rand
}

// Set records since when this VM knows that the server is cold, until when, and what it
// takes until then.
func (c *Cold) Set(since, until time.Duration, bound ColdBound) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since >= until {
		c.until = until
		return
	}
	if since >= c.until {
		c.demand, c.sent = 0, 0
		c.share, c.shareUntil = 0, 0
		c.credit, c.tokens, c.tokensAt = c.uniform(), 0, since
	}
	c.until, c.rate = until, bound.safeMean()
}

// Active reports whether the server is cold.
func (c *Cold) Active(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.until
}

// Admit decides whether a request is sent to the server now. vms is the number of VMs,
// or zero if unknown.
func (c *Cold) Admit(now time.Duration, vms int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now >= c.until {
		return true
	}
	c.demand++
	if !c.take(now, vms) {
		return false
	}
	c.sent++
	return true
}

// take takes the allowance for one request.
func (c *Cold) take(now time.Duration, vms int) bool {
	if now < c.shareUntil {
		c.credit += c.share
		if c.credit < 1 {
			return false
		}
		c.credit--
		return true
	}
	part := c.equalPart(vms)
	c.tokens = min(c.tokens+part*(now-c.tokensAt).Seconds(), part*coldBurst.Seconds())
	c.tokensAt = now
	admitted := c.uniform() < c.tokens
	c.tokens = max(c.tokens-1, 0)
	return admitted
}

// equalPart returns this VM's part of the rate. All VMs may send in one second what they
// have accumulated and what this second adds, which together is the server's rate.
func (c *Cold) equalPart(vms int) float64 {
	if vms <= 0 {
		return 0
	}
	return c.rate / (1 + coldBurst.Seconds()) / float64(vms)
}

// uniform returns a random number in [0, 1).
func (c *Cold) uniform() float64 {
	if c.random == nil {
		return rand.Float64()
	}
	return c.random.Float64()
}

// RetryAfter returns the time after which this VM may send another request to the server:
// the end of the cold time at the latest.
func (c *Cold) RetryAfter(now time.Duration, vms int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := c.until - now
	if part := c.equalPart(vms); part > 0 {
		wait = min(wait, time.Duration(float64(time.Second)/part))
	}
	return max(wait, minRetryAfter)
}

// TakeObservation returns the counts since the last call, and whether the server is cold.
func (c *Cold) TakeObservation(now time.Duration) (Observation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := Observation{Cold: true, Limited: true, Rate: c.rate, Demand: c.demand, Sent: c.sent}
	c.demand, c.sent = 0, 0
	return o, now < c.until
}

// Apply puts the leader's decision in force until the given time.
func (c *Cold) Apply(now, until time.Duration, allotment Allotment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !allotment.Decided || now >= c.until {
		return
	}
	c.share, c.shareUntil = allotment.Share, until
	c.tokens, c.tokensAt = 0, until
}
