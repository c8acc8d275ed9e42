package explore

import (
	"fmt"
	"slices"
	"time"

	"guavacrank.example/gateway/keys"
)

// longestStep bounds how much time passes in one event.
const longestStep = time.Second

// usual applies the usual event: the first prompt call is answered, or time passes.
func (w *world) usual() {
	if at := w.firstPrompt(); at >= 0 {
		if w.trace != nil {
			w.note(w.text(&w.calls[at]))
		}
		w.complete(at)
		return
	}
	w.pass()
}

// pass lets time pass until something happens.
func (w *world) pass() {
	for end := w.now + longestStep; w.now < end && w.broken == nil; {
		w.now += quantum
		happened := w.runServers()
		happened = w.runCuts() || happened
		happened = w.runCalls() || happened
		happened = w.runVMs() || happened
		if w.tick() || happened {
			return
		}
	}
}

// runServers changes the list of servers and ends those that have drained.
func (w *world) runServers() bool {
	changed := false
	for at := range w.servers {
		s := &w.servers[at]
		if s.endAt != 0 && w.now >= s.endAt {
			w.endServer(at, false)
			s.listed, s.unlistAt = false, 0
			changed = true
		}
		if s.unlistAt != 0 && w.now >= s.unlistAt {
			s.listed, s.unlistAt = false, 0
			changed = true
		}
		if s.listAt != 0 && w.now >= s.listAt {
			w.listServer(at)
			changed = true
		}
	}
	if changed {
		w.announceServers()
	}
	return changed
}

// listServer puts a server's record into the list, in place of that of an earlier life.
func (w *world) listServer(at int) {
	for i := range w.servers {
		if w.servers[i].id == w.servers[at].id {
			w.servers[i].listed, w.servers[i].unlistAt = false, 0
		}
	}
	w.servers[at].listed, w.servers[at].listAt = true, 0
}

// announceServers tells the leaders that the list of servers has changed.
func (w *world) announceServers() {
	if w.storeAway {
		return
	}
	list := w.list()
	for at := range w.vms {
		if v := &w.vms[at]; v.reachable() && v.machine.Leading() {
			w.machine(at).StepServers(w.now, list, true)
		}
	}
}

// runCalls has calls arrive that are held up for as long as they can be, and ends the
// waiting of callers.
func (w *world) runCalls() bool {
	happened := false
	for i := 0; i < len(w.calls); i++ {
		c := w.calls[i]
		waits := c.awaited && w.vms[c.vm].condition == running && (c.reset || w.now >= c.deadline())
		over := w.now >= c.lastEffect() && (c.phase == inTransit || c.phase == takenLate || c.outlived())
		if !waits && !over {
			if !c.awaited && (c.phase == gone || c.phase == answered && c.workUntil <= w.now) {
				w.remove(&i)
			}
			continue
		}
		happened = true
		w.remove(&i)
		if over {
			w.arrive(&c)
		}
		if waits {
			w.note(w.text(&c) + " gets no answer")
			w.giveUp(&c)
			c.awaited = false
		}
		if c.awaited || c.phase == inTransit || c.phase == takenLate {
			w.calls = append(w.calls, c)
		}
	}
	return happened
}

// remove removes the call at an index and sets it to the one before.
func (w *world) remove(at *int) {
	w.calls = slices.Delete(w.calls, *at, *at+1)
	*at--
}

// arrive executes a call that was held up. Its phase is then that of one that is answered or
// gone.
func (w *world) arrive(c *call) {
	if w.trace != nil {
		w.note(w.text(c) + " has its effect now")
	}
	from := c.phase
	if from == behindCut {
		c.phase = gone
		if w.servers[c.server].up {
			w.takeOutlived(c)
		}
		return
	}
	if c.kind == releaseCall && w.servers[c.server].up && w.servers[c.server].id == c.release.Server {
		w.release(c.server, c)
		c.outcome, c.phase = keys.Accepted, answered
		return
	}
	c.phase = gone
	switch {
	case c.kind == writeCall:
		w.store.write(c.write)
	case c.kind == grantCall && from == takenLate:
		w.hold(c.server, c.grant, c.arrived)
	case c.kind == grantCall && w.servers[c.server].up:
		c.outcome, c.phase = w.take(c.server, c.grant), answered
	}
}

// describe returns the time and what holds for a line of a trace.
func (w *world) describe() string {
	text := fmt.Sprintf("%.2f s:", (w.now - warmUp).Seconds())
	for at := range w.servers {
		s := &w.servers[at]
		held := ""
		for key := range samples {
			if w.holdsKey(at, key) {
				held += fmt.Sprintf(" %d", key)
			}
		}
		if held != "" {
			text += fmt.Sprintf(" %s holds%s;", s.name(), held)
		}
	}
	return text
}
