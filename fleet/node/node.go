// Package node puts membership and spreading of one VM together. It is a pure
// state machine like its parts: no I/O, no clock, no goroutine.
//
// Receive, Member, Spread and Tick take the inputs; Ready returns the messages and
// the changed documents, and tells whether the members changed.
package node

import (
	"slices"
	"strings"
	"time"

	"guavacrank.example/event"
	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/fleet/membership"
	"guavacrank.example/fleet/spread"
	"guavacrank.example/kvstore"
)

// zoneCheckInterval is the time between two looks at the zones of other regions.
const zoneCheckInterval = 500 * time.Millisecond

// TickInterval is how often Tick is due.
const TickInterval = 50 * time.Millisecond

// Options configures a Node.
type Options struct {
	Self kvstore.VM
	// Boot identifies this process; nonzero and random.
	Boot                uint64
	Policy              spread.Policy
	SpreadMutations     spread.Mutations
	MembershipMutations membership.Mutations
}

// Outbound is a message to another VM. It may be lost, delayed or repeated.
type Outbound struct {
	To      string
	Message *fleetv1.ExchangeRequest
}

// Ready is everything that the node wants done.
type Ready struct {
	Messages []Outbound
	// Changed are the documents of the store with a new highest version.
	Changed []document.Document
	// MembersChanged asks the caller to read Members again.
	MembersChanged bool
	// WatchStore says that this VM is one of those that watch the store.
	WatchStore bool
	Events     []event.Event
}

// Node is the fleet's protocol of one VM.
type Node struct {
	self        kvstore.VM
	members     *membership.Machine
	spread      *spread.Machine
	ready       Ready
	zoneCheckAt time.Duration
	// membersChanged waits for the next tick: many VMs may change at once.
	membersChanged bool
}

// New returns a node that knows only itself.
func New(options Options) *Node {
	self := options.Self
	return &Node{
		self: self,
		members: membership.New(membership.Options{
			Self: self, Boot: options.Boot, Mutations: options.MembershipMutations,
		}),
		spread: spread.New(spread.Options{
			Self:      spread.Peer{Name: self.Name, Region: self.Region, Zone: self.Zone, Reachable: true, CanRelay: true},
			Policy:    options.Policy,
			Mutations: options.SpreadMutations,
		}),
	}
}

// Receive takes a message of another VM.
func (n *Node) Receive(now time.Duration, from string, message *fleetv1.ExchangeRequest) {
	n.members.Step(now, membership.Received{From: from, Message: message})
	n.spread.Step(now, spread.Received{From: from, Message: message})
	n.settle(now)
}

// StepMembership takes an input of the membership.
func (n *Node) StepMembership(now time.Duration, input membership.Input) {
	n.members.Step(now, input)
	n.settle(now)
}

// StepSpread takes an input of the spreading.
func (n *Node) StepSpread(now time.Duration, input spread.Input) {
	n.spread.Step(now, input)
	n.settle(now)
}

// Tick lets time pass; it is due every TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.checkZones(now)
	n.members.Tick(now)
	n.settleTick(now)
	n.spread.Tick(now)
	n.settle(now)
}

// Ready returns and clears what is to be done.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{WatchStore: ready.WatchStore}
	return ready
}

// Members returns all members sorted by name, this VM included.
func (n *Node) Members() []membership.Member { return n.members.Members() }

// Candidates returns every VM whose address is known, seeds included.
func (n *Node) Candidates() []kvstore.VM { return n.members.Candidates() }

// Status returns what is in force in the fleet.
func (n *Node) Status(now time.Duration) spread.Status { return n.spread.Status(now) }

// Document returns the newest known version of a document.
func (n *Node) Document(key string) (document.Document, bool) { return n.spread.Document(key) }

// SyncedPeers returns how many other VMs had the same documents as this VM.
func (n *Node) SyncedPeers() int { return n.spread.SyncedPeers() }

// settleTick tells the spreading who is there before it gets the records that
// this VM publishes.
func (n *Node) settleTick(now time.Duration) {
	ready := n.members.Ready()
	if ready.MembersChanged || n.membersChanged {
		n.membersChanged = false
		n.ready.MembersChanged = true
		n.spread.Step(now, spread.PeersChanged{Peers: n.peers()})
	}
	n.takeMembers(now, ready)
	n.settle(now)
}

// settle carries outputs of one machine to the other until both are at rest.
func (n *Node) settle(now time.Duration) {
	for moved := true; moved; {
		moved = n.settleMembers(now)
		moved = n.settleSpread(now) || moved
	}
}

func (n *Node) settleMembers(now time.Duration) bool {
	ready := n.members.Ready()
	n.membersChanged = n.membersChanged || ready.MembersChanged
	n.takeMembers(now, ready)
	return len(ready.Publish) > 0
}

func (n *Node) takeMembers(now time.Duration, ready membership.Ready) {
	for _, out := range ready.Messages {
		n.ready.Messages = append(n.ready.Messages, Outbound(out))
	}
	n.ready.Events = append(n.ready.Events, ready.Events...)
	for _, record := range ready.Publish {
		n.spread.Step(now, spread.Published{Document: record})
	}
}

func (n *Node) settleSpread(now time.Duration) bool {
	ready := n.spread.Ready()
	for _, out := range ready.Messages {
		n.ready.Messages = append(n.ready.Messages, Outbound(out))
	}
	n.ready.WatchStore = ready.WatchStore
	for _, changed := range ready.Changed {
		if !strings.HasPrefix(changed.Key, spread.MemberPrefix) {
			n.ready.Changed = append(n.ready.Changed, changed)
			continue
		}
		n.members.Step(now, membership.RecordChanged{Document: changed})
	}
	return len(ready.Changed) > 0
}

// peers returns the membership as spreading sees it.
func (n *Node) peers() []spread.Peer {
	members := n.members.Members()
	peers := make([]spread.Peer, 0, len(members))
	for _, m := range members {
		self := m.Name == n.self.Name
		answers := m.Joined && !m.Suspected && !n.members.Isolated()
		peers = append(peers, spread.Peer{
			Name: m.Name, Region: m.Region, Zone: m.Zone,
			Reachable:    self || (m.Joined && !m.Failed),
			CanRelay:     (self || (answers && !m.Failed)) && !m.Leaving,
			StoreFailing: m.StoreFailing,
		})
	}
	return append(peers, n.seeds()...)
}

// seeds returns the VMs of which only the address is known.
func (n *Node) seeds() []spread.Peer {
	var seeds []spread.Peer
	for _, vm := range n.members.Candidates() {
		if strings.HasPrefix(vm.Name, membership.SeedPrefix) {
			seeds = append(seeds, spread.Peer{Name: vm.Name, Region: n.self.Region, Zone: n.self.Zone})
		}
	}
	return seeds
}

// checkZones tells the membership which zones of other regions are heard.
func (n *Node) checkZones(now time.Duration) {
	if now < n.zoneCheckAt {
		return
	}
	n.zoneCheckAt = now + zoneCheckInterval
	type zoneKey struct{ region, zone string }
	var seen []zoneKey
	for _, m := range n.members.Members() {
		key := zoneKey{region: m.Region, zone: m.Zone}
		if m.Region == n.self.Region || slices.Contains(seen, key) {
			continue
		}
		seen = append(seen, key)
		heard := n.spread.ZoneReachable(now, key.region, key.zone)
		n.members.Step(now, membership.ZoneReachability{Region: key.region, Zone: key.zone, Reachable: heard})
	}
}
