package keys

import (
	"math"
	"slices"
	"time"
)

const (
	// surgeWindow is the time over which requests are counted to see that a range's rate has
	// changed since the decayed counts of its keys could follow.
	surgeWindow = time.Second
	// surgeSignificance is the number of standard deviations by which the requests of the
	// window must differ from those expected by the decayed counts.
	surgeSignificance = 4
	// minSurge is the least difference in requests.
	minSurge = 5
)

// recentKey is the key of a request and when its report came.
type recentKey struct {
	at  time.Duration
	key uint16
}

// addRecent notes the keys of requests, and forgets those before the window.
func (t *rateTable) addRecent(now time.Duration, requested []uint16) {
	t.dropOld(now)
	for _, key := range requested {
		t.recent = append(t.recent, recentKey{now, key})
	}
}

// dropOld forgets the requests before the window.
func (t *rateTable) dropOld(now time.Duration) {
	from := slices.IndexFunc(t.recent, func(r recentKey) bool { return r.at > now-surgeWindow })
	switch {
	case from < 0:
		t.recent = nil
	case from > 0:
		t.recent = slices.Clone(t.recent[from:])
	}
}

// recentKeys returns the keys of the requests in the window in ascending order.
func (t *rateTable) recentKeys(now time.Duration) []uint16 {
	t.dropOld(now)
	found := make([]uint16, 0, len(t.recent))
	for _, r := range t.recent {
		found = append(found, r.key)
	}
	slices.Sort(found)
	return found
}

// countIn returns how many of the sorted keys lie in a range.
func countIn(sorted []uint16, r Range) int {
	first, _ := slices.BinarySearch(sorted, r.From)
	last, _ := slices.BinarySearchFunc(sorted, int(r.To)+1, func(key uint16, end int) int { return int(key) - end })
	return last - first
}

// followSurges scales the counts of the keys of each range whose requests in the window show
// another rate than they do. It answers keys that become hot or cold at once: the counts alone
// follow in several seconds, and the range would be divided for a part of its load at a time.
func followSurges(counted []keyRate, recent []uint16, ranges []Range) {
	for _, r := range ranges {
		rates := ratesIn(counted, r.From, r.To)
		total := sumRates(rates)
		if total == 0 {
			continue
		}
		expected := total / countPerRate * surgeWindow.Seconds()
		found := float64(countIn(recent, r))
		if math.Abs(found-expected) < max(minSurge, surgeSignificance*math.Sqrt(expected)) {
			continue
		}
		for at := range rates {
			rates[at].rate *= found / expected
		}
	}
}

// limitKeys limits the count of each key to what the server with the greatest capacity takes. A
// key can't use more than one server: what it asks for beyond that is no load for the others,
// and must not hide that one of them is overloaded.
func limitKeys(counted []keyRate, capacity float64) {
	for at := range counted {
		counted[at].rate = min(counted[at].rate, capacity)
	}
}
