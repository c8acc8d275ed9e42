package pick

import "time"

// Candidate is a server that may be chosen.
type Candidate struct {
	*Server
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Local reports whether the server is in this VM's region.
	Local bool
	// Limit is the number of requests that this VM may have there at once;
	// zero means no limit.
	Limit int
	// Excluded excludes a server that this request has already tried.
	Excluded bool
}

// regionPenalty is the cost added to a request that crosses regions: a round
// trip, and paid traffic.
const regionPenalty = 100 * time.Millisecond

// Choose returns the index of the candidate with the lowest expected time to a
// response, or -1 without candidates. random breaks ties.
//
// It prefers usable servers, then those that are at their warm-up limit or
// paused. If no server of these is left, or more than half are ejected, it takes
// the one with the fewest outstanding requests: a fault that most servers seem to
// have is more likely to be this VM's.
func Choose(now time.Duration, candidates []Candidate, random uint64) int {
	count := len(candidates)
	if count == 0 {
		return -1
	}
	offset := int(random % uint64(count))
	best, bestRank, bestCost := -1, rankNone, time.Duration(0)
	ejected := 0
	for i := range count {
		at := (offset + i) % count
		candidate := &candidates[at]
		st := candidate.assess(now, candidate.Slots)
		if !st.eligible {
			ejected++
		}
		rank, cost := rankOf(candidate, st), st.cost
		if !candidate.Local {
			cost += regionPenalty
		}
		if rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost = at, rank, cost
		}
	}
	if bestRank >= rankEjected || 2*ejected > count {
		return leastOutstanding(candidates, offset)
	}
	return best
}

// Ranks of candidates, best first.
const (
	rankUsable = iota
	rankBusy
	rankEjected
	rankNone
)

func rankOf(candidate *Candidate, st assessment) int {
	switch {
	case candidate.Excluded:
		return rankNone
	case st.usable && !full(candidate, st):
		return rankUsable
	case st.eligible && !full(candidate, st):
		return rankBusy
	default:
		return rankEjected
	}
}

func full(candidate *Candidate, st assessment) bool {
	return candidate.Limit > 0 && st.outstanding >= candidate.Limit
}

// leastOutstanding returns the candidate with the fewest outstanding requests,
// whatever failures it had.
func leastOutstanding(candidates []Candidate, offset int) int {
	best, least := -1, 0
	for i := range candidates {
		at := (offset + i) % len(candidates)
		if candidates[at].Excluded {
			continue
		}
		if held := candidates[at].Outstanding(); best < 0 || held < least {
			best, least = at, held
		}
	}
	return best
}
