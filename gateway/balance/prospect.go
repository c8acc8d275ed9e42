package balance

import (
	"math/rand/v2"
	"time"

	"guavacrank.example/gateway/capacity"
)

// prospectDraws is the number of choices from which the share of a server is told.
const prospectDraws = 256

// Prospect is what a choice among servers knows of one of them.
type Prospect struct {
	Server *Server
	// Excluded says that the server may not be chosen.
	Excluded bool
	// Estimate is what all VMs together know. It is valid if Learned is set.
	Estimate capacity.Estimate
	Learned  bool
	// Expected is the expected latency by what this VM alone saw; zero if unknown.
	Expected time.Duration
	InFlight int
	// FailureRate is the share of failures among this VM's own requests.
	FailureRate float64
	Cold        bool
	Ejected     bool
	// Paused says that the server refused a request a moment ago.
	Paused bool
	// Replaced says that another server responded at the address.
	Replaced bool
	// Weight is that of a server of which something is learned among those of the best rank
	// in its part: the near servers or the far ones.
	Weight float64
	// Share is the share of choices that take the server now.
	Share float64
}

// Prospects returns what ChooseWithin would go by, in the order of the servers, and a choice
// of the server that it would take most often. It changes nothing.
func Prospects(now time.Duration, servers []*Server, objective, timeLeft time.Duration, excluded func(*Server) bool) ([]Prospect, Choice) {
	prospects := make([]Prospect, len(servers))
	at := make(map[*Server]*Prospect, len(servers))
	for i, server := range servers {
		prospects[i] = server.prospect(now)
		prospects[i].Excluded = excluded(server)
		at[server] = &prospects[i]
	}
	left := func(server *Server) bool { return at[server].Excluded }
	if hasEstimate(now, servers) {
		near, far := splitByRegion(candidatesOf((*Server).peek, now, servers, left))
		for _, part := range [][]candidate{near, far} {
			setWeights(part)
			for _, c := range part {
				at[c.server].Weight = c.weight
			}
		}
	}
	return prospects, drawShares(at, func(random uint64) Choice {
		return chooseBy((*Server).peek, now, servers, objective, timeLeft, left, random)
	})
}

// drawShares sets the shares of servers by repeated choices, and returns the most frequent one.
func drawShares(prospects map[*Server]*Prospect, choose func(random uint64) Choice) Choice {
	var best Choice
	random := rand.New(rand.NewPCG(1, 1))
	for range prospectDraws {
		choice := choose(random.Uint64())
		if choice.Server == nil {
			return choice
		}
		prospect := prospects[choice.Server]
		prospect.Share += 1.0 / prospectDraws
		if best.Server == nil || prospect.Share > prospects[best.Server].Share {
			best = choice
		}
	}
	return best
}

// prospect returns what is known of the server.
func (s *Server) prospect(now time.Duration) Prospect {
	snap := s.peek(now)
	p := Prospect{Server: s, Expected: snap.expectedLatency, InFlight: snap.inFlight, FailureRate: snap.failureRate,
		Cold: snap.cold, Ejected: snap.ejected, Paused: !snap.usable && !snap.ejected, Replaced: snap.replaced}
	p.Estimate, p.Learned = s.Estimate(now)
	return p
}
