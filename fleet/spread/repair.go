package spread

import (
	"maps"
	"slices"
	"time"

	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

const (
	// maxRepairBytes bounds the values in one repairing message.
	maxRepairBytes = 256 << 10
	// maxBuckets bounds what a peer may ask this VM to compare.
	maxBuckets = 1 << 12
)

// digestRound sends this VM's digest up the tree, and now and then to a VM
// picked at random, which joins parts that have lost sight of each other.
func (m *Machine) digestRound(now time.Duration) {
	m.digestDue = now + digestInterval
	if m.starting(now) {
		m.digestDue = now + startInterval
	}
	m.lastDigest = now
	m.round++
	m.table.expire(now)
	m.expirePeers(now)
	if m.options.Mutations.NoRepair {
		return
	}
	parent := m.parent(now)
	for _, to := range m.digestTargets(now, parent) {
		m.asked[to] = now
		m.sendDigest(now, to, to == parent)
	}
}

// parent returns the nearest VM above this one in its zone's tree that
// answers, or "" for the zone's relay.
func (m *Machine) parent(now time.Duration) string {
	silent := m.isSilent(now)
	for _, name := range m.topology.ancestors {
		if !silent(name) {
			return name
		}
	}
	return ""
}

// hastenDigest brings the next digest forward, so that news about what is in
// force does not wait for the next round.
func (m *Machine) hastenDigest(now time.Duration) {
	m.digestDue = min(m.digestDue, max(now, m.lastDigest+minDigestInterval))
}

// expirePeers marks VMs whose answer is overdue, and forgets old marks.
func (m *Machine) expirePeers(now time.Duration) {
	maps.DeleteFunc(m.silent, func(_ string, until time.Duration) bool { return until <= now })
	for name, at := range m.asked {
		if now-at > minDigestInterval {
			m.silent[name] = now + unansweredPenalty
		}
	}
	clear(m.asked)
	maps.DeleteFunc(m.lastPush, func(_ string, at time.Duration) bool { return now-at > pushInterval })
}

func (m *Machine) isSilent(now time.Duration) func(string) bool {
	return func(name string) bool { return m.silent[name] > now }
}

// digestTargets returns the VMs that get this round's digest, without repeats.
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
	relays := m.topology.relays(m.isSilent(now))
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
	} else if m.round%randomRound == 0 {
		add(m.randomPeer(m.inOwnRegion))
	}
	return targets
}

func (m *Machine) inOwnRegion(p Peer) bool { return p.Region == m.topology.self.Region }

// pickStartPeers returns some VMs of this region that are the same in each
// round, but for those that do not answer.
func (m *Machine) pickStartPeers(now time.Duration) []string {
	m.startPeers = slices.DeleteFunc(m.startPeers, m.isSilent(now))
	for range startTargets {
		name := m.randomPeer(m.inOwnRegion)
		if len(m.startPeers) < startTargets && name != "" && !slices.Contains(m.startPeers, name) {
			m.startPeers = append(m.startPeers, name)
		}
	}
	return m.startPeers
}

// starting reports whether this VM still looks for VMs to compare with.
func (m *Machine) starting(now time.Duration) bool {
	return now-m.started < startDuration && len(m.agreed) < startAgreed
}

// randomPeer picks one of the other VMs that match, those that were never
// heard included.
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
		digest.Counts, digest.Lagging = m.addUp(now)
	}
	m.send(to, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Digest{Digest: digest}})
}

func (m *Machine) answerDigest(now time.Duration, to string) {
	m.send(to, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Digest{Digest: &fleetv1.Digest{
		Root: m.table.root, Reply: true, Summaries: m.summariesFor(now, true),
	}}})
}

// receiveDigest answers a digest, and starts the comparison when it differs.
func (m *Machine) receiveDigest(now time.Duration, from string, digest *fleetv1.Digest) {
	m.answered(from)
	m.takeReport(now, from, digest)
	m.takeSummaries(now, digest.GetSummaries())
	if digest.GetRoot() == m.table.root && m.starting(now) {
		m.agreed[from] = true
	}
	if digest.GetReply() {
		return
	}
	m.answerDigest(now, from)
	if digest.GetRoot() == m.table.root {
		return
	}
	m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Buckets{
		Buckets: &fleetv1.Buckets{Hashes: m.table.buckets(m.table.bucketCount())},
	}})
}

func (m *Machine) answered(from string) {
	delete(m.asked, from)
	delete(m.silent, from)
}

// receiveBuckets answers with the versions in the buckets that differ.
func (m *Machine) receiveBuckets(from string, buckets *fleetv1.Buckets) {
	theirs := buckets.GetHashes()
	if len(theirs) == 0 || len(theirs) > maxBuckets {
		return
	}
	ours := m.table.buckets(len(theirs))
	marked := make([]bool, len(theirs))
	versions := &fleetv1.Versions{Buckets: uint32(len(theirs))}
	for i := range theirs {
		if ours[i] != theirs[i] {
			marked[i] = true
			versions.Differing = append(versions.Differing, uint32(i))
		}
	}
	if len(versions.Differing) == 0 {
		return
	}
	for _, d := range m.table.inBuckets(marked) {
		versions.Documents = append(versions.Documents, &fleetv1.KeyVersion{Key: d.Key, Version: d.Version})
	}
	m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Versions{Versions: versions}})
}

// receiveVersions pushes what is newer here and asks for what is newer there.
func (m *Machine) receiveVersions(from string, versions *fleetv1.Versions) {
	count := int(versions.GetBuckets())
	if count == 0 || count > maxBuckets {
		return
	}
	marked := make([]bool, count)
	for _, i := range versions.GetDiffering() {
		if int(i) < count {
			marked[i] = true
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
	for _, d := range m.table.inBuckets(marked) {
		if d.Version > theirs[d.Key] {
			newer = append(newer, d.Key)
		}
	}
	m.sendWhole(from, newer)
	if len(want) > 0 {
		m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Want{Want: &fleetv1.Want{Keys: want}}})
	}
}

func (m *Machine) receiveWant(from string, want *fleetv1.Want) {
	m.sendWhole(from, want.GetKeys())
}

// sendWhole sends whole documents in one message of bounded size; the next
// round brings the rest.
func (m *Machine) sendWhole(to string, keys []string) {
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
