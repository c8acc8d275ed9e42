package load

import (
	"container/heap"
	"strings"
)

// frequentKeys counts the requests of the most frequent of any number of keys, by the
// method "space-saving" of Metwally and others: when all places are taken, a new key
// takes that of the rarest. A key with more than a share of 1/places of all requests is
// always among them.
type frequentKeys struct {
	places int
	counts map[string]*keyCount
	order  rarestFirst
}

// keyCount is the count of one key. Its requests are at least count - excess and at most
// count: excess are those of the key whose place it took.
type keyCount struct {
	key           string
	count, excess uint64
	index         int // In the heap.
}

func newFrequentKeys(places int) *frequentKeys {
	return &frequentKeys{places: places, counts: make(map[string]*keyCount)}
}

// add counts requests for a key.
func (f *frequentKeys) add(key string, requests uint64) {
	if known := f.counts[key]; known != nil {
		known.count += requests
		heap.Fix(&f.order, known.index)
		return
	}
	if len(f.counts) < f.places {
		added := &keyCount{key: key, count: requests}
		f.counts[key] = added
		heap.Push(&f.order, added)
		return
	}
	rarest := f.order[0]
	delete(f.counts, rarest.key)
	rarest.key, rarest.excess = key, rarest.count
	rarest.count += requests
	f.counts[key] = rarest
	heap.Fix(&f.order, 0)
}

// requests returns the requests that a key had at least.
func (f *frequentKeys) requests(key string) uint64 {
	known := f.counts[key]
	if known == nil {
		return 0
	}
	return known.count - known.excess
}

// reset forgets all counts.
func (f *frequentKeys) reset() {
	clear(f.counts)
	f.order = f.order[:0]
}

// rarestFirst is a heap of counts with the rarest key first; of equally rare ones, the
// first by name, so that the order of a map has no influence.
type rarestFirst []*keyCount

// Len implements heap.Interface.
func (r rarestFirst) Len() int { return len(r) }

// Less implements heap.Interface.
func (r rarestFirst) Less(i, j int) bool {
	if r[i].count != r[j].count {
		return r[i].count < r[j].count
	}
	return strings.Compare(r[i].key, r[j].key) < 0
}

// Swap implements heap.Interface.
func (r rarestFirst) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index, r[j].index = i, j
}

// Push implements heap.Interface.
func (r *rarestFirst) Push(added any) {
	count := added.(*keyCount)
	count.index = len(*r)
	*r = append(*r, count)
}

// Pop implements heap.Interface.
func (r *rarestFirst) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
