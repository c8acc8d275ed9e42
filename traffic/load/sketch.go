package load

import (
	"sort"
	"sync"
)

// SampleInterval is the sampling interval of the sketch: it counts one request in SampleInterval.
const SampleInterval = 8

// KeyCount is the estimated number of requests of one key. Requests is at most Error too high.
type KeyCount struct {
	Key      string
	Requests uint32
	Error    uint32
}

// Sketch finds the most frequent keys with the space-saving algorithm
// (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k
// Elements in Data Streams", 2005): a fixed number of counters, and a key without
// a counter takes over the smallest one. It is safe for concurrent use; a
// request that finds it locked is not counted, so that it never blocks.
type Sketch struct {
	mu      sync.Mutex
	entries []KeyCount // A heap by Requests: the smallest is first.
	index   map[string]int
	limit   int
	seen    uint32
}

// NewSketch returns a sketch that holds at most limit keys.
func NewSketch(limit int) *Sketch {
	return &Sketch{
		entries: make([]KeyCount, 0, limit),
		index:   make(map[string]int, limit),
		limit:   limit,
	}
}

// Count records one request of a key.
func (s *Sketch) Count(key string) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	s.seen++
	if s.seen%SampleInterval != 0 {
		return
	}
	if position, ok := s.index[key]; ok {
		s.entries[position].Requests += SampleInterval
		s.siftDown(position)
		return
	}
	if len(s.entries) < s.limit {
		s.entries = append(s.entries, KeyCount{Key: key, Requests: SampleInterval})
		s.index[key] = len(s.entries) - 1
		s.siftUp(len(s.entries) - 1)
		return
	}
	s.replaceSmallest(key)
}

func (s *Sketch) replaceSmallest(key string) {
	smallest := s.entries[0]
	delete(s.index, smallest.Key)
	s.entries[0] = KeyCount{Key: key, Requests: smallest.Requests + SampleInterval, Error: smallest.Requests}
	s.index[key] = 0
	s.siftDown(0)
}

// Take returns at most count keys, most frequent first, and resets the sketch.
func (s *Sketch) Take(count int) []KeyCount {
	s.mu.Lock()
	taken := append([]KeyCount(nil), s.entries...)
	s.entries = s.entries[:0]
	clear(s.index)
	s.mu.Unlock()
	sort.Slice(taken, func(i, j int) bool {
		if taken[i].Requests != taken[j].Requests {
			return taken[i].Requests > taken[j].Requests
		}
		return taken[i].Key < taken[j].Key
	})
	return taken[:min(count, len(taken))]
}

func (s *Sketch) swap(i, j int) {
	s.entries[i], s.entries[j] = s.entries[j], s.entries[i]
	s.index[s.entries[i].Key] = i
	s.index[s.entries[j].Key] = j
}

func (s *Sketch) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.entries[parent].Requests <= s.entries[i].Requests {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *Sketch) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.entries) {
			return
		}
		if right := child + 1; right < len(s.entries) && s.entries[right].Requests < s.entries[child].Requests {
			child = right
		}
		if s.entries[i].Requests <= s.entries[child].Requests {
			return
		}
		s.swap(i, child)
		i = child
	}
}
