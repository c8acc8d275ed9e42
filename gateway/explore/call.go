package explore

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// callKind is what a call asks for.
type callKind uint8

const (
	grantCall callKind = iota
	releaseCall
	probeCall
	readCall
	writeCall
	yieldCall
	consultCall
)

// phase is how far a call has come.
type phase uint8

const (
	// prompt calls are answered at once unless a fault prevents it.
	prompt phase = iota
	// unstarted calls were decided on, but not sent.
	unstarted
	// inTransit calls were sent and will arrive.
	inTransit
	// takenLate calls have arrived and will be executed later.
	takenLate
	// answered calls were executed; the answer is on its way.
	answered
	// behindCut grants are held on their connections by a cut between the VMs and the server.
	behindCut
	// gone calls have no effect any more; their callers wait for their timeouts.
	gone
)

// transitTime bounds how long after its caller gave up a call may arrive.
const transitTime = 700 * time.Millisecond

// maxTakingDelay bounds how long after its arrival a grant is taken.
const maxTakingDelay = 6 * time.Second

// call is a call in flight. What it points to does not change.
type call struct {
	id      uint64
	kind    callKind
	vm      int
	phase   phase
	awaited bool // The caller waits for the answer.
	reset   bool // The caller knows that its connection has ended.
	decided time.Duration
	arrived time.Duration
	// until is when an outlived call arrives at the latest, once the cut has ended.
	until time.Duration
	// server is the life of a server that the call reaches, or the VM asked to yield.
	server     int
	connection port.Connection
	grant      *keys.GrantCall
	release    *keys.ReleaseCall
	probe      *keys.ProbeCall
	write      *keys.PageWrite
	leader     keys.Leader
	term       int
	// The following are the answer: of a grant, of a release, of a read.
	outcome   keys.Outcome
	workUntil time.Duration
	works     [samples]bool // The keys on which the server may be at work.
	page      *keys.Page
	position  kvstore.Position
}

// timeout returns how long the caller waits.
func (c *call) timeout() time.Duration {
	switch c.kind {
	case releaseCall:
		return c.release.Timeout
	case readCall, writeCall:
		return storeTimeout
	}
	return keys.CallTimeout
}

// deadline returns when the caller gives up.
func (c *call) deadline() time.Duration { return c.decided + c.timeout() }

// lastEffect returns until when a call that is under way may have an effect.
func (c *call) lastEffect() time.Duration {
	switch {
	case c.outlived() && c.until == 0:
		return math.MaxInt64
	case c.outlived():
		return c.until
	case c.phase == takenLate && c.kind == grantCall:
		return c.arrived + maxTakingDelay
	case c.phase == takenLate:
		return c.decided + maxWriteDelay
	}
	return c.deadline() + transitTime
}

// add adds a call that was decided on now.
func (w *world) add(c call) {
	w.nextCall++
	c.id, c.decided, c.awaited = w.nextCall, w.now, true
	w.calls = append(w.calls, c)
}

// decide adds the calls that a machine asks for.
func (w *world) decide(at int, ready keys.Ready) {
	if ready.Read {
		w.add(call{kind: readCall, vm: at})
	}
	if ready.Write != nil {
		w.add(call{kind: writeCall, vm: at, write: ready.Write})
	}
	if ready.Consult {
		w.add(call{kind: consultCall, vm: at})
	}
	for i := range ready.Grants {
		w.add(call{kind: grantCall, vm: at, grant: &ready.Grants[i]})
	}
	for i := range ready.Releases {
		w.add(call{kind: releaseCall, vm: at, release: &ready.Releases[i]})
	}
	slices.SortFunc(ready.Probes, func(a, b keys.ProbeCall) int {
		return cmp.Or(cmp.Compare(a.Incarnation.ID, b.Incarnation.ID), cmp.Compare(a.Incarnation.Born, b.Incarnation.Born))
	})
	for i := range ready.Probes {
		w.add(call{kind: probeCall, vm: at, probe: &ready.Probes[i]})
	}
}

// find returns the index of a call, or -1.
func (w *world) find(id uint64) int {
	return slices.IndexFunc(w.calls, func(c call) bool { return c.id == id })
}

// firstPrompt returns the index of the first prompt call, or -1.
func (w *world) firstPrompt() int {
	return slices.IndexFunc(w.calls, func(c call) bool { return c.phase == prompt })
}

// abandonCalls ends the waiting of a process that ended. What it had not sent never is.
func (w *world) abandonCalls(vm int) {
	for i := range w.calls {
		if w.calls[i].vm == vm {
			w.calls[i].awaited = false
		}
	}
	w.calls = slices.DeleteFunc(w.calls, func(c call) bool {
		return c.vm == vm && (c.phase == prompt || c.phase == unstarted || c.phase == answered && c.kind != releaseCall || c.phase == gone)
	})
}

// dropArrivals ends the calls that are on their way to a life of a server that ended.
func (w *world) dropArrivals(server int) {
	for i := range w.calls {
		c := &w.calls[i]
		toServer := c.kind == grantCall || c.kind == releaseCall
		if toServer && c.server == server && (c.phase == inTransit || c.phase == takenLate || c.phase == behindCut) {
			c.phase, c.reset = gone, !w.servers[server].dark && !w.servers[server].cut
		}
	}
}

// text describes a call.
func (w *world) text(c *call) string {
	name := w.vms[c.vm].name
	switch c.kind {
	case grantCall:
		g := c.grant
		return fmt.Sprintf("grant of %d to %d by %s to %s/%d at %s, fence %d, connection %d", g.From, g.To, name, g.Incarnation.ID, g.Incarnation.Born/bornStep, g.Address, g.Fence, g.Connection)
	case releaseCall:
		r := c.release
		return fmt.Sprintf("release of %d to %d by %s from %s/%d at %s, fence %d", r.From, r.To, name, r.Incarnation.ID, r.Incarnation.Born/bornStep, r.Address, r.Fence)
	case probeCall:
		return fmt.Sprintf("probe by %s of %s/%d at %s", name, c.probe.Incarnation.ID, c.probe.Incarnation.Born/bornStep, c.probe.Address)
	case readCall:
		return fmt.Sprintf("read of the page by %s", name)
	case writeCall:
		return fmt.Sprintf("write of the page by %s, %s", name, pageText(c.write.Page))
	case yieldCall:
		return fmt.Sprintf("question by %s to %s to stop", name, c.leader.Incarnation)
	}
	return fmt.Sprintf("consultation by %s", name)
}

// pageText describes who owns what by a page.
func pageText(page *keys.Page) string {
	text := fmt.Sprintf("number %d:", page.Number)
	for _, r := range page.Ranges {
		text += fmt.Sprintf(" %d-%d %s/%d", r.From, r.To, r.Owner.ID, r.Owner.Born/bornStep)
		for _, prior := range r.Prior {
			text += fmt.Sprintf(" (before: %s/%d, fence %d)", prior.ID, prior.Born/bornStep, prior.Fence)
		}
	}
	return text
}
