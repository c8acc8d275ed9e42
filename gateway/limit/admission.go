package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// idleBurst is how much of its equal part of a limit a VM accumulates without
	// sending: all VMs may use what they have accumulated at the same moment.
	idleBurst = 2 * time.Second
	// surgeFactor is how many times the requests that a share allows at the reported
	// demand a VM may send before the leader knows of a higher demand.
	surgeFactor = 2
	// endedMemory is how long the end of a limit is reported.
	endedMemory = 10 * time.Second
	// minRetryAfter is the shortest time after which a refused request is retried.
	minRetryAfter = 50 * time.Millisecond
)

// Admission decides which requests one VM sends to one server. The zero value is ready
// to use and admits all. It is safe for concurrent use.
type Admission struct {
	mu         sync.Mutex
	limited    bool
	rate       float64
	observedAt time.Duration // Of the newest response, on any VM, that showed limited and rate.
	changedAt  time.Duration // When limited changed last; zero if it never did.

	// demand and sent count requests since reportedAt.
	demand, sent int
	reportedAt   time.Duration

	// share is the leader's share for a limit of shareRate. sendsLeft is the number of
	// requests that may be sent under it.
	share      float64
	shareRate  float64
	shareUntil time.Duration
	sendsLeft  float64
	lastDemand int

	// credit is the part of a request that may be sent by the leader's share, tokens by
	// the VM's equal part of the limit, as of tokensAt.
	credit   float64
	tokens   float64
	tokensAt time.Duration

	// random is the source of randomness; nil means the global one.
	random *rand.Rand
}

// Observe records what a response of the server says of its limit.
func (a *Admission) Observe(now time.Duration, limited bool, rate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(now, now, limited, rate)
}

// observe records an observation made at the given time, if it is the newest.
func (a *Admission) observe(now, observedAt time.Duration, limited bool, rate float64) {
	if !limited && !a.limited && a.changedAt == 0 || observedAt < a.observedAt {
		return
	}
	if limited && !a.limited {
		a.credit, a.tokens, a.tokensAt = a.uniform(), 0, now
	}
	if limited != a.limited {
		a.changedAt = now
	}
	a.limited, a.rate, a.observedAt = limited, rate, observedAt
}

// Admit decides whether a request is sent to the server now. vms is the number of VMs,
// or zero if unknown.
func (a *Admission) Admit(now time.Duration, vms int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand++
	if a.limited && !a.take(now, vms) {
		return false
	}
	a.sent++
	return true
}

// take takes the allowance for one request.
func (a *Admission) take(now time.Duration, vms int) bool {
	if now >= a.shareUntil {
		return a.takeEqualPart(now, vms)
	}
	a.credit += a.effectiveShare()
	if a.credit < 1 {
		return false
	}
	a.credit--
	if a.sendsLeft < 1 {
		return false
	}
	a.sendsLeft--
	return true
}

// effectiveShare returns the leader's share, reduced if the limit has become lower since.
func (a *Admission) effectiveShare() float64 {
	if a.rate < a.shareRate {
		return a.share * usableRate(a.rate) / usableRate(a.shareRate)
	}
	return a.share
}

// takeEqualPart takes from the VM's equal part of the limit. A part of one token admits
// a request with that probability, so that many VMs with small parts stay within the
// limit together.
func (a *Admission) takeEqualPart(now time.Duration, vms int) bool {
	rate := a.equalPart(vms)
	a.tokens = min(a.tokens+rate*(now-a.tokensAt).Seconds(), rate*idleBurst.Seconds())
	a.tokensAt = now
	if a.tokens >= 1 {
		a.tokens--
		return true
	}
	admitted := a.uniform() < a.tokens
	a.tokens = 0
	return admitted
}

// uniform returns a random number in [0, 1).
func (a *Admission) uniform() float64 {
	if a.random == nil {
		return rand.Float64()
	}
	return a.random.Float64()
}

// equalPart returns this VM's part of the limit in requests per second.
func (a *Admission) equalPart(vms int) float64 {
	if vms <= 0 {
		vms = assumedVMs
	}
	return usableRate(a.rate) / float64(vms)
}

// assumedVMs is the number of VMs assumed until the leader reports it.
const assumedVMs = 16

// RetryAfter returns the time after which this VM may send another request to the
// server, at its current demand.
func (a *Admission) RetryAfter(now time.Duration, vms int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	rate := a.equalPart(vms)
	if elapsed := (now - a.reportedAt).Seconds(); now < a.shareUntil && elapsed > 0 {
		rate = max(rate, a.effectiveShare()*float64(a.demand)/elapsed)
	}
	return max(time.Duration(float64(time.Second)/rate), minRetryAfter)
}

// TakeObservation returns the counts since the last call, with the limit, and whether
// there is anything to report: a limit, or one that ended recently.
func (a *Admission) TakeObservation(now time.Duration) (Observation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := Observation{Limited: a.limited, Rate: a.rate, AgeMS: (now - a.observedAt).Milliseconds(), Demand: a.demand, Sent: a.sent}
	a.lastDemand = a.demand
	a.demand, a.sent, a.reportedAt = 0, 0, now
	return o, a.limited || a.changedAt > 0 && now-a.changedAt < endedMemory
}

// Apply puts the leader's decision in force until the given time.
func (a *Admission) Apply(now, until time.Duration, allotment Allotment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(now, now-age(allotment.AgeMS), allotment.Limited, allotment.Rate)
	if !allotment.Decided {
		return
	}
	a.share, a.shareRate, a.shareUntil = allotment.Share, allotment.Rate, until
	a.tokens, a.tokensAt = 0, until
	a.sendsLeft = 1 + surgeFactor*allotment.Share*float64(max(a.lastDemand, 1))
}

// Limit returns the server's limit in requests per second, and whether it has one.
func (a *Admission) Limit() (rate float64, limited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rate, a.limited
}
