// Package spread replicates documents between the VMs of a fleet. It is a pure
// state machine: no I/O, no clock, no goroutines, no dependence on map order.
//
// Its inputs are messages from other VMs, results of the store watch, documents
// published by this VM, and membership changes. Its outputs are messages,
// changed documents, and whether this VM should watch the store. Invariants:
// the version of a document never decreases; two VMs that have finished
// exchanging digests hold the same documents.
//
// Documents are pushed immediately along a shallow tree (broadcast.go). An
// anti-entropy exchange of digests repairs what the pushes missed (repair.go).
// The digests also aggregate which configuration revision each VM has in force
// (summary.go).
package spread

import (
	"time"

	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

// Policy selects the replication strategy.
type Policy uint8

// Replication strategies. All but Tree are baselines for comparison.
const (
	Tree      Policy = iota
	StoreOnly        // Every VM watches the store; VMs exchange no messages.
	Gossip           // Pushes and digests go to random VMs.
)

// Mutations disable single rules, so that tests can show that their checks
// detect the fault.
type Mutations struct {
	IgnoreVersions bool // Accept lower versions too.
	NoRepair       bool // Send no digests.
}

// Options configures a Machine.
type Options struct {
	Self      Peer
	Policy    Policy
	Mutations Mutations
}

// Timing of the digest exchange.
const (
	digestInterval     = time.Second
	minDigestInterval  = 200 * time.Millisecond
	startDuration      = 5 * time.Second // Maximum startup phase, in which digests are more frequent and go to more VMs.
	startInterval      = 300 * time.Millisecond
	startPeerCount     = 3               // Random VMs that a starting VM compares documents with.
	startSyncedPeers   = 4               // VMs with the same documents after which the startup phase ends.
	randomDigestRounds = 8               // Every n-th digest also goes to a random VM.
	unresponsivePeriod = 5 * time.Second // How long a VM that did not answer is skipped.
)

// Machine is the replication state of one VM.
type Machine struct {
	options     Options
	topology    *topology
	table       *table
	ready       Ready
	randomState uint64

	started    time.Duration
	running    bool
	nextDigest time.Duration
	lastDigest time.Duration
	round      int
	// awaitingReply holds the VMs whose reply to a digest is outstanding, and
	// when the digest was sent.
	awaitingReply map[string]time.Duration
	// unresponsive holds the VMs that did not answer, and until when they are
	// skipped.
	unresponsive map[string]time.Duration
	// startPeers are the VMs that this VM compares documents with during
	// startup.
	startPeers []string
	// synced are the VMs that had the same documents as this VM in some
	// exchange during its startup.
	synced map[string]bool

	delayed    map[string]delayedPush
	lastPush   map[string]time.Duration
	unacked    []unackedPush
	lastPushID uint64
	// deferredScopes holds the scope in which a document is to be forwarded
	// once its requested full version arrives.
	deferredScopes map[string]*fleetv1.Scope

	inForce      uint64
	childReports map[string]childReport
	summaries    map[zoneKey]timedSummary
}

// New returns a machine that knows only its own VM.
func New(options Options) *Machine {
	return &Machine{
		options:        options,
		topology:       newTopology(options.Self, []Peer{options.Self}),
		table:          newTable(),
		randomState:    rendezvousWeight("random", options.Self.Name),
		awaitingReply:  make(map[string]time.Duration),
		unresponsive:   make(map[string]time.Duration),
		synced:         make(map[string]bool),
		delayed:        make(map[string]delayedPush),
		lastPush:       make(map[string]time.Duration),
		deferredScopes: make(map[string]*fleetv1.Scope),
		childReports:   make(map[string]childReport),
		summaries:      make(map[zoneKey]timedSummary),
	}
}

// Step processes one input at elapsed time now.
func (m *Machine) Step(now time.Duration, input Input) {
	m.start(now)
	switch in := input.(type) {
	case Received:
		m.receive(now, in)
	case FromStore:
		m.receiveFromStore(now, in.Documents)
	case Published:
		if m.accept(now, in.Document) {
			m.broadcast(now, in.Document.Key, false)
		}
	case PeersChanged:
		m.topology = newTopology(m.options.Self, in.Peers)
		m.dropFormerPeers()
	case InForce:
		m.inForce = in.Revision
		m.expediteDigest(now)
	}
}

// Tick does the work that is due at elapsed time now. It should be called every
// few tens of milliseconds.
func (m *Machine) Tick(now time.Duration) {
	m.start(now)
	m.sendDelayed(now)
	m.retryPushes(now)
	if now >= m.nextDigest {
		m.digestRound(now)
	}
}

// Ready returns and clears the pending output.
func (m *Machine) Ready() Ready {
	ready := m.ready
	ready.WatchStore = m.watchesStore()
	m.ready = Ready{}
	return ready
}

// Document returns the highest known version of a document.
func (m *Machine) Document(key string) (document.Document, bool) {
	e, present := m.table.entries[key]
	return e.document, present
}

// SyncedPeers returns how many other VMs were found to have the same documents
// as this VM during its startup.
func (m *Machine) SyncedPeers() int { return len(m.synced) }

// start initializes the machine on the first call. The first digest gets a
// random delay so that VMs do not send in phase.
func (m *Machine) start(now time.Duration) {
	if m.running {
		return
	}
	m.running = true
	m.started = now
	m.nextDigest = now + time.Duration(m.nextRandom(uint64(minDigestInterval)))
}

// accept stores a document if its version is higher than the known one.
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
	relay := m.topology.regionRelay
	return relay == m.topology.self.Name || relay == ""
}

// dropFormerPeers drops the state of VMs that are no longer members.
func (m *Machine) dropFormerPeers() {
	for name := range m.childReports {
		if _, present := m.topology.peer(name); !present {
			delete(m.childReports, name)
		}
	}
	for name := range m.unresponsive {
		if _, present := m.topology.peer(name); !present {
			delete(m.unresponsive, name)
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

// nextRandom returns a number below limit from the machine's own generator
// (splitmix64), so that equal inputs produce equal outputs.
func (m *Machine) nextRandom(limit uint64) uint64 {
	m.randomState += 0x9e3779b97f4a7c15
	z := m.randomState
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return (z ^ (z >> 31)) % limit
}
