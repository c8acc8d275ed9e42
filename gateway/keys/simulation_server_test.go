package keys_test

import (
	"slices"
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// fakeServer is a backend server that follows the platform's specification: the
// TTL of a grant runs from the arrival of the call, a grant is refused if a higher
// fence was seen, and a slow clock extends the TTL by 2 %.
type fakeServer struct {
	model.Server
	up          bool
	unreachable bool // Calls to it get lost.
	full        bool // It resets new connections.
	// othersReach is the share of the other VMs that reach it while it is unreachable for
	// leaders.
	othersReach float64
	silent      bool // It accepts connections and answers nothing.
	dark        bool // Its process ended without closing its connections.
	// delayedCall reports that a call to it was delayed by congestion.
	delayedCall bool
	// lastSeen is when it last renewed its record, which stays listed for three
	// heartbeat intervals.
	lastSeen   time.Duration
	heldRanges []heldRange
	seen       map[uint16]uint64 // Highest fence of each sampled key.
}

// heldRange is a range that a server holds.
type heldRange struct {
	from, to uint16
	fence    uint64
	until    time.Duration
}

// addRange adds a granted range whose TTL runs from the call's arrival on a slow clock.
func (s *fakeServer) addRange(call keys.GrantCall, arrived time.Duration) {
	added := heldRange{call.From, call.To, call.Fence, arrived + call.TTL + call.TTL*2/100}
	for at, h := range s.heldRanges {
		if h.from == added.from && h.to == added.to {
			added.until = max(added.until, h.until)
			s.heldRanges[at] = added
			return
		}
	}
	s.heldRanges = append(s.heldRanges, added)
}

// release ends the server's hold of released keys, also of those that it holds with a higher
// fence unless keepHigher is set. It refuses grants with lower fences from then on.
func (s *fakeServer) release(call keys.ReleaseCall, keepHigher bool) {
	for _, key := range sampledKeys {
		if key >= call.From && key <= call.To {
			s.seen[key] = max(s.seen[key], call.Fence)
		}
	}
	var kept []heldRange
	for _, h := range s.heldRanges {
		if keepHigher && h.fence > call.Fence {
			kept = append(kept, h)
		}
	}
	s.removeRange(call.From, call.To)
	for _, h := range kept {
		if !slices.Contains(s.heldRanges, h) {
			s.heldRanges = append(s.heldRanges, h)
		}
	}
}

// removeRange removes a range from the held ranges.
func (s *fakeServer) removeRange(from, to uint16) {
	var kept []heldRange
	for _, h := range s.heldRanges {
		if h.to < from || h.from > to {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, heldRange{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			kept = append(kept, heldRange{to + 1, h.to, h.fence, h.until})
		}
	}
	s.heldRanges = kept
}

func (s *fakeServer) holdsKey(key uint16, now time.Duration) bool {
	for _, h := range s.heldRanges {
		if h.from <= key && key <= h.to && h.until > now {
			return true
		}
	}
	return false
}
