package explore

import (
	"slices"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// complete executes and answers a prompt call.
func (w *world) complete(at int) {
	c := w.calls[at]
	w.calls = slices.Delete(w.calls, at, at+1)
	switch c.kind {
	case grantCall:
		if w.open(&c) {
			c.outcome = w.take(c.server, c.grant)
			w.end(&c)
		}
	case releaseCall:
		if w.reach(&c, c.release.Address) {
			w.answerRelease(&c)
		}
	case probeCall:
		w.answerProbe(&c)
	case readCall, writeCall:
		w.callStore(&c)
	case yieldCall:
		w.yield(&c)
	case consultCall:
		w.consult(&c)
	}
}

// open finds or makes the connection of a grant. It returns false if the call can't reach a
// running server, which ends it or lets its caller wait.
func (w *world) open(c *call) bool {
	if c.grant.Connection == 0 {
		return w.openAny(c)
	}
	at := w.connectionAt(c.grant.Connection)
	if at < 0 {
		c.connection, c.outcome = c.grant.Connection, keys.ConnectionEnded
		w.end(c)
		return false
	}
	w.connections[at].busy = true
	c.connection, c.server = c.grant.Connection, w.connections[at].server
	s := &w.servers[c.server]
	if w.cutAt(s.address) {
		w.wait(c, behindCut)
		return false
	}
	if s.up {
		return true
	}
	if w.serverAt(s.address) >= 0 {
		c.outcome = keys.Disconnected // Another process is at the address and resets it.
		w.end(c)
		return false
	}
	w.wait(c, gone)
	return false
}

// reach finds the server that runs at an address. Without one the call ends.
func (w *world) reach(c *call, address string) bool {
	c.server = w.reachableAt(address)
	if c.server >= 0 {
		return true
	}
	dark := w.cutAt(address) || slices.ContainsFunc(w.servers, func(s server) bool { return s.dark && s.address == address })
	switch {
	case c.kind == releaseCall && dark:
		w.wait(c, gone)
	case c.kind == releaseCall:
		w.machine(c.vm).StepReleased(w.now, *c.release, keys.ReleaseNoListener, "")
	case dark:
		c.outcome = keys.Unreachable
		w.wait(c, gone)
	default:
		c.outcome = keys.NoListener
		w.end(c)
	}
	return false
}

// openAny finds an idle connection to the server at a grant's address, or makes one.
func (w *world) openAny(c *call) bool {
	at := w.serverAt(c.grant.Address)
	if at >= 0 && w.cutAt(c.grant.Address) && w.idle(c.vm, at) {
		c.server, c.connection = at, w.connect(c.vm, at)
		w.wait(c, behindCut)
		return false
	}
	if !w.reach(c, c.grant.Address) {
		return false
	}
	if w.resets(c.vm, c.server) {
		c.outcome = keys.Disconnected
		w.end(c)
		return false
	}
	c.connection = w.connect(c.vm, c.server)
	return true
}

// idle reports whether a VM has an idle connection to a server.
func (w *world) idle(vm, server int) bool {
	return slices.ContainsFunc(w.connections, func(c connection) bool { return c.vm == vm && c.server == server && !c.busy })
}

// connect returns an idle connection to a server, or opens one.
func (w *world) connect(vm, server int) port.Connection {
	for at := range w.connections {
		if c := &w.connections[at]; c.vm == vm && c.server == server && !c.busy {
			c.busy = true
			return c.id
		}
	}
	w.nextConnection++
	w.connections = append(w.connections, connection{w.nextConnection, vm, server, true})
	return w.nextConnection
}

func (w *world) connectionAt(id port.Connection) int {
	return slices.IndexFunc(w.connections, func(c connection) bool { return c.id == id })
}

// closeConnections ends some connections.
func (w *world) closeConnections(chosen func(c connection) bool) {
	w.connections = slices.DeleteFunc(w.connections, chosen)
}

// wait keeps a call of which the caller does not have the answer.
func (w *world) wait(c *call, next phase) {
	c.phase = next
	w.calls = append(w.calls, *c)
}

// end gives the caller of a grant its outcome. The connection ends with the call unless the
// server accepted it.
func (w *world) end(c *call) {
	if at := w.connectionAt(c.connection); at >= 0 {
		w.connections[at].busy = false
		if c.outcome != keys.Accepted {
			w.connections = slices.Delete(w.connections, at, at+1)
		}
	}
	w.machine(c.vm).StepGranted(w.now, *c.grant, c.outcome, c.connection)
}

// answerRelease releases keys and answers at once.
func (w *world) answerRelease(c *call) {
	if w.resets(c.vm, c.server) {
		w.machine(c.vm).StepReleased(w.now, *c.release, keys.ReleaseUnanswered, "")
		return
	}
	if w.servers[c.server].id != c.release.Server {
		w.machine(c.vm).StepReleased(w.now, *c.release, keys.HolderEnded, "")
		return
	}
	w.release(c.server, c)
	w.machine(c.vm).StepReleased(w.now, *c.release, keys.Released, "h")
}

// answerProbe names the server at an address.
func (w *world) answerProbe(c *call) {
	at := w.serverAt(c.probe.Address)
	if w.cutAt(c.probe.Address) {
		w.wait(c, gone)
		return
	}
	if w.resets(c.vm, at) {
		w.machine(c.vm).StepProbed(w.now, *c.probe, "", false)
		return
	}
	if at < 0 {
		w.machine(c.vm).StepProbed(w.now, *c.probe, "", true)
		return
	}
	w.machine(c.vm).StepProbed(w.now, *c.probe, w.servers[at].id, false)
}

// answer delivers the answer of a call that was executed.
func (w *world) answer(c *call) {
	switch c.kind {
	case grantCall:
		w.end(c)
	case releaseCall:
		w.machine(c.vm).StepReleased(w.now, *c.release, keys.Released, "h")
	case readCall:
		w.machine(c.vm).StepRead(w.now, c.page, c.position)
	}
}

// giveUp ends the waiting of a call's caller without an answer.
func (w *world) giveUp(c *call) {
	m := w.machine(c.vm)
	unknown := &kvstore.Error{Outcome: kvstore.OutcomeUnknown}
	switch c.kind {
	case grantCall:
		c.outcome = w.failure(c)
		w.end(c)
	case releaseCall:
		m.StepReleased(w.now, *c.release, keys.ReleaseUnanswered, "")
	case probeCall:
		m.StepProbed(w.now, *c.probe, "", false)
	case readCall:
		m.StepReadFailed(w.now)
	case writeCall:
		m.StepWritten(w.now, c.write.Page.WriteID, kvstore.Position{}, unknown)
	}
}

// failure returns the outcome of a grant that got no answer in time.
func (w *world) failure(c *call) keys.Outcome {
	switch {
	case c.phase == unstarted:
		return keys.NotSent
	case c.outcome == keys.Unreachable:
		return keys.Unreachable
	case c.reset || c.phase == takenLate:
		return keys.Disconnected
	}
	return keys.TimedOut
}
