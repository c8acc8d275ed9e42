// Package spread decides who gets which document from whom. It is a pure
// state machine: no I/O, no clock, no goroutine, no dependence on map order.
//
// Input: messages of other VMs, what the store's watch returned, what this VM
// published, the membership. Output: messages, changed documents, and whether
// this VM watches the store. Invariants: the version of a document never
// decreases; two VMs that exchange digests end with equal documents.
//
// A document travels at once along a shallow tree (broadcast.go); digests
// repair what that missed (repair.go); what is in force is added up on the
// way back (summary.go).
package spread

import (
	"time"

	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

// Policy selects the way of spreading.
type Policy uint8

// Policies. Those but Tree are baselines for comparison.
const (
	Tree      Policy = iota
	StoreOnly        // Every VM watches the store; VMs say nothing to each other.
	Gossip           // Pushes and digests go to VMs picked at random.
)

// Mutations switch off single rules, to show that a check can fail.
type Mutations struct {
	IgnoreVersions bool // Take lower versions too.
	NoRepair       bool // Send no digests.
}

// Options configures a Machine.
type Options struct {
	Self      Peer
	Policy    Policy
	Mutations Mutations
}

// Periods of the machine.
const (
	digestInterval    = time.Second
	minDigestInterval = 200 * time.Millisecond
	startDuration     = 5 * time.Second // While digests are frequent and go to more VMs.
	startInterval     = 300 * time.Millisecond
	startTargets      = 3 // VMs picked at random that a starting VM compares with.
	startAgreed       = 4 // VMs with equal documents, after which the start is over.
	randomRound       = 8 // Every n-th digest also goes to a VM picked at random.
	unansweredPenalty = 5 * time.Second
)

// Machine is the spreading of one VM.
type Machine struct {
	options  Options
	topology *topology
	table    *table
	ready    Ready
	random   uint64

	started    time.Duration
	running    bool
	digestDue  time.Duration
	lastDigest time.Duration
	round      int
	// asked are the VMs whose answer to a digest is awaited.
	asked map[string]time.Duration
	// silent are the VMs that did not answer a digest, until when to skip them.
	silent map[string]time.Duration
	// startPeers are the VMs that this VM compares with while it starts.
	startPeers []string
	// agreed are the VMs whose documents were once equal to this VM's.
	agreed map[string]bool

	held     map[string]heldPush
	lastPush map[string]time.Duration
	pending  []pendingPush
	nextPush uint64
	// owed are the scopes of pushes whose document was asked for whole.
	owed map[string]*fleetv1.Scope

	inForce   uint64
	reports   map[string]inForceReport
	summaries map[zoneKey]timedSummary
}

// New returns a machine that knows only itself.
func New(options Options) *Machine {
	return &Machine{
		options:   options,
		topology:  newTopology(options.Self, []Peer{options.Self}),
		table:     newTable(),
		random:    rendezvous("random", options.Self.Name),
		asked:     make(map[string]time.Duration),
		silent:    make(map[string]time.Duration),
		agreed:    make(map[string]bool),
		held:      make(map[string]heldPush),
		lastPush:  make(map[string]time.Duration),
		owed:      make(map[string]*fleetv1.Scope),
		reports:   make(map[string]inForceReport),
		summaries: make(map[zoneKey]timedSummary),
	}
}

// Step takes one input at elapsed time now.
func (m *Machine) Step(now time.Duration, input Input) {
	m.start(now)
	switch in := input.(type) {
	case Received:
		m.receive(now, in)
	case FromStore:
		m.fromStore(now, in.Documents)
	case Published:
		if m.accept(now, in.Document) {
			m.broadcast(now, in.Document.Key, false)
		}
	case PeersChanged:
		m.topology = newTopology(m.options.Self, in.Peers)
		m.forgetPeers()
	case InForce:
		m.inForce = in.Revision
		m.hastenDigest(now)
	}
}

// Tick lets time pass. It is due every few tens of milliseconds.
func (m *Machine) Tick(now time.Duration) {
	m.start(now)
	m.releaseHeld(now)
	m.retryPushes(now)
	if now >= m.digestDue {
		m.digestRound(now)
	}
}

// Ready returns and clears what is to be done.
func (m *Machine) Ready() Ready {
	ready := m.ready
	ready.WatchStore = m.watchesStore()
	m.ready = Ready{}
	return ready
}

// Document returns the newest known version of a document.
func (m *Machine) Document(key string) (document.Document, bool) {
	e, present := m.table.entries[key]
	return e.document, present
}

// SyncedPeers returns how many other VMs had the same documents as this VM when
// they were compared since it started.
func (m *Machine) SyncedPeers() int { return len(m.agreed) }

// start sets the phase of the digests on the first call.
func (m *Machine) start(now time.Duration) {
	if m.running {
		return
	}
	m.running = true
	m.started = now
	m.digestDue = now + time.Duration(m.nextRandom(uint64(minDigestInterval)))
}

// accept takes a document if its version is higher than the known one.
func (m *Machine) accept(now time.Duration, changed document.Document) bool {
	if !m.table.set(now, changed, m.options.Mutations.IgnoreVersions) {
		return false
	}
	m.ready.Changed = append(m.ready.Changed, changed)
	return true
}

func (m *Machine) watchesStore() bool {
	if m.options.Policy == StoreOnly {
		return true
	}
	chosen := m.topology.regionRelay
	return chosen == m.topology.self.Name || chosen == ""
}

// forgetPeers drops what is kept for VMs that are no longer members.
func (m *Machine) forgetPeers() {
	for name := range m.reports {
		if _, present := m.topology.peer(name); !present {
			delete(m.reports, name)
		}
	}
	for name := range m.silent {
		if _, present := m.topology.peer(name); !present {
			delete(m.silent, name)
		}
	}
}

func (m *Machine) receive(now time.Duration, in Received) {
	switch body := in.Message.GetBody().(type) {
	case *fleetv1.ExchangeRequest_Push:
		m.receivePush(now, in.From, body.Push)
	case *fleetv1.ExchangeRequest_Ack:
		m.receiveAck(body.Ack.GetId())
	case *fleetv1.ExchangeRequest_Digest:
		m.receiveDigest(now, in.From, body.Digest)
	case *fleetv1.ExchangeRequest_Buckets:
		m.receiveBuckets(in.From, body.Buckets)
	case *fleetv1.ExchangeRequest_Versions:
		m.receiveVersions(in.From, body.Versions)
	case *fleetv1.ExchangeRequest_Want:
		m.receiveWant(in.From, body.Want)
	}
}

func (m *Machine) send(to string, message *fleetv1.ExchangeRequest) {
	if m.options.Policy == StoreOnly {
		return
	}
	m.ready.Messages = append(m.ready.Messages, Outbound{To: to, Message: message})
}

// nextRandom returns a number below limit from the machine's own sequence
// (splitmix64), so that the same inputs give the same outputs.
func (m *Machine) nextRandom(limit uint64) uint64 {
	m.random += 0x9e3779b97f4a7c15
	z := m.random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return (z ^ (z >> 31)) % limit
}
