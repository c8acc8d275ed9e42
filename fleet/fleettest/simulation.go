// Package fleettest runs the protocol of several VMs on a virtual clock over a
// fake network and a fake store. It is for checks and benchmarks; the same
// inputs give the same run.
package fleettest

import (
	"container/heap"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"guavacrank.example/event"
	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/fleet/membership"
	"guavacrank.example/fleet/node"
	"guavacrank.example/fleet/spread"
	"guavacrank.example/kvstore"
)

// frameBytes is what one message costs on a stream besides its own length:
// the envelope of connect and the frame of HTTP/2.
const frameBytes = 5 + 9

// RelistInterval is the time between two listings of a VM that watches the store.
const RelistInterval = 30 * time.Second

// Process is one running VM.
type Process struct {
	VM      kvstore.VM
	Node    *node.Node
	Changes []document.Document // Every change that Ready reported.
	// SentBytes, ReceivedBytes and SentMessages count what the VM sent and got.
	SentBytes, ReceivedBytes, SentMessages int
	// StoreReads counts the store's answers to this VM.
	StoreReads int

	stopped  bool
	paused   bool
	backlog  []func()
	watching bool
	lists    int
}

// Simulation is the fake network and store.
type Simulation struct {
	// Now is the virtual time.
	Now time.Duration
	// Delay is the one-way delay between two VMs.
	Delay func(from, to kvstore.VM) time.Duration
	// StoreDelay is the one-way delay between a VM and the store.
	StoreDelay func(vm kvstore.VM) time.Duration
	// Deliveries returns the extra delays at which a message arrives: none if
	// it is lost, several if it is repeated. Nil: once, without extra delay.
	Deliveries func(from, to kvstore.VM) []time.Duration
	// StoreUnreachable reports whether the store is out of a VM's reach; nil: never.
	StoreUnreachable func(vm kvstore.VM) bool
	// WatchBroken reports whether a VM's watch is silent; nil: never.
	WatchBroken func(vm kvstore.VM) bool
	// OnEvent is told the VMs' events; nil: nobody.
	OnEvent func(vm string, happened event.Event)
	// Options are those of the VMs that start from now on.
	Options node.Options

	// LinkBytes counts what was sent from one region to another.
	LinkBytes int

	processes map[string]*Process
	names     []string
	store     map[string]document.Document
	version   uint64
	queue     eventQueue
	sequence  uint64
	boots     uint64
}

// New returns an empty world at time zero.
func New() *Simulation {
	return &Simulation{
		Delay:      func(_, _ kvstore.VM) time.Duration { return time.Millisecond },
		StoreDelay: func(kvstore.VM) time.Duration { return time.Millisecond },
		processes:  make(map[string]*Process),
		store:      make(map[string]document.Document),
	}
}

// Start starts a process on a VM that knows the listed VMs; an earlier process
// of the same name ends.
func (w *Simulation) Start(vm kvstore.VM, listed []kvstore.VM) *Process {
	w.Stop(vm.Name)
	w.boots++
	options := w.Options
	options.Self, options.Boot = vm, w.boots
	p := &Process{VM: vm, Node: node.New(options)}
	if _, present := w.processes[vm.Name]; !present {
		w.names = append(w.names, vm.Name)
		slices.Sort(w.names)
	}
	w.processes[vm.Name] = p
	w.act(p, func() { p.Node.StepMembership(w.Now, membership.Listed{VMs: listed}) })
	w.list(p)
	phase := time.Duration(w.boots*7) * time.Millisecond % node.TickInterval
	w.after(phase, func() { w.tick(p) })
	return p
}

// Stop ends the process of a VM at once.
func (w *Simulation) Stop(name string) {
	if p, present := w.processes[name]; present {
		p.stopped = true
	}
}

// Pause freezes a VM's process; what reaches it waits.
func (w *Simulation) Pause(name string) { w.processes[name].paused = true }

// Resume thaws a VM's process.
func (w *Simulation) Resume(name string) {
	p := w.processes[name]
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, action := range backlog {
		w.act(p, action)
	}
}

// Watching reports whether the VM watches the store.
func (p *Process) Watching() bool { return p.watching }

// Process returns the last process of a VM.
func (w *Simulation) Process(name string) *Process { return w.processes[name] }

// Running returns the running processes in the order of their names.
func (w *Simulation) Running() []*Process {
	var running []*Process
	for _, name := range w.names {
		if p := w.processes[name]; !p.stopped {
			running = append(running, p)
		}
	}
	return running
}

// Input gives a VM's process an input, such as a call of its daemon.
func (w *Simulation) Input(name string, action func(n *node.Node, now time.Duration)) {
	p := w.processes[name]
	w.act(p, func() { action(p.Node, w.Now) })
}

// Write changes the store and returns the new document. Watches report it.
func (w *Simulation) Write(key string, value []byte) document.Document {
	w.version++
	written := document.Document{Key: key, Version: w.version, Value: value}
	w.store[key] = written
	for _, p := range w.Running() {
		w.notify(p, written)
	}
	return written
}

// notify has a VM's watch return a change, or fail.
func (w *Simulation) notify(p *Process, written document.Document) {
	switch {
	case !p.watching:
	case w.storeOut(p):
		w.list(p)
	case w.WatchBroken == nil || !w.WatchBroken(p.VM):
		w.after(w.StoreDelay(p.VM), func() { w.fromStore(p, []document.Document{written}) })
	}
}

// WriteAndPublish changes the store on behalf of a VM, which then publishes.
func (w *Simulation) WriteAndPublish(name, key string, value []byte) document.Document {
	written := w.Write(key, value)
	w.Input(name, func(n *node.Node, now time.Duration) { n.StepSpread(now, spread.Published{Document: written}) })
	return written
}

// Run lets virtual time pass.
func (w *Simulation) Run(duration time.Duration) {
	end := w.Now + duration
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(timedEvent)
		w.Now = next.at
		next.action()
	}
	w.Now = end
}

func (w *Simulation) after(delay time.Duration, action func()) {
	w.sequence++
	heap.Push(&w.queue, timedEvent{at: w.Now + delay, sequence: w.sequence, action: action})
}

// act runs an action of a process, or keeps it while the process is paused,
// and carries out what the node wants.
func (w *Simulation) act(p *Process, action func()) {
	if p.stopped {
		return
	}
	if p.paused {
		p.backlog = append(p.backlog, action)
		return
	}
	action()
	ready := p.Node.Ready()
	p.Changes = append(p.Changes, ready.Changed...)
	for _, out := range ready.Messages {
		w.deliver(p, out)
	}
	for _, happened := range ready.Events {
		if w.OnEvent != nil {
			w.OnEvent(p.VM.Name, happened)
		}
	}
	started := ready.WatchStore && !p.watching
	p.watching = ready.WatchStore
	if started {
		w.list(p)
	}
}

func (w *Simulation) tick(p *Process) {
	if p.stopped {
		return
	}
	if !p.paused {
		w.act(p, func() { p.Node.Tick(w.Now) })
	}
	w.after(node.TickInterval, func() { w.tick(p) })
}

func (w *Simulation) deliver(from *Process, out node.Outbound) {
	to, present := w.processes[out.To]
	if !present {
		return
	}
	size := proto.Size(out.Message) + frameBytes
	from.SentBytes += size
	from.SentMessages++
	if from.VM.Region != to.VM.Region {
		w.LinkBytes += size
	}
	delays := []time.Duration{0}
	if w.Deliveries != nil {
		delays = w.Deliveries(from.VM, to.VM)
	}
	for _, extra := range delays {
		message := proto.Clone(out.Message).(*fleetv1.ExchangeRequest)
		w.after(w.Delay(from.VM, to.VM)+extra, func() {
			to.ReceivedBytes += size
			w.act(to, func() { to.Node.Receive(w.Now, from.VM.Name, message) })
		})
	}
}

func (w *Simulation) storeOut(p *Process) bool {
	return w.StoreUnreachable != nil && w.StoreUnreachable(p.VM)
}

// list reads all documents of the store, and again later while the VM watches.
func (w *Simulation) list(p *Process) {
	if p.stopped {
		return
	}
	p.lists++
	lists := p.lists
	failing := w.storeOut(p)
	w.act(p, func() { p.Node.StepMembership(w.Now, membership.StoreFailing{Failing: failing}) })
	if !failing {
		var all []document.Document
		for _, d := range w.store {
			all = append(all, d)
		}
		slices.SortFunc(all, func(a, b document.Document) int { return int(a.Version) - int(b.Version) })
		w.after(2*w.StoreDelay(p.VM), func() { w.fromStore(p, all) })
	}
	interval := RelistInterval
	if failing {
		interval = time.Second
	}
	w.after(interval, func() {
		if (p.watching || failing) && lists == p.lists {
			w.list(p)
		}
	})
}

func (w *Simulation) fromStore(p *Process, documents []document.Document) {
	p.StoreReads++
	w.act(p, func() { p.Node.StepSpread(w.Now, spread.FromStore{Documents: documents}) })
}

// timedEvent is an action at a time; the sequence orders equal times.
type timedEvent struct {
	at       time.Duration
	sequence uint64
	action   func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
