package spread

import (
	"maps"
	"slices"
	"time"

	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

const (
	// maxRepairBytes limits the total value size in one repair message.
	maxRepairBytes = 256 << 10
	// maxBuckets limits the number of buckets that a peer may ask this VM to
	// compare.
	maxBuckets = 1 << 12
)

// digestRound sends this VM's digest up the tree and, every randomDigestRounds
// rounds, to a random VM. The random exchange reconnects groups of VMs that no
// longer know each other's relays.
func (m *Machine) digestRound(now time.Duration) {
	m.nextDigest = now + digestInterval
	if m.starting(now) {
		m.nextDigest = now + startInterval
	}
	m.lastDigest = now
	m.round++
	m.table.expire(now)
	m.updateUnresponsive(now)
	if m.options.Mutations.NoRepair {
		return
	}
	parent := m.parent(now)
	for _, to := range m.digestTargets(now, parent) {
		m.awaitingReply[to] = now
		m.sendDigest(now, to, to == parent)
	}
}

// parent returns the nearest responsive ancestor of this VM in its zone's tree,
// or "" for the zone's relay.
func (m *Machine) parent(now time.Duration) string {
	unresponsive := m.isUnresponsive(now)
	for _, name := range m.topology.ancestors {
		if !unresponsive(name) {
			return name
		}
	}
	return ""
}

// expediteDigest moves the next digest forward, so that a changed revision is
// reported without waiting for the next round.
func (m *Machine) expediteDigest(now time.Duration) {
	m.nextDigest = min(m.nextDigest, max(now, m.lastDigest+minDigestInterval))
}

// updateUnresponsive marks VMs whose reply is overdue and drops expired state.
func (m *Machine) updateUnresponsive(now time.Duration) {
	maps.DeleteFunc(m.unresponsive, func(_ string, until time.Duration) bool { return until <= now })
	for name, at := range m.awaitingReply {
		if now-at > minDigestInterval {
			m.unresponsive[name] = now + unresponsivePeriod
		}
	}
	clear(m.awaitingReply)
	maps.DeleteFunc(m.lastPush, func(_ string, at time.Duration) bool { return now-at > pushInterval })
}

func (m *Machine) isUnresponsive(now time.Duration) func(string) bool {
	return func(name string) bool { return m.unresponsive[name] > now }
}

// digestTargets returns the distinct VMs that receive this round's digest.
func (m *Machine) digestTargets(now time.Duration, parent string) []string {
	var targets []string
	add := func(name string) {
		if name != "" && name != m.topology.self.Name && !slices.Contains(targets, name) {
			targets = append(targets, name)
		}
	}
	if m.options.Policy == Gossip {
		add(m.randomPeer(func(Peer) bool { return true }))
		return targets
	}
	self := m.topology.self
	relays := m.topology.relays(m.isUnresponsive(now))
	ownRegion := regionRelay(relays, self.Region)
	switch self.Name {
	case ownRegion:
		for _, region := range m.topology.regions() {
			if region == self.Region {
				continue
			}
			to := regionRelay(relays, region)
			if to == "" {
				to = m.randomPeer(func(p Peer) bool { return p.Region == region })
			}
			add(to)
		}
	case zoneRelay(relays, self.Region, self.Zone):
		add(ownRegion)
	default:
		add(parent)
	}
	if m.starting(now) {
		for _, name := range m.pickStartPeers(now) {
			add(name)
		}
	} else if m.round%randomDigestRounds == 0 {
		add(m.randomPeer(m.inOwnRegion))
	}
	return targets
}

func (m *Machine) inOwnRegion(p Peer) bool { return p.Region == m.topology.self.Region }

// pickStartPeers returns the VMs of this region to compare documents with
// during startup. They stay the same in each round; unresponsive ones are
// replaced.
func (m *Machine) pickStartPeers(now time.Duration) []string {
	m.startPeers = slices.DeleteFunc(m.startPeers, m.isUnresponsive(now))
	for range startPeerCount {
		name := m.randomPeer(m.inOwnRegion)
		if len(m.startPeers) < startPeerCount && name != "" && !slices.Contains(m.startPeers, name) {
			m.startPeers = append(m.startPeers, name)
		}
	}
	return m.startPeers
}

// starting reports whether this VM is still in its startup phase.
func (m *Machine) starting(now time.Duration) bool {
	return now-m.started < startDuration && len(m.synced) < startSyncedPeers
}

// randomPeer returns the name of a random other VM that matches, or "". VMs
// that have never sent a message are included.
func (m *Machine) randomPeer(match func(Peer) bool) string {
	var names []string
	for _, peer := range m.topology.peers {
		if peer.Name != m.topology.self.Name && match(peer) {
			names = append(names, peer.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[m.nextRandom(uint64(len(names)))]
}

func (m *Machine) sendDigest(now time.Duration, to string, toParent bool) {
	digest := &fleetv1.Digest{Root: m.table.root, InForce: m.inForce, Summaries: m.summariesFor(now, false)}
	if toParent {
		digest.ToParent = true
		digest.Counts, digest.Lagging = m.aggregate(now)
	}
	m.send(to, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Digest{Digest: digest}})
}

func (m *Machine) replyToDigest(now time.Duration, to string) {
	m.send(to, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Digest{Digest: &fleetv1.Digest{
		Root: m.table.root, Reply: true, Summaries: m.summariesFor(now, true),
	}}})
}

// receiveDigest replies to a digest and starts a comparison of the documents if
// the root hashes differ.
func (m *Machine) receiveDigest(now time.Duration, from string, digest *fleetv1.Digest) {
	m.markResponsive(from)
	m.recordReport(now, from, digest)
	m.mergeSummaries(now, digest.GetSummaries())
	if digest.GetRoot() == m.table.root && m.starting(now) {
		m.synced[from] = true
	}
	if digest.GetReply() {
		return
	}
	m.replyToDigest(now, from)
	if digest.GetRoot() == m.table.root {
		return
	}
	m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Buckets{
		Buckets: &fleetv1.Buckets{Hashes: m.table.buckets(m.table.bucketCount())},
	}})
}

func (m *Machine) markResponsive(from string) {
	delete(m.awaitingReply, from)
	delete(m.unresponsive, from)
}

// receiveBuckets replies with the document versions in the buckets whose hashes
// differ.
func (m *Machine) receiveBuckets(from string, buckets *fleetv1.Buckets) {
	theirs := buckets.GetHashes()
	if len(theirs) == 0 || len(theirs) > maxBuckets {
		return
	}
	ours := m.table.buckets(len(theirs))
	selected := make([]bool, len(theirs))
	versions := &fleetv1.Versions{Buckets: uint32(len(theirs))}
	for i := range theirs {
		if ours[i] != theirs[i] {
			selected[i] = true
			versions.Differing = append(versions.Differing, uint32(i))
		}
	}
	if len(versions.Differing) == 0 {
		return
	}
	for _, d := range m.table.inBuckets(selected) {
		versions.Documents = append(versions.Documents, &fleetv1.KeyVersion{Key: d.Key, Version: d.Version})
	}
	m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Versions{Versions: versions}})
}

// receiveVersions pushes the documents that are newer here and requests those
// that are newer at the sender.
func (m *Machine) receiveVersions(from string, versions *fleetv1.Versions) {
	count := int(versions.GetBuckets())
	if count == 0 || count > maxBuckets {
		return
	}
	selected := make([]bool, count)
	for _, i := range versions.GetDiffering() {
		if int(i) < count {
			selected[i] = true
		}
	}
	theirs := make(map[string]uint64, len(versions.GetDocuments()))
	var want []string
	for _, d := range versions.GetDocuments() {
		theirs[d.GetKey()] = d.GetVersion()
		if d.GetVersion() > m.table.get(d.GetKey()).Version {
			want = append(want, d.GetKey())
		}
	}
	var newer []string
	for _, d := range m.table.inBuckets(selected) {
		if d.Version > theirs[d.Key] {
			newer = append(newer, d.Key)
		}
	}
	m.sendFull(from, newer)
	if len(want) > 0 {
		m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Want{Want: &fleetv1.Want{Keys: want}}})
	}
}

func (m *Machine) receiveWant(from string, want *fleetv1.Want) {
	m.sendFull(from, want.GetKeys())
}

// sendFull sends full documents in one message of limited size. What does not
// fit is sent in a later round.
func (m *Machine) sendFull(to string, keys []string) {
	var documents []*fleetv1.Document
	size := 0
	for _, key := range keys {
		e, present := m.table.entries[key]
		if !present {
			continue
		}
		size += len(e.document.Value)
		if len(documents) > 0 && size > maxRepairBytes {
			break
		}
		documents = append(documents, &fleetv1.Document{
			Key: key, Version: e.document.Version, Value: e.document.Value, Deleted: e.document.Deleted,
		})
	}
	if len(documents) > 0 {
		m.sendPush(to, 0, documents, nil)
	}
}
