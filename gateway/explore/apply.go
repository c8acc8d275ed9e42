package explore

import (
	"fmt"
	"slices"

	"guavacrank.example/gateway/keys"
)

// apply applies an event. It returns an error if the event is not possible.
func (w *world) apply(e Event) error {
	if !slices.Contains(w.events(true, nil), e) {
		return fmt.Errorf("%s is not possible at %s", e, w.describe())
	}
	w.mustApply(e)
	return nil
}

// mustApply applies an event that is possible.
func (w *world) mustApply(e Event) {
	switch {
	case e.action == usual:
		w.usual()
	case e.action < thaw:
		w.applyToCall(e)
	case e.action == storeReturns:
		w.endOutage()
	case e.action == healServer:
		w.note(e.String() + ": " + w.servers[e.subject].name())
		w.healServer(int(e.subject))
	case e.action < restartSame:
		w.endIsolation(e)
	case e.action < kill:
		w.applyToServer(e)
	case e.action < restore:
		w.applyToVM(e)
	case e.action == outage:
		w.startOutage()
	case e.action == cutOffMost:
		w.note(e.String() + ": " + w.vms[e.subject].name)
		w.cutOffWithMost(int(e.subject))
	case e.action > cutOffMost:
		w.applyToFleet(e)
	default:
		w.restoreStore(int(e.subject))
	}
}

// applyToCall applies an event of a call.
func (w *world) applyToCall(e Event) {
	at := w.find(e.subject)
	if w.trace != nil {
		w.note(fmt.Sprintf("%s: %s", e, w.text(&w.calls[at])))
	}
	switch e.action {
	case startLate:
		w.calls[at].phase = unstarted
		return
	case start:
		w.calls[at].phase = prompt
		return
	}
	c := w.calls[at]
	w.calls = slices.Delete(w.calls, at, at+1)
	switch {
	case e.action == arrive:
		w.arriveBefore(&c)
	case e.action == answer:
		w.answer(&c)
	case c.kind == grantCall:
		w.failGrant(&c, e.action)
	case c.kind == releaseCall:
		w.failRelease(&c, e.action)
	case c.kind == probeCall && e.action == refuse:
		w.machine(c.vm).StepProbed(w.now, *c.probe, "", true)
	default:
		w.failOther(&c, e.action)
	}
}

// arriveBefore has a call arrive before its last time. Its caller may still be waiting.
func (w *world) arriveBefore(c *call) {
	w.arrive(c)
	switch {
	case c.awaited && c.phase == answered && w.vms[c.vm].condition == running:
		w.answer(c)
	case c.awaited:
		w.wait(c, c.phase)
	}
}

func (w *world) failGrant(c *call, a action) {
	switch a {
	case refuse:
		c.outcome = keys.NoListener
		w.end(c)
		return
	case endConnection:
		w.closeConnections(func(other connection) bool { return other.id == c.grant.Connection })
		c.connection, c.outcome = c.grant.Connection, keys.ConnectionEnded
		w.end(c)
		return
	}
	if !w.open(c) {
		return
	}
	switch a {
	case lose:
		w.wait(c, gone)
	case holdUp:
		w.wait(c, inTransit)
	case takeLate:
		w.takeLate(c)
	case holdAnswer:
		c.outcome = w.take(c.server, c.grant)
		w.wait(c, answered)
	}
}

// takeLate has a grant arrive now and be taken later. A server with another ID refuses it.
func (w *world) takeLate(c *call) {
	if w.servers[c.server].id != c.grant.Server {
		c.outcome = keys.OtherServer
		w.end(c)
		return
	}
	c.arrived = w.now
	w.wait(c, takenLate)
}

func (w *world) failRelease(c *call, a action) {
	if a == refuse {
		w.machine(c.vm).StepReleased(w.now, *c.release, keys.ReleaseNoListener, "")
		return
	}
	c.server = w.serverAt(c.release.Address)
	switch a {
	case lose:
		w.wait(c, gone)
	case holdUp:
		w.wait(c, inTransit)
	case holdAnswer:
		if w.servers[c.server].id != c.release.Server {
			w.answerRelease(c)
			return
		}
		c.workUntil = w.release(c.server, c)
		w.wait(c, answered)
	}
}

// failOther applies a fault to a probe or a call to the store.
func (w *world) failOther(c *call, a action) {
	switch a {
	case holdAnswer:
		c.page, c.position = w.store.page, w.position()
		w.wait(c, answered)
	case loseAnswer:
		w.store.write(c.write)
		w.wait(c, gone)
	case takeLate:
		w.wait(c, takenLate)
	default:
		w.wait(c, gone)
	}
}

// endIsolation thaws a VM, or ends its cut.
func (w *world) endIsolation(e Event) {
	at := int(e.subject)
	w.note(e.String() + ": " + w.vms[at].name)
	if e.action == thaw {
		w.thaw(at)
		return
	}
	w.vms[at].cut = false
	w.rejoinFleet(at)
	w.rejoin(at)
}

// applyToServer applies a fault of a server.
func (w *world) applyToServer(e Event) {
	at := int(e.subject)
	s := &w.servers[at]
	w.note(e.String() + ": " + s.name())
	switch e.action {
	case restartSame, restartSameUnlisted, restartOther, restartOtherUnlisted:
		w.endServer(at, false)
		sameID := e.action == restartSame || e.action == restartSameUnlisted
		w.startServer(at, sameID, e.action == restartSame || e.action == restartOther)
	case endServer:
		w.endServer(at, false)
	case endServerDark:
		w.endServer(at, true)
	case drain:
		s.draining, s.endAt = true, w.now+drainTime
	case unlist:
		s.listed, s.listAt = false, w.now+absence
	case cutServer, cutServerFull:
		w.cutServer(at, e.action == cutServerFull)
	}
	w.announceServers()
}

// applyToVM applies a fault of the leading VM.
func (w *world) applyToVM(e Event) {
	at := int(e.subject)
	v := &w.vms[at]
	w.note(e.String() + ": " + v.name)
	switch e.action {
	case kill:
		w.endVM(at)
		v.start(w.now)
	case loseVM:
		w.powerOff(at)
		w.endVM(at)
		v.condition = lost
	case freeze:
		v.condition = frozen
		w.isolate(at)
	case cutOff:
		v.cut = true
		w.isolate(at)
	case resign:
		w.machine(at).Stop()
		w.elect()
	case leadAgain:
		w.machine(at).Stop()
		w.lead(at)
	}
}
