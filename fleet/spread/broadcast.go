package spread

import (
	"slices"
	"time"

	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

const (
	// fanOut is the most VMs that one VM pushes a document to directly.
	fanOut = 16
	// pushInterval is the least time between two pushes of one key.
	pushInterval = 50 * time.Millisecond
	// storeHold is how long a document from the store waits for its writer's push.
	storeHold = 50 * time.Millisecond
	// ackTimeout is how long a push waits for its acknowledgement.
	ackTimeout = 300 * time.Millisecond
	// maxPushTries is the number of VMs tried for one part of the tree.
	maxPushTries = 3
	// gossipFanOut is the number of VMs picked at random by the Gossip baseline.
	gossipFanOut = 3
	// maxOwed bounds the pushes that wait for their whole document.
	maxOwed = 1024
)

// heldPush is a push that waits for its time.
type heldPush struct {
	due        time.Duration
	regionOnly bool
}

// pendingPush is a push that waits for its acknowledgement.
type pendingPush struct {
	id     uint64
	to     string
	keys   []string
	scope  *fleetv1.Scope
	sentAt time.Duration
	tried  []string
}

// fromStore takes documents that the store returned. Only a VM that watches
// the store passes them on, and only inside its region: every region has one,
// and the writer pushes to all.
func (m *Machine) fromStore(now time.Duration, documents []document.Document) {
	for _, changed := range documents {
		if m.accept(now, changed) && m.watchesStore() {
			m.hold(changed.Key, heldPush{due: now + storeHold, regionOnly: true})
		}
	}
}

func (m *Machine) hold(key string, push heldPush) {
	if earlier, present := m.held[key]; present {
		push.regionOnly = push.regionOnly && earlier.regionOnly
		push.due = min(push.due, earlier.due)
	}
	m.held[key] = push
}

func (m *Machine) releaseHeld(now time.Duration) {
	var due []string
	for key, push := range m.held {
		if push.due <= now {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due {
		push := m.held[key]
		delete(m.held, key)
		m.broadcast(now, key, push.regionOnly)
	}
}

// broadcast pushes a document to all VMs, or to those of this VM's region.
func (m *Machine) broadcast(now time.Duration, key string, regionOnly bool) {
	if last, pushed := m.lastPush[key]; pushed && now-last < pushInterval {
		m.hold(key, heldPush{due: last + pushInterval, regionOnly: regionOnly})
		return
	}
	m.lastPush[key] = now
	keys := []string{key}
	if m.options.Policy == Gossip {
		m.gossip(now, keys, "")
		return
	}
	if relay := m.startingRelay(now); relay != "" {
		m.push(now, relay, keys, &fleetv1.Scope{Fleet: !regionOnly, Region: regionOnly}, nil)
		return
	}
	m.pushAll(now, keys, regionOnly, "")
}

// startingRelay returns the relay of this zone if a broadcast starts there:
// in a large region, where only relays keep connections to many VMs.
func (m *Machine) startingRelay(now time.Duration) string {
	relay := m.topology.zoneRelay
	if relay == m.topology.self.Name || m.isSilent(now)(relay) || m.topology.regionSize <= fanOut {
		return ""
	}
	return relay
}

// pushAll sends to all VMs, or to those of this region, but the one it came from.
func (m *Machine) pushAll(now time.Duration, keys []string, regionOnly bool, from string) {
	if !regionOnly {
		m.pushOtherRegions(now, keys)
	}
	m.pushRegion(now, keys, from)
}

// pushOtherRegions sends one copy over the link into each other region.
func (m *Machine) pushOtherRegions(now time.Duration, keys []string) {
	relays := m.topology.relays(m.isSilent(now))
	for _, region := range m.topology.regions() {
		if region == m.topology.self.Region {
			continue
		}
		to := regionRelay(relays, region)
		if to == "" {
			to = m.alternative(&fleetv1.Scope{Region: true}, region, "", nil)
		}
		if to != "" {
			m.push(now, to, keys, &fleetv1.Scope{Region: true}, nil)
		}
	}
}

// pushRegion sends to the VMs of this region but the one it came from:
// directly to a few, through one VM of each zone to many.
func (m *Machine) pushRegion(now time.Duration, keys []string, from string) {
	names := m.reachable(from, func(p Peer) bool { return p.Region == m.topology.self.Region })
	if len(names) <= fanOut {
		m.pushNames(now, keys, names)
		return
	}
	for _, r := range m.topology.relays(m.isSilent(now)) {
		if r.region != m.topology.self.Region || r.zone == m.topology.self.Zone {
			continue
		}
		m.push(now, r.peer.Name, keys, &fleetv1.Scope{Zone: true}, nil)
	}
	m.pushZone(now, keys, from)
}

// pushZone sends to the VMs of this zone but the one it came from: directly to
// a few, through one VM of each of fanOut groups to many. The groups are the
// same for all writers, so that their connections are few.
func (m *Machine) pushZone(now time.Duration, keys []string, from string) {
	self := m.topology.self
	names := m.reachable(from, func(p Peer) bool { return p.Region == self.Region && p.Zone == self.Zone })
	if len(names) <= fanOut {
		m.pushNames(now, keys, names)
		return
	}
	var groups [fanOut][]string
	for _, name := range names {
		group := rendezvous("group", name) % fanOut
		groups[group] = append(groups[group], name)
	}
	for _, group := range groups {
		if len(group) > 0 {
			m.pushPart(now, keys, group, nil)
		}
	}
}

// pushNames sends to the named VMs, through the first of each of fanOut parts
// where they are many.
func (m *Machine) pushNames(now time.Duration, keys, names []string) {
	parts := min(fanOut, len(names))
	for i := range parts {
		part := names[i*len(names)/parts : (i+1)*len(names)/parts]
		m.pushPart(now, keys, part, nil)
	}
}

func (m *Machine) pushPart(now time.Duration, keys, names, tried []string) {
	var scope *fleetv1.Scope
	if len(names) > 1 {
		scope = &fleetv1.Scope{Names: names[1:]}
	}
	m.push(now, names[0], keys, scope, tried)
}

// reachable returns the names of the reachable VMs that match, but this VM
// and except, sorted.
func (m *Machine) reachable(except string, match func(Peer) bool) []string {
	var names []string
	for _, peer := range m.topology.peers {
		if peer.Reachable && peer.Name != m.topology.self.Name && peer.Name != except && match(peer) {
			names = append(names, peer.Name)
		}
	}
	return names
}

// push sends documents to one VM and awaits its acknowledgement.
func (m *Machine) push(now time.Duration, to string, keys []string, scope *fleetv1.Scope, tried []string) {
	m.nextPush++
	m.pending = append(m.pending, pendingPush{
		id: m.nextPush, to: to, keys: keys, scope: scope, sentAt: now, tried: append(slices.Clone(tried), to),
	})
	m.sendPush(to, m.nextPush, m.encode(keys), scope)
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
	m.pending = slices.DeleteFunc(m.pending, func(p pendingPush) bool { return p.id == id })
}

// retryPushes sends what was not acknowledged in time to another VM of the
// same part of the tree. What stays unacknowledged is left to the digests.
func (m *Machine) retryPushes(now time.Duration) {
	var late []pendingPush
	m.pending = slices.DeleteFunc(m.pending, func(p pendingPush) bool {
		expired := now-p.sentAt > ackTimeout
		if expired {
			late = append(late, p)
		}
		return expired
	})
	for _, p := range late {
		m.silent[p.to] = now + unansweredPenalty
		if len(p.tried) < maxPushTries {
			m.retryPush(now, p)
		}
	}
}

func (m *Machine) retryPush(now time.Duration, p pendingPush) {
	if p.scope == nil {
		m.push(now, p.to, p.keys, nil, p.tried)
		return
	}
	if p.scope.GetFleet() {
		m.pushAll(now, p.keys, false, "")
		return
	}
	if names := p.scope.GetNames(); len(names) > 0 {
		m.pushPart(now, p.keys, names, p.tried)
		return
	}
	peer, present := m.topology.peer(p.to)
	if !present {
		return
	}
	if to := m.alternative(p.scope, peer.Region, peer.Zone, p.tried); to != "" {
		m.push(now, to, p.keys, p.scope, p.tried)
	}
}

// alternative returns another VM that can forward within the scope, the
// usable ones first, or "".
func (m *Machine) alternative(scope *fleetv1.Scope, region, zone string, tried []string) string {
	best, bestWeight, bestUsable := "", uint64(0), false
	for _, peer := range m.topology.peers {
		inScope := peer.Region == region && (scope.GetRegion() || peer.Zone == zone)
		if !inScope || peer.Name == m.topology.self.Name || slices.Contains(tried, peer.Name) {
			continue
		}
		weight := rendezvous(region, peer.Name)
		if best == "" || (peer.CanRelay && !bestUsable) || (peer.CanRelay == bestUsable && weight > bestWeight) {
			best, bestWeight, bestUsable = peer.Name, weight, peer.CanRelay
		}
	}
	return best
}

// receivePush takes documents, asks for what it can't build from a delta,
// acknowledges and forwards.
func (m *Machine) receivePush(now time.Duration, from string, push *fleetv1.Push) {
	if push.GetId() != 0 {
		m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Ack{Ack: &fleetv1.Ack{Id: push.GetId()}}})
	}
	var fresh, keys, missing []string
	for _, wire := range push.GetDocuments() {
		switch m.takePushed(now, push, wire) {
		case pushMissing:
			missing = append(missing, wire.GetKey())
		case pushFresh:
			fresh = append(fresh, wire.GetKey())
			keys = append(keys, wire.GetKey())
		case pushKnown:
			keys = append(keys, wire.GetKey())
		}
	}
	if len(missing) > 0 {
		m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Want{Want: &fleetv1.Want{Keys: missing}}})
	}
	m.forward(now, from, push.GetScope(), keys, fresh)
}

// pushResult is what became of one pushed document.
type pushResult uint8

const (
	pushKnown   pushResult = iota // This version or a higher one was known.
	pushFresh                     // Taken.
	pushMissing                   // A delta without its base.
)

func (m *Machine) takePushed(now time.Duration, push *fleetv1.Push, wire *fleetv1.Document) pushResult {
	key := wire.GetKey()
	known := m.table.get(key)
	if wire.GetVersion() <= known.Version && !m.options.Mutations.IgnoreVersions {
		m.cancelHeld(push, key)
		return pushKnown
	}
	decoded, err := document.Decode(wire, known)
	if err != nil {
		m.owe(key, push.GetScope())
		return pushMissing
	}
	if !m.accept(now, decoded) {
		return pushKnown
	}
	if scope, owed := m.owed[key]; owed && push.GetId() == 0 {
		delete(m.owed, key)
		m.forward(now, "", scope, []string{key}, nil)
	}
	return pushFresh
}

// owe keeps the scope in which a document is to be forwarded once it is here.
func (m *Machine) owe(key string, scope *fleetv1.Scope) {
	if scope != nil && len(m.owed) < maxOwed {
		m.owed[key] = scope
	}
}

// cancelHeld drops the push of a document from the store when its writer's
// own push has arrived.
func (m *Machine) cancelHeld(push *fleetv1.Push, key string) {
	if push.GetId() == 0 {
		return
	}
	if held, present := m.held[key]; present && held.regionOnly {
		delete(m.held, key)
	}
}

func (m *Machine) forward(now time.Duration, from string, scope *fleetv1.Scope, keys, fresh []string) {
	if m.options.Policy == Gossip {
		m.gossip(now, fresh, from)
		return
	}
	if len(keys) == 0 {
		return
	}
	switch {
	case scope.GetFleet():
		m.pushAll(now, keys, false, from)
	case scope.GetRegion():
		m.pushRegion(now, keys, from)
	case scope.GetZone():
		m.pushZone(now, keys, from)
	default:
		m.pushNames(now, keys, scope.GetNames())
	}
}

// gossip sends documents to some VMs picked at random.
func (m *Machine) gossip(now time.Duration, keys []string, from string) {
	names := m.reachable(from, func(Peer) bool { return true })
	for range min(gossipFanOut, len(names)) {
		if len(keys) == 0 {
			return
		}
		i := int(m.nextRandom(uint64(len(names))))
		m.sendPush(names[i], 0, m.encode(keys), nil)
		names = slices.Delete(names, i, i+1)
	}
}
