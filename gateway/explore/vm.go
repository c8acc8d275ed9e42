package explore

import (
	"fmt"
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/kvstore"
)

// condition is the condition of a VM.
type condition uint8

const (
	running condition = iota
	frozen
	lost
)

const (
	// reclaimDelay is how long after a restoration of the store a leader is elected.
	reclaimDelay = 300 * time.Millisecond
	// learningDelay is how long after its return a former leader learns from the store that
	// another one was elected.
	learningDelay = 500 * time.Millisecond
)

// vm is a VM that may lead, and the process that runs on it.
type vm struct {
	name      string
	starts    int
	startedAt time.Duration
	machine   *keys.Machine
	// shared says that another world has the machine too.
	shared    bool
	condition condition
	// cut says that the VM reaches neither the store nor other VMs.
	cut bool
	// lastContact is when it reached the store last, while it is cut off or frozen or the
	// store is away.
	lastContact time.Duration
	// learnsAt is when it learns that it does not lead any more, or zero.
	learnsAt time.Duration
	// term and era are those of its last election. Terms count the elections.
	term      int
	era       kvstore.Era
	electedAt time.Duration
}

// newVM returns a VM whose process has just started.
func newVM(at int) vm {
	v := vm{name: string(rune('a' + at))}
	v.start(0)
	return v
}

// start starts a process.
func (v *vm) start(now time.Duration) {
	v.starts++
	v.startedAt, v.shared, v.learnsAt = now, false, 0
	v.machine = keys.NewMachine(keys.Options{
		Service: "s", Self: v.self(),
		GrantTTL: grantTTL, MaxGrantTTL: grantTTL, PredecessorTimeout: predecessorTimeout,
	})
}

// self identifies the process as a leader.
func (v *vm) self() keys.Leader {
	return keys.Leader{VM: v.name, Incarnation: fmt.Sprintf("%s%d", v.name, v.starts), Address: v.name}
}

// reachable reports whether the VM's process runs and reaches other VMs, and the store unless
// that is away.
func (v *vm) reachable() bool { return v.condition == running && !v.cut }

// machine returns a VM's machine for a change.
func (w *world) machine(at int) *keys.Machine {
	v := &w.vms[at]
	if v.shared {
		v.machine, v.shared = v.machine.Clone(), false
	}
	return v.machine
}

// lead makes a VM the leader.
func (w *world) lead(at int) {
	w.elected, w.electionAt = at, 0
	v := &w.vms[at]
	m := w.machine(at)
	v.term, v.era, v.electedAt, v.learnsAt = w.terms()+1, w.store.era, w.now, 0
	m.KnowLostGrants(w.lost)
	m.KnowPriorGrants(w.prior)
	m.SetRenewOnly(false)
	m.Lead(w.now, w.store.era)
	m.StepServers(w.now, w.list(), false)
	w.note(fmt.Sprintf("%s leads in era %d", v.name, w.store.era))
	for other := range w.vms {
		if former := &w.vms[other]; other != at && former.reachable() && former.machine.Leading() {
			former.learnsAt = w.now + learningDelay
		}
	}
}

// terms returns the number of elections.
func (w *world) terms() int {
	terms := 0
	for at := range w.vms {
		terms = max(terms, w.vms[at].term)
	}
	return terms
}

// elect makes a VM lead that reaches the store, another one than before if possible.
func (w *world) elect() {
	for step := range len(w.vms) {
		at := (w.elected + 1 + step) % len(w.vms)
		reclaims := w.vms[w.elected].machine.Leading() && w.vms[w.elected].reachable()
		if reclaims {
			at = w.elected
		}
		if w.vms[at].reachable() {
			w.lead(at)
			return
		}
	}
}

// endVM ends a VM's process. Its calls that were sent go on.
func (w *world) endVM(at int) {
	v := &w.vms[at]
	v.machine, v.shared = keys.NewMachine(keys.Options{Self: v.self()}), false
	v.cut = false
	w.rejoinFleet(at)
	w.closeConnections(func(c connection) bool { return c.vm == at })
	w.abandonCalls(at)
	if w.elected == at {
		w.electionAt = w.now + leaseTTL
	}
}

// isolate notes that a VM freezes or is cut off from the store.
func (w *world) isolate(at int) {
	if !w.storeAway {
		w.vms[at].lastContact = w.now
	}
	if w.elected == at {
		w.electionAt = w.now + leaseTTL
	}
}

// rejoin ends the isolation of a VM. If its lease has ended, it learns so later.
func (w *world) rejoin(at int) {
	v := &w.vms[at]
	if w.storeAway || !v.reachable() || !v.machine.Leading() {
		return
	}
	m := w.machine(at)
	m.StepServers(w.now, w.list(), false)
	if w.elected == at {
		m.SetRenewOnly(false)
		w.electionAt = 0
		if v.era != w.store.era {
			w.electionAt = w.now + reclaimDelay
			m.SetRenewOnly(true)
		}
		return
	}
	m.SetRenewOnly(true)
	v.learnsAt = w.now + learningDelay
}

// thaw ends a VM's freeze.
func (w *world) thaw(at int) {
	v := &w.vms[at]
	v.condition = running
	longest := predecessorTimeout
	if w.fleet.total > 0 {
		longest = leaseTTL // The reports that it has are too old for a majority.
	}
	if v.machine.Leading() && w.now > v.lastContact+longest {
		w.machine(at).Stop()
	}
	w.rejoin(at)
}

// runVMs lets the time of the VMs pass. It reports whether anything happened.
func (w *world) runVMs() bool {
	w.runSpreading()
	happened := false
	for at := range w.vms {
		happened = w.runVM(at) || happened
	}
	if w.electionAt != 0 && w.now >= w.electionAt && !w.storeAway {
		term := w.terms()
		w.elect()
		happened = happened || w.terms() != term
	}
	w.outvotePredecessors()
	return happened
}

// runVM ends a leadership that was lost and notes that the store is out of reach.
func (w *world) runVM(at int) bool {
	v := &w.vms[at]
	if v.condition != running || !v.machine.Leading() {
		return false
	}
	away := v.cut || w.storeAway
	switch {
	case v.learnsAt != 0 && w.now >= v.learnsAt && !away:
		v.learnsAt = 0
		w.machine(at).Stop()
		w.note(v.name + " learns of another leader and stops")
		return true
	case away && w.now > v.lastContact+predecessorTimeout:
		w.machine(at).Stop()
		w.note(v.name + " stops: the store was out of reach for too long")
		return true
	case away && w.now > v.lastContact+leaseTTL && !w.hasMajority(at):
		w.machine(at).Stop()
		w.note(v.name + " stops: without the store it has no majority")
		return true
	case away && w.now == v.lastContact+leaseTTL+quantum:
		w.machine(at).SetRenewOnly(true)
	}
	return false
}

// tick advances the machines and collects their calls. It reports whether there are any.
func (w *world) tick() bool {
	before := w.nextCall
	for at := range w.vms {
		v := &w.vms[at]
		if v.condition != running || !v.machine.Leading() {
			continue
		}
		m := w.machine(at)
		m.Tick(w.now)
		w.decide(at, m.Ready())
		w.askPredecessors(at)
	}
	return w.nextCall != before
}

// askPredecessors has a leader ask the earlier ones to stop.
func (w *world) askPredecessors(at int) {
	v := &w.vms[at]
	if v.cut {
		return
	}
	for _, leader := range v.machine.Predecessors() {
		target := w.vmNamed(leader.VM)
		if target < 0 || !w.vms[target].reachable() || w.asks(at, leader) {
			continue
		}
		w.add(call{kind: yieldCall, vm: at, leader: leader, server: target, term: v.term})
	}
}

// asks reports whether a VM's question to an earlier leader is on its way.
func (w *world) asks(at int, leader keys.Leader) bool {
	for i := range w.calls {
		if c := &w.calls[i]; c.kind == yieldCall && c.vm == at && c.leader == leader {
			return true
		}
	}
	return false
}

// vmNamed returns the VM with a name, or -1.
func (w *world) vmNamed(name string) int {
	for at := range w.vms {
		if w.vms[at].name == name {
			return at
		}
	}
	return -1
}

// yield has an earlier leader stop and tells the later one.
func (w *world) yield(c *call) {
	target, sender := &w.vms[c.server], &w.vms[c.vm]
	if !target.reachable() || !sender.reachable() || sender.term != c.term || target.machine.Leading() && target.term > c.term {
		return
	}
	last := w.now + keys.MaxCallDelay
	if target.self() == c.leader {
		if target.machine.Leading() {
			w.machine(c.server).Stop()
		}
	} else {
		last -= min(w.now-target.startedAt, keys.MaxCallDelay)
	}
	w.machine(c.vm).PredecessorEnded(c.leader.Incarnation, last)
}

// consult answers what the VMs know of the time before the store was restored.
func (w *world) consult(c *call) {
	m := w.machine(c.vm)
	former := w.formerLeader
	if m.KnowsNewestPage() || former == (keys.Leader{}) {
		m.StepConsulted(w.now, keys.Consultation{Page: w.known, Confirmed: true})
		return
	}
	target := w.vmNamed(former.VM)
	v := &w.vms[target]
	if target == c.vm && v.self() == former {
		m.StepConsulted(w.now, keys.Consultation{Page: w.known}) // Itself, but it did not know the newest page.
		return
	}
	confirmed := false
	if v.reachable() && v.self() == former {
		last := w.machine(target)
		confirmed = last.KnowsNewestPage()
		last.Stop()
		if page := last.Page(); page != nil {
			w.spread(page)
		}
		m.PredecessorEnded(former.Incarnation, w.now+keys.MaxCallDelay)
	}
	m.StepConsulted(w.now, keys.Consultation{Page: w.known, Confirmed: confirmed, Predecessors: []keys.Leader{former}})
}
