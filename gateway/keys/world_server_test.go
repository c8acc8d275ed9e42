package keys_test

import (
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// fakeServer is a backend server that holds keys as the platform's pages say:
// the time of a grant runs from the arrival of the call, a higher fence that
// was seen refuses a lower one, and a slow clock holds 2 % longer.
type fakeServer struct {
	model.Server
	up  bool
	cut bool // Calls to it are lost on their way.
	// jammed says that a call to it was held up on its way.
	jammed bool
	// lastSeen is when it last renewed its record, which stays for three
	// heartbeats.
	lastSeen time.Duration
	holds    []held
	seen     map[uint16]uint64 // Highest fence, for sampled keys.
}

// held is a range that a server holds.
type held struct {
	from, to uint16
	fence    uint64
	until    time.Duration
}

// hold notes a grant whose time runs from its arrival, on a slow clock.
func (s *fakeServer) hold(order keys.GrantCall, arrived time.Duration) {
	fresh := held{order.From, order.To, order.Fence, arrived + order.Hold + order.Hold*2/100}
	for at, h := range s.holds {
		if h.from == fresh.from && h.to == fresh.to {
			fresh.until = max(fresh.until, h.until)
			s.holds[at] = fresh
			return
		}
	}
	s.holds = append(s.holds, fresh)
}

// drop ends a server's holds on a range.
func (s *fakeServer) drop(from, to uint16) {
	var kept []held
	for _, h := range s.holds {
		if h.to < from || h.from > to {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, held{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			kept = append(kept, held{to + 1, h.to, h.fence, h.until})
		}
	}
	s.holds = kept
}

func (s *fakeServer) holding(key uint16, now time.Duration) bool {
	for _, h := range s.holds {
		if h.from <= key && key <= h.to && h.until > now {
			return true
		}
	}
	return false
}
