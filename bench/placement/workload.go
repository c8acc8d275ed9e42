package placement

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"guavacrank.example/control/ownership"
)

const (
	// keyCount is the number of distinct keys of the workload.
	keyCount = 100_000
	// zipfExponent skews the keys' popularity.
	zipfExponent = 0.99
	// hotShare is the share of the service's load that the hot key has.
	hotShare = 0.05
	// requestsPerSecond is the service's load.
	requestsPerSecond = 2000
	// hotKeyName is the key that carries hotShare.
	hotKeyName = "hot-key"
	// reportedKeys is how many frequent keys a VM's sketch reports.
	reportedKeys = 64
)

// workload is the true load of a service: shares of its requests by key.
type workload struct {
	keys     []string
	shares   []float64
	shard    []ownership.UnitID
	position map[string]int // Of a key in the slices above.
	byShard  []float64      // Share of each shard, its overrides included.
}

// newWorkload returns Zipf-distributed keys, with a hot key if asked for.
func newWorkload(shards uint32, withHot bool) *workload {
	w := &workload{position: make(map[string]int), byShard: make([]float64, shards)}
	total := 0.0
	for rank := 1; rank <= keyCount; rank++ {
		share := 1 / math.Pow(float64(rank), zipfExponent)
		w.add("key-"+strconv.Itoa(rank), share, shards)
		total += share
	}
	rest := 1.0
	if withHot {
		rest -= hotShare
	}
	for i := range w.shares {
		w.shares[i] *= rest / total
	}
	if withHot {
		w.add(hotKeyName, hotShare, shards)
	}
	for i, share := range w.shares {
		w.byShard[w.shard[i]] += share
	}
	return w
}

func (w *workload) add(key string, share float64, shards uint32) {
	w.position[key] = len(w.keys)
	w.keys = append(w.keys, key)
	w.shares = append(w.shares, share)
	w.shard = append(w.shard, ownership.UnitID(xxhash.Sum64String(key)%uint64(shards)))
}

// unitShares returns the true share of each unit of the page.
func (w *workload) unitShares(page *ownership.Page) []float64 {
	shares := make([]float64, page.NextUnit)
	copy(shares, w.byShard)
	for _, override := range page.Overrides {
		i := w.position[override.Key]
		shares[w.shard[i]] -= w.shares[i]
		shares[override.Unit] = w.shares[i]
	}
	return shares
}

// sample draws the number of requests of a share in a window.
func sample(random *rand.Rand, share, windowSeconds float64) uint32 {
	mean := share * requestsPerSecond * windowSeconds
	if mean <= 0 {
		return 0
	}
	drawn := mean + random.NormFloat64()*math.Sqrt(mean)
	return uint32(max(0, math.Round(drawn)))
}
