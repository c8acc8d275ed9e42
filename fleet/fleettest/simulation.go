// Package fleettest simulates the fleet protocol of several VMs on a virtual
// clock, over a simulated network and store. It is meant for tests and
// benchmarks. Runs are deterministic: equal inputs produce equal runs.
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

// frameBytes is the overhead of one message on a stream: the Connect envelope
// and the HTTP/2 frame header.
const frameBytes = 5 + 9

// RelistInterval is the time between two lists by a VM that watches the store.
const RelistInterval = 30 * time.Second

// Process is the process of one VM.
type Process struct {
	VM      kvstore.VM
	Node    *node.Node
	Changes []document.Document // All changes reported by Ready.
	// SentBytes, ReceivedBytes and SentMessages count the VM's traffic.
	SentBytes, ReceivedBytes, SentMessages int
	// StoreReads counts the store's responses to this VM.
	StoreReads int

	stopped  bool
	paused   bool
	backlog  []func()
	watching bool
	lists    int
}

// Simulation is a simulated network and store with the VMs that use them.
type Simulation struct {
	// Now is the virtual time.
	Now time.Duration
	// Delay is the one-way delay between two VMs.
	Delay func(from, to kvstore.VM) time.Duration
	// StoreDelay is the one-way delay between a VM and the store.
	StoreDelay func(vm kvstore.VM) time.Duration
	// Deliveries returns the extra delays with which a message is delivered:
	// none if it is lost, several if it is duplicated. Nil: each message is
	// delivered once, without extra delay.
	Deliveries func(from, to kvstore.VM) []time.Duration
	// StoreUnreachable reports whether a VM can't reach the store; nil: all VMs
	// can.
	StoreUnreachable func(vm kvstore.VM) bool
	// WatchBroken reports whether a VM's watch returns no changes; nil: all
	// watches work.
	WatchBroken func(vm kvstore.VM) bool
	// OnEvent receives the VMs' events; nil discards them.
	OnEvent func(vm string, e event.Event)
	// Options apply to the VMs that are started from now on.
	Options node.Options

	// LinkBytes counts the bytes sent between regions.
	LinkBytes int

	processes map[string]*Process
	names     []string
	store     map[string]document.Document
	version   uint64
	queue     eventQueue
	sequence  uint64
	boots     uint64
}

// New returns an empty simulation at time zero.
func New() *Simulation {
	return &Simulation{
		Delay:      func(_, _ kvstore.VM) time.Duration { return time.Millisecond },
		StoreDelay: func(kvstore.VM) time.Duration { return time.Millisecond },
		processes:  make(map[string]*Process),
		store:      make(map[string]document.Document),
	}
}

// Start starts a process on a VM that knows the listed VMs. A previous process
// with the same name is stopped.
func (s *Simulation) Start(vm kvstore.VM, listed []kvstore.VM) *Process {
	s.Stop(vm.Name)
	s.boots++
	options := s.Options
	options.Self, options.Boot = vm, s.boots
	p := &Process{VM: vm, Node: node.New(options)}
	if _, present := s.processes[vm.Name]; !present {
		s.names = append(s.names, vm.Name)
		slices.Sort(s.names)
	}
	s.processes[vm.Name] = p
	s.perform(p, func() { p.Node.StepMembership(s.Now, membership.Listed{VMs: listed}) })
	s.list(p)
	phase := time.Duration(s.boots*7) * time.Millisecond % node.TickInterval
	s.after(phase, func() { s.tick(p) })
	return p
}

// Stop stops the process of a VM immediately.
func (s *Simulation) Stop(name string) {
	if p, present := s.processes[name]; present {
		p.stopped = true
	}
}

// Pause suspends a VM's process; its inputs are queued.
func (s *Simulation) Pause(name string) { s.processes[name].paused = true }

// Resume resumes a VM's process, which then handles the queued inputs.
func (s *Simulation) Resume(name string) {
	p := s.processes[name]
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, action := range backlog {
		s.perform(p, action)
	}
}

// Watching reports whether the VM watches the store.
func (p *Process) Watching() bool { return p.watching }

// Process returns the most recent process of a VM.
func (s *Simulation) Process(name string) *Process { return s.processes[name] }

// Running returns the running processes, sorted by name.
func (s *Simulation) Running() []*Process {
	var running []*Process
	for _, name := range s.names {
		if p := s.processes[name]; !p.stopped {
			running = append(running, p)
		}
	}
	return running
}

// Input passes an input to a VM's node, such as a call by its daemon.
func (s *Simulation) Input(name string, action func(n *node.Node, now time.Duration)) {
	p := s.processes[name]
	s.perform(p, func() { action(p.Node, s.Now) })
}

// Write writes a value to the store and returns the new document. Watches
// report it.
func (s *Simulation) Write(key string, value []byte) document.Document {
	s.version++
	written := document.Document{Key: key, Version: s.version, Value: value}
	s.store[key] = written
	for _, p := range s.Running() {
		s.notify(p, written)
	}
	return written
}

// notify makes a VM's watch return a change, or fail.
func (s *Simulation) notify(p *Process, written document.Document) {
	switch {
	case !p.watching:
	case s.storeUnreachable(p):
		s.list(p)
	case s.WatchBroken == nil || !s.WatchBroken(p.VM):
		s.after(s.StoreDelay(p.VM), func() { s.fromStore(p, []document.Document{written}) })
	}
}

// WriteAndPublish writes a value to the store on behalf of a VM, which then
// publishes it.
func (s *Simulation) WriteAndPublish(name, key string, value []byte) document.Document {
	written := s.Write(key, value)
	s.Input(name, func(n *node.Node, now time.Duration) { n.StepSpread(now, spread.Published{Document: written}) })
	return written
}

// Run advances the virtual time by duration.
func (s *Simulation) Run(duration time.Duration) {
	end := s.Now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(timedEvent)
		s.Now = next.at
		next.action()
	}
	s.Now = end
}

func (s *Simulation) after(delay time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.queue, timedEvent{at: s.Now + delay, sequence: s.sequence, action: action})
}

// perform runs an action of a process and carries out the node's outputs. While the
// process is paused, the action is queued.
func (s *Simulation) perform(p *Process, action func()) {
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
		s.deliver(p, out)
	}
	for _, e := range ready.Events {
		if s.OnEvent != nil {
			s.OnEvent(p.VM.Name, e)
		}
	}
	started := ready.WatchStore && !p.watching
	p.watching = ready.WatchStore
	if started {
		s.list(p)
	}
}

func (s *Simulation) tick(p *Process) {
	if p.stopped {
		return
	}
	if !p.paused {
		s.perform(p, func() { p.Node.Tick(s.Now) })
	}
	s.after(node.TickInterval, func() { s.tick(p) })
}

func (s *Simulation) deliver(from *Process, out node.Outbound) {
	to, present := s.processes[out.To]
	if !present {
		return
	}
	size := proto.Size(out.Message) + frameBytes
	from.SentBytes += size
	from.SentMessages++
	if from.VM.Region != to.VM.Region {
		s.LinkBytes += size
	}
	delays := []time.Duration{0}
	if s.Deliveries != nil {
		delays = s.Deliveries(from.VM, to.VM)
	}
	for _, extra := range delays {
		message := proto.Clone(out.Message).(*fleetv1.ExchangeRequest)
		s.after(s.Delay(from.VM, to.VM)+extra, func() {
			to.ReceivedBytes += size
			s.perform(to, func() { to.Node.Receive(s.Now, from.VM.Name, message) })
		})
	}
}

func (s *Simulation) storeUnreachable(p *Process) bool {
	return s.StoreUnreachable != nil && s.StoreUnreachable(p.VM)
}

// list reads all documents of the store, and schedules the next read while the
// VM watches the store or can't reach it.
func (s *Simulation) list(p *Process) {
	if p.stopped {
		return
	}
	p.lists++
	lists := p.lists
	failing := s.storeUnreachable(p)
	s.perform(p, func() { p.Node.StepMembership(s.Now, membership.StoreFailing{Failing: failing}) })
	if !failing {
		var all []document.Document
		for _, d := range s.store {
			all = append(all, d)
		}
		slices.SortFunc(all, func(a, b document.Document) int { return int(a.Version) - int(b.Version) })
		s.after(2*s.StoreDelay(p.VM), func() { s.fromStore(p, all) })
	}
	interval := RelistInterval
	if failing {
		interval = time.Second
	}
	s.after(interval, func() {
		if (p.watching || failing) && lists == p.lists {
			s.list(p)
		}
	})
}

func (s *Simulation) fromStore(p *Process, documents []document.Document) {
	p.StoreReads++
	s.perform(p, func() { p.Node.StepSpread(s.Now, spread.FromStore{Documents: documents}) })
}

// timedEvent is an action at a time; sequence orders actions at the same time.
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
