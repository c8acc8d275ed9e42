package balance

import (
	"math"
	"time"

	"guavacrank.example/gateway/capacity"
)

const (
	// failurePower is how strongly a server's failures keep requests away from it.
	failurePower = 3
	// weightScale is the precision of a random number between 0 and 1.
	weightScale = 1 << 53
)

// candidate is a server that may be chosen by its estimate.
type candidate struct {
	server   *Server
	snapshot snapshot
	estimate capacity.Estimate
	unknown  bool // No estimate came.
	weight   float64
}

// chooseLearned is Choose among servers of which some have an estimate. All VMs see the same
// estimates, a moment old: each draws two servers at random, by weights that follow the load
// only slowly, and takes the one that does better for this VM than the estimate lets expect.
// Far servers get requests when the near ones are nearly used up.
func chooseLearned(observe observer, now time.Duration, servers []*Server, objective, timeLeft time.Duration, excluded func(*Server) bool, random uint64) Choice {
	candidates := candidatesOf(observe, now, servers, excluded)
	near, far := splitByRegion(candidates)
	numbers := randomNumbers(random)
	pool := near
	if len(near) == 0 || numbers.next() < capacity.Spill(sumOf(near), sumOf(far)) && len(far) > 0 {
		pool = far
	}
	if len(pool) == 0 {
		return Choice{}
	}
	total := setWeights(pool)
	first, second := draw(pool, total*numbers.next()), draw(pool, total*numbers.next())
	if second.excess(objective) < first.excess(objective) {
		first = second
	}
	if first.expected() > timeLeft {
		first = fastest(candidates)
	}
	return Choice{first.server, first.expected()}
}

// fastest returns the candidate that is expected to respond first. A request must not be
// refused for lack of time because a slow server was drawn for it.
func fastest(candidates []candidate) *candidate {
	best := &candidates[0]
	for i := range candidates[1:] {
		if c := &candidates[i+1]; c.expected() < best.expected() {
			best = c
		}
	}
	return best
}

// splitByRegion divides candidates, whose order it changes, into those of this VM's region and
// the others.
func splitByRegion(candidates []candidate) (near, far []candidate) {
	count := 0
	for i := range candidates {
		if candidates[i].server.Distance != OtherRegion {
			candidates[i], candidates[count] = candidates[count], candidates[i]
			count++
		}
	}
	return candidates[:count], candidates[count:]
}

// sumOf returns what candidates take together.
func sumOf(candidates []candidate) capacity.Sum {
	var sum capacity.Sum
	for i := range candidates {
		sum.Add(candidates[i].estimate)
	}
	return sum
}

// setWeights sets the weights of candidates and returns their sum.
func setWeights(candidates []candidate) float64 {
	rates := make([]float64, len(candidates))
	var sameZone capacity.Sum
	for i := range candidates {
		c := &candidates[i]
		rates[i] = c.estimate.Rate
		if c.server.Distance == SameZone {
			sameZone.Add(c.estimate)
		}
	}
	otherZones := capacity.OtherZoneWeight(sameZone)
	total := 0.0
	for i, weight := range capacity.Weights(rates, sumOf(candidates).Arrival) {
		c := &candidates[i]
		c.weight = weight * math.Pow(1-min(c.estimate.Failures, 1), failurePower)
		if c.server.Distance == SameRegion {
			c.weight *= otherZones
		}
		total += c.weight
	}
	if total > 0 {
		return total
	}
	for i := range candidates { // All fail, or their estimates say nothing: none is better.
		candidates[i].weight = 1
	}
	return float64(len(candidates))
}

// candidatesOf returns the servers of the best rank that are not excluded. One without an
// estimate is taken for the mean of the others.
func candidatesOf(observe observer, now time.Duration, servers []*Server, excluded func(*Server) bool) []candidate {
	candidates := make([]candidate, 0, len(servers))
	best := 0
	for _, server := range servers {
		if excluded != nil && excluded(server) {
			continue
		}
		snap := observe(server, now)
		rank := rankOf(snap)
		if snap.replaced || len(candidates) > 0 && rank > best {
			continue
		}
		if rank < best {
			candidates = candidates[:0]
		}
		best = rank
		estimate, ok := server.Estimate(now)
		candidates = append(candidates, candidate{server: server, snapshot: snap, estimate: estimate, unknown: !ok})
	}
	estimateUnknown(now, candidates, servers)
	return candidates
}

// estimateUnknown sets the estimates of candidates without one.
func estimateUnknown(now time.Duration, candidates []candidate, servers []*Server) {
	var mean capacity.Estimate
	for i := range candidates {
		c := &candidates[i]
		if !c.unknown {
			continue
		}
		if mean.Rate == 0 {
			mean = meanEstimate(now, servers)
		}
		c.estimate = mean
		if c.server.WarmUp > 0 {
			c.estimate.ServiceTime *= warmUpFactor
			c.estimate.Rate /= warmUpFactor
		}
	}
}

// meanEstimate returns the mean of the estimates that may be used.
func meanEstimate(now time.Duration, servers []*Server) capacity.Estimate {
	var sum capacity.Sum
	var serviceTime time.Duration
	for _, server := range servers {
		if estimate, ok := server.Estimate(now); ok {
			sum.Add(estimate)
			serviceTime += estimate.ServiceTime
		}
	}
	if sum.Servers == 0 {
		return capacity.Estimate{}
	}
	n := float64(sum.Servers)
	return capacity.Estimate{ServiceTime: serviceTime / time.Duration(sum.Servers), Rate: sum.Rate / n, Arrival: sum.Arrival / n, InSystem: sum.InSystem / n}
}

// expected returns the expected latency by what this VM saw of the server recently, and by
// the estimate as far as that is long ago.
func (c *candidate) expected() time.Duration {
	learned := float64(c.estimate.ServiceTime)
	own := c.snapshot.recent
	finish := time.Duration(learned + own*(float64(c.snapshot.latency)-learned))
	inFlight := c.snapshot.inFlight
	if inFlight == 0 {
		return finish
	}
	slowest := max(finish, c.snapshot.inFlightAge)
	return slowest + slowest*time.Duration(inFlight)/time.Duration(max(c.server.Slots, 1))
}

// excess returns by how much a request is expected to take longer than the estimate says,
// by what this VM alone knows.
func (c *candidate) excess(objective time.Duration) time.Duration {
	failures := c.snapshot.failureRate * c.snapshot.confidence
	return c.expected() - c.estimate.ServiceTime + time.Duration(failureCost*failures*float64(objective))
}

// draw returns the candidate at a point between 0 and the sum of the weights.
func draw(candidates []candidate, point float64) *candidate {
	for i := range candidates {
		if point -= candidates[i].weight; point < 0 {
			return &candidates[i]
		}
	}
	return &candidates[len(candidates)-1]
}

// randomNumbers is a sequence of random numbers, a linear congruential generator.
type randomNumbers uint64

// next returns a number from 0 to 1.
func (r *randomNumbers) next() float64 {
	*r = *r*6364136223846793005 + 1442695040888963407
	return float64(*r>>11) / weightScale
}
