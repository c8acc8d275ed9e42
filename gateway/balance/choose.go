package balance

import (
	"math"
	"time"
)

const (
	// regionCost and zoneCost are added for a server in another region or zone,
	// as shares of the latency objective: traffic between them is billed.
	regionCost = 0.5
	zoneCost   = 0.06
	// regionRTT is the round-trip time that is added for another region.
	regionRTT = 24 * time.Millisecond
	// failureCost is the cost of a failure rate of 1, as a share of the objective.
	failureCost = 1.5
	// defaultLatency is assumed until some server of the service has responded.
	defaultLatency = 50 * time.Millisecond
	// warmUpFactor is how much slower a server that warms up is assumed to be
	// before its first response.
	warmUpFactor = 2
	// jitterDivisor sets the random part of the cost to at most 1/8 of the
	// expected latency, so that VMs do not all choose the same of several similar
	// servers.
	jitterDivisor = 8
)

// Choice is a chosen server with its expected latency.
type Choice struct {
	Server          *Server
	ExpectedLatency time.Duration
}

// Choose returns the server with the lowest cost for a request with the given
// latency objective, or nil. Servers for which excluded returns true are
// skipped. Cold servers, those that refused requests recently and ejected ones are
// chosen only if there is no other, in this order. random seeds the random part of the
// choice. Once something is learned of the servers' capacity, it decides in place of what
// this VM alone knows.
func Choose(now time.Duration, servers []*Server, objective time.Duration, excluded func(*Server) bool, random uint64) Choice {
	return ChooseWithin(now, servers, objective, math.MaxInt64, excluded, random)
}

// ChooseWithin is Choose for a request that has the given time left: it returns a server that
// is expected to take longer only if all are.
func ChooseWithin(now time.Duration, servers []*Server, objective, timeLeft time.Duration, excluded func(*Server) bool, random uint64) Choice {
	return chooseBy((*Server).snapshot, now, servers, objective, timeLeft, excluded, random)
}

// observer returns the state of a server at the time of a choice.
type observer func(*Server, time.Duration) snapshot

// chooseBy is ChooseWithin by what an observer sees of the servers.
func chooseBy(observe observer, now time.Duration, servers []*Server, objective, timeLeft time.Duration, excluded func(*Server) bool, random uint64) Choice {
	if hasEstimate(now, servers) {
		return chooseLearned(observe, now, servers, objective, timeLeft, excluded, random)
	}
	return chooseAlone(observe, now, servers, objective, excluded, random)
}

// chooseAlone is Choose by what this VM alone knows.
func chooseAlone(observe observer, now time.Duration, servers []*Server, objective time.Duration, excluded func(*Server) bool, random uint64) Choice {
	snapshots := make([]snapshot, len(servers))
	mean := meanExpectedLatency(observe, now, servers, snapshots)
	best, bestCost, bestRank := Choice{}, time.Duration(0), 0
	for i, server := range servers {
		if excluded != nil && excluded(server) {
			continue
		}
		snap := snapshots[i]
		if snap.replaced {
			continue
		}
		expected := snap.expectedLatency
		if expected == 0 {
			expected = time.Duration(float64(mean) * snap.confidence)
			if server.WarmUp > 0 {
				expected *= warmUpFactor
			}
		}
		random = random*6364136223846793005 + 1442695040888963407
		cost := expected + distanceCost(server.Distance, objective) +
			time.Duration(failureCost*snap.failureRate*snap.confidence*float64(objective)) +
			time.Duration(uint64(expected/jitterDivisor)*(random>>48)>>16)
		rank := rankOf(snap)
		if best.Server == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestCost, bestRank = Choice{server, expected}, cost, rank
		}
	}
	return best
}

func hasEstimate(now time.Duration, servers []*Server) bool {
	for _, server := range servers {
		if _, ok := server.Estimate(now); ok {
			return true
		}
	}
	return false
}

// ExpectedLatency returns the expected latency of a request to the server, or
// zero if it is unknown.
func ExpectedLatency(now time.Duration, server *Server) time.Duration {
	return server.peek(now).expectedLatency
}

// rankOf returns the rank of a server; a lower rank is chosen first.
func rankOf(snap snapshot) int {
	switch {
	case snap.usable && !snap.cold:
		return 0
	case snap.usable:
		return 1
	case !snap.ejected:
		return 2
	default:
		return 3
	}
}

// meanExpectedLatency fills snapshots and returns the mean expected latency of
// the servers for which it is known.
func meanExpectedLatency(observe observer, now time.Duration, servers []*Server, snapshots []snapshot) time.Duration {
	total, count := time.Duration(0), 0
	for i, server := range servers {
		snapshots[i] = observe(server, now)
		if snapshots[i].expectedLatency > 0 {
			total += snapshots[i].expectedLatency
			count++
		}
	}
	if count == 0 {
		return defaultLatency
	}
	return total / time.Duration(count)
}

func distanceCost(distance Distance, objective time.Duration) time.Duration {
	switch distance {
	case OtherRegion:
		return regionRTT + time.Duration(regionCost*float64(objective))
	case SameRegion:
		return time.Duration(zoneCost * float64(objective))
	default:
		return 0
	}
}
