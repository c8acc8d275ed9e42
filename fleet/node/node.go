// Package node combines the membership and the document replication of one VM.
// Like its parts it is a pure state machine: no I/O, no clock, no goroutines.
//
// Receive, StepMembership, StepSpread and Tick take the inputs; Ready returns
// the messages and changed documents, and whether the members have changed.
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

// zoneCheckInterval is the time between two checks whether the zones of other
// regions are reachable.
const zoneCheckInterval = 500 * time.Millisecond

// TickInterval is the intended time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// Options configures a Node.
type Options struct {
	Self kvstore.VM
	// Boot is a random, nonzero ID of this process.
	Boot                uint64
	Policy              spread.Policy
	SpreadMutations     spread.Mutations
	MembershipMutations membership.Mutations
}

// Outbound is a message to another VM. The network may lose, delay or duplicate
// it.
type Outbound struct {
	To      string
	Message *fleetv1.ExchangeRequest
}

// Ready is the node's pending output.
type Ready struct {
	Messages []Outbound
	// Changed are the documents of the store whose version increased.
	Changed []document.Document
	// MembersChanged means that the caller should read Members again.
	MembersChanged bool
	// WatchStore means that this VM should watch the store.
	WatchStore bool
	Events     []event.Event
}

// Node is the state of one VM in the fleet protocol.
type Node struct {
	self        kvstore.VM
	members     *membership.Machine
	spread      *spread.Machine
	ready       Ready
	zoneCheckAt time.Duration
	// membersChanged is passed on at the next tick, so that simultaneous
	// changes of many VMs are handled together.
	membersChanged bool
}

// New returns a node that knows only its own VM.
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

// Receive processes a message from another VM.
func (n *Node) Receive(now time.Duration, from string, message *fleetv1.ExchangeRequest) {
	n.members.Step(now, membership.Received{From: from, Message: message})
	n.spread.Step(now, spread.Received{From: from, Message: message})
	n.exchange(now)
}

// StepMembership passes an input to the membership.
func (n *Node) StepMembership(now time.Duration, input membership.Input) {
	n.members.Step(now, input)
	n.exchange(now)
}

// StepSpread passes an input to the document replication.
func (n *Node) StepSpread(now time.Duration, input spread.Input) {
	n.spread.Step(now, input)
	n.exchange(now)
}

// Tick does the work that is due at elapsed time now. It should be called every
// TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.checkZones(now)
	n.members.Tick(now)
	n.exchangeOnTick(now)
	n.spread.Tick(now)
	n.exchange(now)
}

// Ready returns and clears the pending output.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{WatchStore: ready.WatchStore}
	return ready
}

// Members returns all members sorted by name, this VM included.
func (n *Node) Members() []membership.Member { return n.members.Members() }

// Candidates returns every VM that may be asked for documents, seeds included,
// sorted by name.
func (n *Node) Candidates() []kvstore.VM { return n.members.Candidates() }

// Status returns how many VMs have the highest configuration revision in force.
func (n *Node) Status(now time.Duration) spread.Status { return n.spread.Status(now) }

// Document returns the highest known version of a document.
func (n *Node) Document(key string) (document.Document, bool) { return n.spread.Document(key) }

// SyncedPeers returns how many other VMs were found to have the same documents
// as this VM during its startup.
func (n *Node) SyncedPeers() int { return n.spread.SyncedPeers() }

// exchangeOnTick passes the membership to the replication before the records
// that this VM publishes, so that they reach the new members.
func (n *Node) exchangeOnTick(now time.Duration) {
	ready := n.members.Ready()
	if ready.MembersChanged || n.membersChanged {
		n.membersChanged = false
		n.ready.MembersChanged = true
		n.spread.Step(now, spread.PeersChanged{Peers: n.peers()})
	}
	n.applyMembership(now, ready)
	n.exchange(now)
}

// exchange passes outputs between the two machines until neither produces more.
func (n *Node) exchange(now time.Duration) {
	for moved := true; moved; {
		moved = n.forwardMembership(now)
		moved = n.forwardSpread(now) || moved
	}
}

func (n *Node) forwardMembership(now time.Duration) bool {
	ready := n.members.Ready()
	n.membersChanged = n.membersChanged || ready.MembersChanged
	n.applyMembership(now, ready)
	return len(ready.Publish) > 0
}

func (n *Node) applyMembership(now time.Duration, ready membership.Ready) {
	for _, out := range ready.Messages {
		n.ready.Messages = append(n.ready.Messages, Outbound(out))
	}
	n.ready.Events = append(n.ready.Events, ready.Events...)
	for _, record := range ready.Publish {
		n.spread.Step(now, spread.Published{Document: record})
	}
}

func (n *Node) forwardSpread(now time.Duration) bool {
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

// peers returns the membership in the form that the replication needs.
func (n *Node) peers() []spread.Peer {
	members := n.members.Members()
	peers := make([]spread.Peer, 0, len(members))
	for _, m := range members {
		self := m.Name == n.self.Name
		responsive := m.Joined && !m.Suspected && !n.members.Isolated()
		peers = append(peers, spread.Peer{
			Name: m.Name, Region: m.Region, Zone: m.Zone,
			Reachable:    self || (m.Joined && !m.Failed),
			CanRelay:     (self || (responsive && !m.Failed)) && !m.Leaving,
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

// checkZones tells the membership which zones of other regions are reachable.
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
		reachable := n.spread.ZoneReachable(now, key.region, key.zone)
		n.members.Step(now, membership.ZoneReachability{Region: key.region, Zone: key.zone, Reachable: reachable})
	}
}
