package keys

import (
	"math"
	"sort"
	"time"
)

const (
	// heatHalfLife is the time after which a request counts half.
	rateHalfLife = 2 * time.Second
	// heatTime is the heat of one request a second, in seconds.
	countPerRate = 2.885 // The half-life divided by the logarithm of 2.
	// leastHeat is the heat below which a key is forgotten.
	minRate = 0.02
)

// heatTable holds how often each key was asked for lately. A key's heat is its
// decayed number of requests.
type rateTable struct {
	byKey     map[uint16]float64
	decayedAt time.Duration
}

func newRateTable() rateTable { return rateTable{byKey: make(map[uint16]float64)} }

func (h *rateTable) add(now time.Duration, requested []uint16) {
	h.decay(now)
	for _, key := range requested {
		h.byKey[key]++
	}
}

func (h *rateTable) decay(now time.Duration) {
	elapsed := now - h.decayedAt
	if elapsed < rateHalfLife/8 {
		return
	}
	h.decayedAt = now
	factor := math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
	for key, rate := range h.byKey {
		if rate *= factor; rate < minRate {
			delete(h.byKey, key)
			continue
		}
		h.byKey[key] = rate
	}
}

// keyHeat is the heat of one key.
type keyRate struct {
	key  uint16
	rate float64
}

// sorted returns the keys with heat in the order of the keys.
func (h *rateTable) sorted() []keyRate {
	all := make([]keyRate, 0, len(h.byKey))
	for key, rate := range h.byKey {
		all = append(all, keyRate{key, rate})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].key < all[j].key })
	return all
}

// within returns the part of sorted heat that lies in a range.
func ratesIn(sorted []keyRate, from, to uint16) []keyRate {
	first := sort.Search(len(sorted), func(i int) bool { return sorted[i].key >= from })
	last := sort.Search(len(sorted), func(i int) bool { return sorted[i].key > to })
	return sorted[first:last]
}

// sum adds up heat.
func sumRates(part []keyRate) float64 {
	total := 0.0
	for _, k := range part {
		total += k.rate
	}
	return total
}
