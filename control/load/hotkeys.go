package load

import (
	"cmp"
	"slices"
	"time"
)

const (
	// windowsToIsolate is the number of consecutive windows in which a key must be
	// hot to be isolated.
	windowsToIsolate = 2
	// windowsToMerge is the number of consecutive windows in which an isolated key
	// must be cold to be merged.
	windowsToMerge = 60
	// coldFraction is the fraction of the hot share below which a key is cold.
	coldFraction = 0.25
	// maxTrackedKeys limits the number of keys counted in one window; the most
	// frequent ones are.
	maxTrackedKeys = 4096
	// minRequests is the minimum number of requests in a window for a key to count
	// as hot.
	minRequests = 20
)

// HotKeys tracks the frequent keys of one service over counting windows.
type HotKeys struct {
	counts *frequentKeys // Requests in the open window.
	keys   map[string]*keyState
}

type keyState struct {
	hotWindows  int
	coldWindows int
	share       float64 // Share of the service's requests in the last window.
}

// NewHotKeys returns an empty tracker.
func NewHotKeys() *HotKeys {
	return &HotKeys{counts: newFrequentKeys(maxTrackedKeys), keys: make(map[string]*keyState)}
}

// Add adds a number of requests for a frequent key to the open window.
func (h *HotKeys) Add(key string, requests uint32) {
	h.counts.add(key, uint64(requests))
}

// CloseWindow closes a window of the given length in which the service had
// requestsPerSecond, and classifies every key by the hot share (0 to 1).
func (h *HotKeys) CloseWindow(length time.Duration, requestsPerSecond, hotShare float64) {
	total := requestsPerSecond * length.Seconds()
	for key := range h.counts.counts {
		if h.keys[key] == nil {
			h.keys[key] = &keyState{}
		}
	}
	for key, state := range h.keys {
		state.update(h.counts.requests(key), total, hotShare)
		if state.coldWindows > windowsToMerge {
			delete(h.keys, key)
		}
	}
	h.counts.reset()
}

func (s *keyState) update(requests uint64, total, hotShare float64) {
	s.share = 0
	if total > 0 {
		s.share = float64(requests) / total
	}
	if requests >= minRequests && s.share >= hotShare {
		s.hotWindows++
	} else {
		s.hotWindows = 0
	}
	if s.share < hotShare*coldFraction {
		s.coldWindows++
	} else {
		s.coldWindows = 0
	}
}

// Hot returns the keys that have been hot long enough to be isolated, in
// descending order of their share.
func (h *HotKeys) Hot() []string {
	var found []string
	for key, state := range h.keys {
		if state.hotWindows >= windowsToIsolate {
			found = append(found, key)
		}
	}
	slices.SortFunc(found, func(a, b string) int {
		if byShare := cmp.Compare(h.keys[b].share, h.keys[a].share); byShare != 0 {
			return byShare
		}
		return cmp.Compare(a, b)
	})
	return found
}

// Cold reports whether an isolated key has been cold long enough to be merged
// into its shard. A key that was never reported is cold.
func (h *HotKeys) Cold(key string) bool {
	state := h.keys[key]
	return state == nil || state.coldWindows >= windowsToMerge
}
