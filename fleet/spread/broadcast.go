package spread

import (
	"slices"
	"time"

	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

const (
	// fanOut is the maximum number of VMs to which one VM pushes a document
	// directly.
	fanOut = 16
	// pushInterval is the minimum time between two pushes of one key.
	pushInterval = 50 * time.Millisecond
	// storePushDelay is how long a document read from the store waits before it
	// is pushed on. The writer's own push usually arrives first and makes it
	// unnecessary.
	storePushDelay = 50 * time.Millisecond
	// ackTimeout is how long a push waits for its acknowledgement.
	ackTimeout = 300 * time.Millisecond
	// maxPushAttempts is the number of VMs tried for one subtree.
	maxPushAttempts = 3
	// gossipFanOut is the number of random targets per push under the Gossip
	// policy.
	gossipFanOut = 3
	// maxDeferredForwards limits the documents that are to be forwarded once
	// their full version has arrived.
	maxDeferredForwards = 1024
)

// delayedPush is a push that is sent at a later time.
type delayedPush struct {
	due        time.Duration
	regionOnly bool
}

// unackedPush is a push that has not been acknowledged yet.
type unackedPush struct {
	id     uint64
	to     string
	keys   []string
	scope  *fleetv1.Scope
	sentAt time.Duration
	tried  []string
}

// receiveFromStore accepts documents read from the store. Only a VM that
// watches the store pushes them on, and only within its region: each region has
// such a VM, and the writer itself pushes to all regions.
func (m *Machine) receiveFromStore(now time.Duration, documents []document.Document) {
	for _, changed := range documents {
		if m.accept(now, changed) && m.watchesStore() {
			m.delayPush(changed.Key, delayedPush{due: now + storePushDelay, regionOnly: true})
		}
	}
}

// delayPush schedules a push. If one is already scheduled for the key, the two
// are merged into the earlier time and the wider scope.
func (m *Machine) delayPush(key string, push delayedPush) {
	if earlier, present := m.delayed[key]; present {
		push.regionOnly = push.regionOnly && earlier.regionOnly
		push.due = min(push.due, earlier.due)
	}
	m.delayed[key] = push
}

// sendDelayed sends the delayed pushes that are due, in the order of their
// keys.
func (m *Machine) sendDelayed(now time.Duration) {
	var due []string
	for key, push := range m.delayed {
		if push.due <= now {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due {
		push := m.delayed[key]
		delete(m.delayed, key)
		m.broadcast(now, key, push.regionOnly)
	}
}

// broadcast pushes a document to all VMs, or only to those of this VM's region.
func (m *Machine) broadcast(now time.Duration, key string, regionOnly bool) {
	if last, pushed := m.lastPush[key]; pushed && now-last < pushInterval {
		m.delayPush(key, delayedPush{due: last + pushInterval, regionOnly: regionOnly})
		return
	}
	m.lastPush[key] = now
	keys := []string{key}
	if m.options.Policy == Gossip {
		m.gossip(now, keys, "")
		return
	}
	if relay := m.initialRelay(now); relay != "" {
		m.push(now, relay, keys, &fleetv1.Scope{Fleet: !regionOnly, Region: regionOnly}, nil)
		return
	}
	m.pushAll(now, keys, regionOnly, "")
}

// initialRelay returns the relay of this VM's zone if the broadcast should
// start there, or "". This is the case in large regions, where only relays keep
// connections to many VMs.
func (m *Machine) initialRelay(now time.Duration) string {
	relay := m.topology.zoneRelay
	if relay == m.topology.self.Name || m.isUnresponsive(now)(relay) || m.topology.regionSize <= fanOut {
		return ""
	}
	return relay
}

// pushAll pushes to all VMs, or only to those of this region, except the VM
// that the documents came from.
func (m *Machine) pushAll(now time.Duration, keys []string, regionOnly bool, from string) {
	if !regionOnly {
		m.pushOtherRegions(now, keys)
	}
	m.pushRegion(now, keys, from)
}

// pushOtherRegions sends one copy over the link to each other region.
func (m *Machine) pushOtherRegions(now time.Duration, keys []string) {
	relays := m.topology.relays(m.isUnresponsive(now))
	for _, region := range m.topology.regions() {
		if region == m.topology.self.Region {
			continue
		}
		to := regionRelay(relays, region)
		if to == "" {
			to = m.alternativeRelay(&fleetv1.Scope{Region: true}, region, "", nil)
		}
		if to != "" {
			m.push(now, to, keys, &fleetv1.Scope{Region: true}, nil)
		}
	}
}

// pushRegion pushes to the VMs of this region except the one that the documents
// came from. A small region is pushed to directly, a large one through the
// relay of each zone.
func (m *Machine) pushRegion(now time.Duration, keys []string, from string) {
	names := m.reachable(from, func(p Peer) bool { return p.Region == m.topology.self.Region })
	if len(names) <= fanOut {
		m.pushNames(now, keys, names)
		return
	}
	for _, r := range m.topology.relays(m.isUnresponsive(now)) {
		if r.region != m.topology.self.Region || r.zone == m.topology.self.Zone {
			continue
		}
		m.push(now, r.peer.Name, keys, &fleetv1.Scope{Zone: true}, nil)
	}
	m.pushZone(now, keys, from)
}

// pushZone pushes to the VMs of this zone except the one that the documents
// came from. A small zone is pushed to directly, a large one through the first
// VM of each of fanOut groups. All writers use the same groups, which keeps the
// number of connections low.
func (m *Machine) pushZone(now time.Duration, keys []string, from string) {
	self := m.topology.self
	names := m.reachable(from, func(p Peer) bool { return p.Region == self.Region && p.Zone == self.Zone })
	if len(names) <= fanOut {
		m.pushNames(now, keys, names)
		return
	}
	var groups [fanOut][]string
	for _, name := range names {
		group := rendezvousWeight("group", name) % fanOut
		groups[group] = append(groups[group], name)
	}
	for _, group := range groups {
		if len(group) > 0 {
			m.pushGroup(now, keys, group, nil)
		}
	}
}

// pushNames pushes to the named VMs. If there are more than fanOut, they are
// divided into fanOut groups, and the first VM of each group forwards to the
// rest of it.
func (m *Machine) pushNames(now time.Duration, keys, names []string) {
	parts := min(fanOut, len(names))
	for i := range parts {
		part := names[i*len(names)/parts : (i+1)*len(names)/parts]
		m.pushGroup(now, keys, part, nil)
	}
}

// pushGroup pushes to the first of the named VMs, which forwards to the others.
func (m *Machine) pushGroup(now time.Duration, keys, names, tried []string) {
	var scope *fleetv1.Scope
	if len(names) > 1 {
		scope = &fleetv1.Scope{Names: names[1:]}
	}
	m.push(now, names[0], keys, scope, tried)
}

// reachable returns the sorted names of the reachable VMs that match, without
// this VM and except.
func (m *Machine) reachable(except string, match func(Peer) bool) []string {
	var names []string
	for _, peer := range m.topology.peers {
		if peer.Reachable && peer.Name != m.topology.self.Name && peer.Name != except && match(peer) {
			names = append(names, peer.Name)
		}
	}
	return names
}

// push sends documents to one VM and waits for its acknowledgement.
func (m *Machine) push(now time.Duration, to string, keys []string, scope *fleetv1.Scope, tried []string) {
	m.lastPushID++
	m.unacked = append(m.unacked, unackedPush{
		id: m.lastPushID, to: to, keys: keys, scope: scope, sentAt: now, tried: append(slices.Clone(tried), to),
	})
	m.sendPush(to, m.lastPushID, m.encode(keys), scope)
}

func (m *Machine) sendPush(to string, id uint64, documents []*fleetv1.Document, scope *fleetv1.Scope) {
	m.send(to, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Push{
		Push: &fleetv1.Push{Id: id, Documents: documents, Scope: scope},
	}})
}

func (m *Machine) encode(keys []string) []*fleetv1.Document {
	documents := make([]*fleetv1.Document, 0, len(keys))
	for _, key := range keys {
		e := m.table.entries[key]
		documents = append(documents, document.Encode(e.document, e.previous))
	}
	return documents
}

func (m *Machine) receiveAck(id uint64) {
	m.unacked = slices.DeleteFunc(m.unacked, func(p unackedPush) bool { return p.id == id })
}

// retryPushes resends pushes whose acknowledgement timed out, to another VM of
// the same subtree. After maxPushAttempts, digests repair what is missing.
func (m *Machine) retryPushes(now time.Duration) {
	var timedOut []unackedPush
	m.unacked = slices.DeleteFunc(m.unacked, func(p unackedPush) bool {
		expired := now-p.sentAt > ackTimeout
		if expired {
			timedOut = append(timedOut, p)
		}
		return expired
	})
	for _, p := range timedOut {
		m.unresponsive[p.to] = now + unresponsivePeriod
		if len(p.tried) < maxPushAttempts {
			m.retryPush(now, p)
		}
	}
}

func (m *Machine) retryPush(now time.Duration, p unackedPush) {
	if p.scope == nil {
		m.push(now, p.to, p.keys, nil, p.tried)
		return
	}
	if p.scope.GetFleet() {
		m.pushAll(now, p.keys, false, "")
		return
	}
	if names := p.scope.GetNames(); len(names) > 0 {
		m.pushGroup(now, p.keys, names, p.tried)
		return
	}
	peer, present := m.topology.peer(p.to)
	if !present {
		return
	}
	if to := m.alternativeRelay(p.scope, peer.Region, peer.Zone, p.tried); to != "" {
		m.push(now, to, p.keys, p.scope, p.tried)
	}
}

// alternativeRelay returns another VM that can forward within the scope, or "".
// It prefers VMs that can relay.
func (m *Machine) alternativeRelay(scope *fleetv1.Scope, region, zone string, tried []string) string {
	best, bestWeight, bestUsable := "", uint64(0), false
	for _, peer := range m.topology.peers {
		inScope := peer.Region == region && (scope.GetRegion() || peer.Zone == zone)
		if !inScope || peer.Name == m.topology.self.Name || slices.Contains(tried, peer.Name) {
			continue
		}
		weight := rendezvousWeight(region, peer.Name)
		if best == "" || (peer.CanRelay && !bestUsable) || (peer.CanRelay == bestUsable && weight > bestWeight) {
			best, bestWeight, bestUsable = peer.Name, weight, peer.CanRelay
		}
	}
	return best
}
