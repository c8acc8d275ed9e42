package balance

import (
	"math"
	"time"
)

// freshHalfLife is how long this VM's own observation tells more than half of what all VMs
// together have learned.
const freshHalfLife = 1000 * time.Millisecond

// freshLatency is the latency of a server's latest responses. The longer ago the last one
// was, the more the next one counts.
type freshLatency struct {
	latency time.Duration
	at      time.Duration
	known   bool
}

// add adds the latency of a response.
func (f *freshLatency) add(now, latency time.Duration) {
	kept := min(f.weight(now), 1-latencyWeight)
	f.latency = latency + time.Duration(kept*float64(f.latency-latency))
	f.at, f.known = now, true
}

// weight returns how much the latency still tells, from 0 to 1.
func (f *freshLatency) weight(now time.Duration) float64 {
	if !f.known {
		return 0
	}
	return math.Exp2(-float64(now-f.at) / float64(freshHalfLife))
}
