package explore

import (
	"slices"
	"time"

	"guavacrank.example/gateway/keys"
)

const (
	// deliveryTime bounds how long after the end of a cut the connections of a killed process
	// deliver what they held.
	deliveryTime = 2 * time.Second
	// reachTime is how long after the end of a cut a leader has reached the server: a call that
	// was lost in the cut has timed out, and the next one was answered.
	reachTime = keys.CallTimeout + 2*quantum
	// maxCut is how long a server is cut off at the most.
	maxCut = 6 * time.Second
	// resetTime is how long a server that is beyond its cap resets new connections.
	resetTime = time.Second
)

// cutAt reports whether the VMs are cut off from the servers at an address.
func (w *world) cutAt(address string) bool {
	return slices.ContainsFunc(w.servers, func(s server) bool { return s.cut && s.address == address })
}

// reachableAt returns the running server at an address that the VMs reach, or -1.
func (w *world) reachableAt(address string) int {
	if w.cutAt(address) {
		return -1
	}
	return w.serverAt(address)
}

// outlived reports whether a grant is held by a connection of a process that was killed. One
// whose process runs is dropped when its caller gives it up, which resets the connection.
func (c *call) outlived() bool { return c.phase == behindCut && !c.awaited }

// powerOff drops the grants that a VM's connections hold.
func (w *world) powerOff(vm int) {
	w.calls = slices.DeleteFunc(w.calls, func(c call) bool { return c.vm == vm && c.awaited && c.phase == behindCut })
}

// latestLife reports whether no later server has the address of a server.
func (w *world) latestLife(at int) bool {
	return !slices.ContainsFunc(w.servers[at+1:], func(s server) bool { return s.address == w.servers[at].address })
}

// cutServer cuts a server's address off from all VMs. A full server resets new connections
// for some time afterwards.
func (w *world) cutServer(at int, full bool) {
	s := &w.servers[at]
	s.cut, s.full, s.healAt = true, full, w.now+maxCut
}

// healServer ends the cut of a server. What its connections hold arrives later.
func (w *world) healServer(at int) {
	address := w.servers[at].address
	for i := range w.servers {
		if s := &w.servers[i]; s.address == address {
			if s.full {
				s.resetUntil = w.now + resetTime
			}
			s.cut, s.full, s.healAt, s.healedAt = false, false, 0, w.now
		}
	}
	for i := range w.calls {
		c := &w.calls[i]
		if c.phase != behindCut || w.servers[c.server].address != address {
			continue
		}
		switch {
		case c.outlived():
			c.until, c.decided = w.now+deliveryTime, 0
		case w.now < c.lastEffect():
			c.phase = inTransit
		default:
			c.phase = gone
		}
	}
}

// runCuts ends cuts that have lasted for long enough.
func (w *world) runCuts() bool {
	happened := false
	for at := range w.servers {
		if s := &w.servers[at]; s.cut && w.now >= s.healAt {
			w.note("the cut of " + s.name() + " ends")
			w.healServer(at)
			happened = true
		}
	}
	return happened
}

// resetting reports whether the server at an address is beyond its cap of connections after a
// cut: it resets new ones.
func (w *world) resetting(address string) bool {
	return slices.ContainsFunc(w.servers, func(s server) bool { return s.address == address && w.now < s.resetUntil })
}

// resets reports whether a server resets the connection that a VM opens for a call.
func (w *world) resets(vm, server int) bool {
	return server >= 0 && w.resetting(w.servers[server].address) && !w.idle(vm, server)
}

// hindered returns the rule for what follows from the grant of a killed process that arrives at
// a server now, or nothing if a leader can have reached it.
func (w *world) hindered(at int) Rule {
	s := &w.servers[at]
	switch {
	case s.cut || s.healedAt != 0 && w.now < s.healedAt+reachTime:
		return Unreached
	case s.resetUntil != 0 && w.now < s.resetUntil+reachTime:
		return Capped
	}
	return ""
}

// takeOutlived has a server take a grant that outlived its leader's process.
func (w *world) takeOutlived(c *call) {
	before, rule := w.broken, w.hindered(c.server)
	w.take(c.server, c.grant)
	if rule == "" {
		return
	}
	if w.broken != before {
		w.broken.Rule = rule
	}
	first, last := sampleRange(c.grant.From, c.grant.To)
	for key := first; key <= last; key++ {
		if held := &w.servers[c.server].holds[key]; held.fence == c.grant.Fence {
			held.rule = rule
		}
	}
}
