package keys

import (
	"math"
	"sort"
	"time"
)

const (
	// rateHalfLife is the time in which the weight of a request halves.
	rateHalfLife = 2 * time.Second
	// countPerRate is the decayed count of a steady one request per second.
	countPerRate = 2.885 // The half-life in seconds divided by ln 2.
	// minRate is the count below which a key is dropped.
	minRate = 0.02
)

// rateTable holds the recent request rate of each key as an exponentially
// decayed count of requests.
type rateTable struct {
	byKey     map[uint16]float64
	decayedAt time.Duration
	recent    []recentKey // Those of the last surgeWindow, oldest first.
}

func newRateTable() rateTable { return rateTable{byKey: make(map[uint16]float64)} }

func (t *rateTable) add(now time.Duration, requested []uint16) {
	t.decay(now)
	t.addRecent(now, requested)
	for _, key := range requested {
		t.byKey[key]++
	}
}

func (t *rateTable) decay(now time.Duration) {
	elapsed := now - t.decayedAt
	if elapsed < rateHalfLife/8 {
		return
	}
	t.decayedAt = now
	factor := math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
	for key, rate := range t.byKey {
		if rate *= factor; rate < minRate {
			delete(t.byKey, key)
			continue
		}
		t.byKey[key] = rate
	}
}

// decayedCount is an exponentially decayed count with rateHalfLife.
type decayedCount struct {
	count float64
	at    time.Duration
}

func (c *decayedCount) add(now time.Duration, count float64) {
	c.count, c.at = c.value(now)+count, now
}

func (c *decayedCount) value(now time.Duration) float64 {
	return c.count * math.Exp2(-(now-c.at).Seconds()/rateHalfLife.Seconds())
}

// keyRate is the decayed count of one key.
type keyRate struct {
	key  uint16
	rate float64
}

// sorted returns the counted keys in ascending order.
func (t *rateTable) sorted() []keyRate {
	all := make([]keyRate, 0, len(t.byKey))
	for key, rate := range t.byKey {
		all = append(all, keyRate{key, rate})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].key < all[j].key })
	return all
}

// ratesIn returns the part of the sorted rates whose keys lie in a range.
func ratesIn(sorted []keyRate, from, to uint16) []keyRate {
	first := sort.Search(len(sorted), func(i int) bool { return sorted[i].key >= from })
	last := sort.Search(len(sorted), func(i int) bool { return sorted[i].key > to })
	return sorted[first:last]
}

// sumRates returns the sum of the rates.
func sumRates(part []keyRate) float64 {
	total := 0.0
	for _, k := range part {
		total += k.rate
	}
	return total
}
