package keys

import (
	"math"
	"sort"
	"time"
)

const (
	// heatHalfLife is the time after which a request counts half.
	heatHalfLife = 2 * time.Second
	// heatTime is the heat of one request a second, in seconds.
	heatTime = 2.885 // The half-life divided by the logarithm of 2.
	// leastHeat is the heat below which a key is forgotten.
	leastHeat = 0.02
)

// heatTable holds how often each key was asked for lately. A key's heat is its
// decayed number of requests.
type heatTable struct {
	byKey map[uint16]float64
	at    time.Duration
}

func newHeatTable() heatTable { return heatTable{byKey: make(map[uint16]float64)} }

func (h *heatTable) add(now time.Duration, asked []uint16) {
	h.decay(now)
	for _, key := range asked {
		h.byKey[key]++
	}
}

func (h *heatTable) decay(now time.Duration) {
	passed := now - h.at
	if passed < heatHalfLife/8 {
		return
	}
	h.at = now
	factor := math.Exp2(-passed.Seconds() / heatHalfLife.Seconds())
	for key, heat := range h.byKey {
		if heat *= factor; heat < leastHeat {
			delete(h.byKey, key)
			continue
		}
		h.byKey[key] = heat
	}
}

// keyHeat is the heat of one key.
type keyHeat struct {
	key  uint16
	heat float64
}

// sorted returns the keys with heat in the order of the keys.
func (h *heatTable) sorted() []keyHeat {
	all := make([]keyHeat, 0, len(h.byKey))
	for key, heat := range h.byKey {
		all = append(all, keyHeat{key, heat})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].key < all[j].key })
	return all
}

// within returns the part of sorted heat that lies in a range.
func within(sorted []keyHeat, from, to uint16) []keyHeat {
	first := sort.Search(len(sorted), func(i int) bool { return sorted[i].key >= from })
	last := sort.Search(len(sorted), func(i int) bool { return sorted[i].key > to })
	return sorted[first:last]
}

// sum adds up heat.
func sum(part []keyHeat) float64 {
	total := 0.0
	for _, k := range part {
		total += k.heat
	}
	return total
}
