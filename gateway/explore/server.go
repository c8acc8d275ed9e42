package explore

import (
	"fmt"
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

const (
	// samples is the number of keys that are checked, keysPerSample their distance.
	samples       = 8
	keysPerSample = model.Keys / samples
	// clockDriftPercent is how slow the clocks of servers are.
	clockDriftPercent = 2
	// recordTTL is how long the record of a server that ended stays listed.
	recordTTL = 2400 * time.Millisecond
	// listingDelay is how late a server is listed that is cut off from the store.
	listingDelay = 1500 * time.Millisecond
	// absence is how long a running server is missing from the list.
	absence = 4 * time.Second
	// drainTime is how long a server runs after it began to drain.
	drainTime = 6 * time.Second
	// firstBorn is the start time of the first servers, bornStep that between lives.
	firstBorn = 1000
	bornStep  = 1000
)

// server is one life of a backend server.
type server struct {
	id      string
	address string
	born    int64
	up      bool
	// dark says that its process ended without closing its connections.
	dark     bool
	draining bool
	listed   bool
	// cut says that no VM reaches the server's address, until healAt at the latest. healedAt
	// is when that ended last.
	cut              bool
	healAt, healedAt time.Duration
	// full says that it is beyond its cap of connections when the cut ends. Then it resets
	// new ones until resetUntil.
	full       bool
	resetUntil time.Duration
	// listAt and unlistAt are when its record appears and is removed, endAt when its
	// process ends; zero if not.
	listAt, unlistAt, endAt time.Duration
	holds                   [samples]hold
	seen                    [samples]uint64
}

// hold is the right to a key until a time by the world's clock.
type hold struct {
	fence uint64
	until time.Duration
	// rule is the one that is broken if another server holds the key too, or empty for
	// Holders.
	rule Rule
}

// newServer returns the first server at an address.
func newServer(at int) server {
	id := fmt.Sprintf("i-%d", at+1)
	return server{id: id, address: id + ":1", born: firstBorn, up: true, listed: true}
}

// name names a life of a server.
func (s *server) name() string { return fmt.Sprintf("%s/%d", s.id, s.born/bornStep) }

// record returns the server's record in the store.
func (s *server) record() model.Server {
	return model.Server{ID: s.id, Service: "s", Address: s.address, Zone: "z", Slots: 6, Draining: s.draining, Born: s.born}
}

// list returns the records of the listed servers.
func (w *world) list() []model.Server {
	var listed []model.Server
	for at := range w.servers {
		if w.servers[at].listed {
			listed = append(listed, w.servers[at].record())
		}
	}
	return listed
}

// serverAt returns the running server at an address, or -1.
func (w *world) serverAt(address string) int {
	for at := range w.servers {
		if w.servers[at].up && w.servers[at].address == address {
			return at
		}
	}
	return -1
}

// sampleRange returns the samples within a range of keys.
func sampleRange(from, to uint16) (first, last int) {
	return (int(from) + keysPerSample - 1) / keysPerSample, int(to) / keysPerSample
}

// take has a server take a grant on its arrival.
func (w *world) take(at int, call *keys.GrantCall) keys.Outcome {
	s := &w.servers[at]
	if s.id != call.Server {
		return keys.OtherServer
	}
	first, last := sampleRange(call.From, call.To)
	for key := first; key <= last; key++ {
		if s.seen[key] > call.Fence {
			return keys.FenceRefused
		}
	}
	for key := first; key <= last; key++ {
		s.seen[key] = call.Fence
		w.checkFence(key, at, call)
		w.checkWork(key, at)
	}
	w.hold(at, call, w.now)
	return keys.Accepted
}

// hold gives a server the keys of a grant that arrived at a time. Its clock is slow.
func (w *world) hold(at int, call *keys.GrantCall, arrived time.Duration) {
	s := &w.servers[at]
	until := arrived + call.TTL + call.TTL*clockDriftPercent/100
	first, last := sampleRange(call.From, call.To)
	for key := first; key <= last; key++ {
		held := &s.holds[key]
		if held.until <= w.now {
			held.fence = 0
		}
		if held.until <= until {
			held.rule = ""
		}
		*held = hold{max(call.Fence, held.fence), max(until, held.until), held.rule}
	}
	w.checkHolders()
}

// release has a server release keys, and refuse lower fences from then on. It returns until when it could have held them.
func (w *world) release(at int, c *call) (until time.Duration) {
	s := &w.servers[at]
	first, last := sampleRange(c.release.From, c.release.To)
	for key := first; key <= last; key++ {
		held := s.holds[key]
		if held.until > w.now {
			w.checkRelease(key, at, held.fence, c)
			until = max(until, held.until)
			c.works[key] = true
		}
		s.holds[key] = hold{fence: held.fence}
		s.seen[key] = max(s.seen[key], c.release.Fence)
	}
	return until
}

// holdsKey reports whether a server may begin work on a key.
func (w *world) holdsKey(at, key int) bool {
	return w.servers[at].up && w.servers[at].holds[key].until > w.now
}

// endServer ends a server's process.
func (w *world) endServer(at int, dark bool) {
	s := &w.servers[at]
	s.up, s.dark, s.endAt = false, dark, 0
	if s.listed {
		s.unlistAt = w.now + recordTTL
	}
	if s.listAt != 0 {
		s.listAt = 0
	}
	if !dark && !s.cut {
		w.closeConnections(func(c connection) bool { return c.server == at })
	}
	w.dropArrivals(at)
	s.full, s.resetUntil = false, 0
}

// startServer starts another life at the address of a server that ended.
func (w *world) startServer(after int, sameID, listed bool) {
	earlier := &w.servers[after]
	next := server{id: earlier.id, address: earlier.address, born: earlier.born + bornStep, up: true, listed: listed, cut: earlier.cut, healAt: earlier.healAt, healedAt: earlier.healedAt}
	if !sameID {
		next.id = fmt.Sprintf("n-%d", len(w.servers))
	}
	if !listed {
		next.listAt = w.now + listingDelay
	}
	if sameID && listed {
		earlier.listed, earlier.unlistAt = false, 0 // The record has the later life.
	}
	w.servers = append(w.servers, next)
}
