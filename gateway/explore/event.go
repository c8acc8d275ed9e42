package explore

import (
	"fmt"
	"slices"
)

// action is what an event does.
type action uint8

// Actions. The first one is the usual event of a state. Those up to endConnection are faults
// of the first prompt call; what follows from them has no price.
const (
	usual action = iota
	lose
	loseAnswer
	holdUp
	takeLate
	holdAnswer
	startLate
	refuse
	endConnection
	// What follows from earlier faults.
	start
	arrive
	answer
	thaw
	heal
	storeReturns
	healServer
	// Faults of servers.
	restartSame
	restartSameUnlisted
	restartOther
	restartOtherUnlisted
	endServer
	endServerDark
	drain
	unlist
	cutServer
	cutServerFull
	// Faults of the leading VM, and of the store.
	kill
	loseVM
	freeze
	cutOff
	resign
	leadAgain
	restore
	outage
	// Faults of daemons.
	cutOffMost
	addDaemons
	removeDaemons
	actions
)

// actionNames are the names of actions in a schedule.
var actionNames = [actions]string{
	"usual", "lose", "lose-answer", "hold-up", "take-late", "hold-answer", "start-late", "refuse", "end-connection",
	"start", "arrive", "answer", "thaw", "heal", "store-returns", "heal-server",
	"restart", "restart-unlisted", "restart-as-other", "restart-as-other-unlisted", "end", "end-dark", "drain", "unlist", "cut-server", "cut-server-full",
	"kill", "lose-vm", "freeze", "cut-off", "resign", "lead-again", "restore", "outage",
	"cut-off-most", "add-daemons", "remove-daemons",
}

// free reports whether an action has no price.
func (a action) free() bool { return a == usual || a >= start && a <= healServer }

// Event is what happens next in a world.
type Event struct {
	action action
	// subject is the number of a call or of a life of a server, the index of a VM, or the
	// number of steps by which the store goes back.
	subject uint64
}

// String returns the event as a schedule names it.
func (e Event) String() string { return fmt.Sprintf("%s %d", actionNames[e.action], e.subject) }

// events lists the events that are possible, the usual one first. Faults are listed only if
// they are wanted.
func (w *world) events(faults bool, found []Event) []Event {
	found = append(found, Event{})
	if at := w.firstPrompt(); at >= 0 {
		if faults {
			found = w.callFaults(&w.calls[at], found)
		}
		return found
	}
	found = w.consequences(found)
	if faults {
		found = w.serverFaults(found)
		found = w.vmFaults(found)
		found = w.storeFaults(found)
		found = w.fleetFaults(found)
	}
	return found
}

// callFaults lists the faults of a prompt call.
func (w *world) callFaults(c *call, found []Event) []Event {
	add := func(chosen ...action) {
		for _, a := range chosen {
			found = append(found, Event{a, c.id})
		}
	}
	switch c.kind {
	case grantCall:
		if c.decided == w.now {
			add(startLate)
		}
		if w.reachesServer(c) {
			add(lose, holdUp, takeLate, holdAnswer)
			if c.grant.Connection == 0 {
				add(refuse)
			} else {
				add(endConnection)
			}
		}
	case releaseCall:
		if at := w.reachableAt(c.release.Address); at >= 0 && !w.resets(c.vm, at) {
			add(lose, holdUp, holdAnswer, refuse)
		}
	case probeCall:
		if !w.cutAt(c.probe.Address) {
			add(lose, refuse)
		}
	case readCall:
		if !w.storeAway {
			add(lose, holdAnswer)
		}
	case writeCall:
		if !w.storeAway {
			add(lose, loseAnswer)
		}
		add(takeLate)
	case yieldCall:
		add(startLate)
	}
	return found
}

// reachesServer reports whether a grant would reach a running server.
func (w *world) reachesServer(c *call) bool {
	if c.grant.Connection == 0 {
		at := w.reachableAt(c.grant.Address)
		return at >= 0 && !w.resets(c.vm, at)
	}
	at := w.connectionAt(c.grant.Connection)
	if at < 0 {
		return false
	}
	s := &w.servers[w.connections[at].server]
	return s.up && !w.cutAt(s.address)
}

// consequences lists the events that follow from earlier faults.
func (w *world) consequences(found []Event) []Event {
	for i := range w.calls {
		c := &w.calls[i]
		runs := w.vms[c.vm].condition == running
		switch {
		case c.phase == unstarted && runs:
			found = append(found, Event{start, c.id})
		case c.phase == inTransit || c.phase == takenLate || c.outlived():
			found = append(found, Event{arrive, c.id})
		case c.phase == answered && c.awaited && runs:
			found = append(found, Event{answer, c.id})
		}
	}
	for at := range w.vms {
		v := &w.vms[at]
		switch {
		case v.condition == frozen:
			found = append(found, Event{thaw, uint64(at)})
		case v.cut:
			found = append(found, Event{heal, uint64(at)})
		}
	}
	for at := range w.servers {
		if w.servers[at].cut && w.latestLife(at) {
			found = append(found, Event{healServer, uint64(at)})
		}
	}
	if w.storeAway {
		found = append(found, Event{storeReturns, 0})
	}
	return found
}

const (
	// maxLives bounds the lives of servers in a world.
	maxLives = 6
	// minUsable is the number of servers that may own keys which are left.
	minUsable = 1
)

// usable counts the servers that may own keys.
func (w *world) usable() int {
	count := 0
	for at := range w.servers {
		if s := &w.servers[at]; s.up && !s.draining {
			count++
		}
	}
	return count
}

func (w *world) serverFaults(found []Event) []Event {
	usable := w.usable()
	for at := range w.servers {
		s := &w.servers[at]
		if !s.up {
			continue
		}
		add := func(chosen ...action) {
			for _, a := range chosen {
				found = append(found, Event{a, uint64(at)})
			}
		}
		if len(w.servers) < maxLives {
			add(restartSame, restartSameUnlisted, restartOther, restartOtherUnlisted)
		}
		if s.draining || usable > minUsable {
			add(endServer, endServerDark)
		}
		if !s.draining && s.listed && usable > minUsable {
			add(drain)
		}
		if s.listed {
			add(unlist)
		}
		if !s.cut {
			add(cutServer, cutServerFull)
		}
	}
	return found
}

func (w *world) vmFaults(found []Event) []Event {
	at := w.elected
	if w.electionAt != 0 || !w.vms[at].reachable() || !w.vms[at].machine.Leading() {
		return found
	}
	others := slices.ContainsFunc(w.vms, func(v vm) bool { return v.name != w.vms[at].name && v.reachable() })
	for a := kill; a <= leadAgain; a++ {
		if (a == kill || a == leadAgain || others) && !(w.storeAway && a >= cutOff) {
			found = append(found, Event{a, uint64(at)})
		}
	}
	if w.fleet.cutWith < 0 && w.fleet.total > 0 && others && !w.storeAway {
		found = append(found, Event{cutOffMost, uint64(at)})
	}
	return found
}

func (w *world) storeFaults(found []Event) []Event {
	if w.storeAway {
		return found
	}
	found = append(found, Event{outage, 0})
	for back := range maxStepsBack {
		if copied := w.store.copies[back]; copied.page != nil {
			found = append(found, Event{restore, uint64(back)})
		}
	}
	return found
}
