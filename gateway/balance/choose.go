package balance

import (
	"time"
)

const (
	// regionCost and zoneCost are what a way to another region or zone counts,
	// as parts of the latency objective: bytes between them are paid for.
	regionCost = 0.5
	zoneCost   = 0.06
	// regionRoundTrip is added for the way to another region.
	regionRoundTrip = 24 * time.Millisecond
	// faultCost is what a certain fault counts, as a part of the objective.
	faultCost = 1.5
	// unknownLatency is assumed before any server of the service answered.
	unknownLatency = 50 * time.Millisecond
	// warmUpFactor is how much slower a server is assumed to be after its start.
	warmUpFactor = 2
	// noiseShare spreads the choices of several VMs among similar servers.
	noiseShare = 8
)

// Choice is a chosen server with the time to an answer that is expected there.
type Choice struct {
	Server          *Server
	ExpectedLatency time.Duration
}

// Choose returns the server with the least cost for a request with the given
// latency objective, or nil. Servers for which excluded returns true are left
// out. Servers that fail are taken only if there is no other. random spreads
// equal ones.
func Choose(now time.Duration, servers []*Server, objective time.Duration, excluded func(*Server) bool, random uint64) Choice {
	states := make([]state, len(servers))
	mean := meanExpected(now, servers, states)
	best, bestCost, bestRank := Choice{}, time.Duration(0), 0
	for at, server := range servers {
		if excluded != nil && excluded(server) {
			continue
		}
		st := states[at]
		if st.out {
			continue
		}
		expected := st.expected
		if expected == 0 {
			expected = time.Duration(float64(mean) * st.doubt)
			if server.WarmUp > 0 {
				expected *= warmUpFactor
			}
		}
		random = random*6364136223846793005 + 1442695040888963407
		cost := expected + distanceCost(server.Distance, objective) +
			time.Duration(faultCost*st.faults*st.doubt*float64(objective)) +
			time.Duration(uint64(expected/noiseShare)*(random>>48)>>16)
		rank := rankOf(st)
		if best.Server == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestCost, bestRank = Choice{server, expected}, cost, rank
		}
	}
	return best
}

// ExpectedLatency returns the time to an answer that is expected of one server, or
// zero if nothing is known.
func ExpectedLatency(now time.Duration, server *Server) time.Duration {
	return server.state(now).expected
}

func rankOf(st state) int {
	switch {
	case st.usable:
		return 0
	case !st.ejected:
		return 1
	default:
		return 2
	}
}

// meanExpected fills states and returns the mean expected time of the servers
// that have answered.
func meanExpected(now time.Duration, servers []*Server, states []state) time.Duration {
	total, count := time.Duration(0), 0
	for at, server := range servers {
		states[at] = server.state(now)
		if states[at].expected > 0 {
			total += states[at].expected
			count++
		}
	}
	if count == 0 {
		return unknownLatency
	}
	return total / time.Duration(count)
}

func distanceCost(distance Distance, objective time.Duration) time.Duration {
	switch distance {
	case OtherRegion:
		return regionRoundTrip + time.Duration(regionCost*float64(objective))
	case SameRegion:
		return time.Duration(zoneCost * float64(objective))
	default:
		return 0
	}
}
