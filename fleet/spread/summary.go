package spread

import (
	"maps"
	"slices"
	"strings"
	"time"

	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

const (
	// reportTTL is how long a child's report is valid.
	reportTTL = 4 * time.Second
	// A zone's summary is valid for summaryTTLPerHop times the number of hops
	// that it may take to this VM: up to hopsToZoneRelay hops to the relay of
	// this VM's zone, then down the zone's tree.
	summaryTTLPerHop = 1250 * time.Millisecond
	hopsToZoneRelay  = 5
	// maxLaggingNames limits how many lagging VMs one summary names.
	maxLaggingNames = 8
)

type zoneKey struct{ region, zone string }

// childReport is the last report of a child in the zone's tree about its
// subtree.
type childReport struct {
	revision uint64 // In force on the child itself.
	counts   []*fleetv1.RevisionCount
	lagging  []*fleetv1.LaggingVM
	at       time.Duration
}

// timedSummary is a zone's summary with the time at which the zone's relay
// computed it, on this VM's clock.
type timedSummary struct {
	summary   *fleetv1.ZoneSummary
	countedAt time.Duration
}

// LaggingVM is a VM whose revision is below the highest revision in force.
type LaggingVM struct {
	Name     string
	Revision uint64 // Zero: none in force, or no report received.
}

// Status says how many VMs of the fleet have the highest revision in force.
type Status struct {
	Revision uint64
	InForce  int
	Total    int
	Lagging  []LaggingVM
}

// recordReport stores the subtree counts that a child in the zone's tree
// reported.
func (m *Machine) recordReport(now time.Duration, from string, digest *fleetv1.Digest) {
	peer, present := m.topology.peer(from)
	if !digest.GetToParent() || !present || !m.inOwnZone(peer) {
		return
	}
	same := slices.EqualFunc(m.childReports[from].counts, digest.GetCounts(), func(a, b *fleetv1.RevisionCount) bool {
		return a.GetRevision() == b.GetRevision() && a.GetVms() == b.GetVms()
	})
	m.childReports[from] = childReport{
		revision: digest.GetInForce(), counts: digest.GetCounts(), lagging: digest.GetLagging(), at: now,
	}
	if !same {
		m.expediteDigest(now)
	}
}

// aggregate combines this VM's revision with the reports of its children. It
// returns the number of VMs per revision, sorted by revision, and some of the
// lagging VMs.
func (m *Machine) aggregate(now time.Duration) ([]*fleetv1.RevisionCount, []*fleetv1.LaggingVM) {
	vmCounts := map[uint64]uint32{m.inForce: 1}
	revisions := map[string]uint64{m.topology.self.Name: m.inForce}
	for name, report := range m.childReports {
		if now-report.at > reportTTL {
			delete(m.childReports, name)
			continue
		}
		revisions[name] = report.revision
		for _, count := range report.counts {
			vmCounts[count.GetRevision()] += count.GetVms()
		}
		for _, vm := range report.lagging {
			revisions[vm.GetName()] = vm.GetRevision()
		}
	}
	var counts []*fleetv1.RevisionCount
	newest := m.newestRevision()
	for _, revision := range slices.Sorted(maps.Keys(vmCounts)) {
		counts = append(counts, &fleetv1.RevisionCount{Revision: revision, Vms: vmCounts[revision]})
		newest = max(newest, revision)
	}
	var lagging []*fleetv1.LaggingVM
	for _, name := range slices.Sorted(maps.Keys(revisions)) {
		if revisions[name] < newest && len(lagging) < maxLaggingNames {
			lagging = append(lagging, &fleetv1.LaggingVM{Name: name, Revision: revisions[name]})
		}
	}
	return counts, lagging
}

// newestRevision returns the highest revision known to be in force in any zone.
func (m *Machine) newestRevision() uint64 {
	newest := m.inForce
	for _, timed := range m.summaries {
		newest = max(newest, timed.summary.GetRevision())
	}
	return newest
}

// mergeSummaries keeps the most recently computed summary of each zone.
func (m *Machine) mergeSummaries(now time.Duration, summaries []*fleetv1.ZoneSummary) {
	for _, summary := range summaries {
		key := zoneKey{region: summary.GetRegion(), zone: summary.GetZone()}
		countedAt := now - time.Duration(summary.GetAgeMs())*time.Millisecond
		known, present := m.summaries[key]
		if present && countedAt <= known.countedAt {
			continue
		}
		m.summaries[key] = timedSummary{summary: summary, countedAt: countedAt}
		changed := known.summary.GetRevision() != summary.GetRevision() || known.summary.GetInForce() != summary.GetInForce()
		if changed && key.region == m.topology.self.Region && m.isZoneRelay() && m.watchesStore() {
			m.expediteDigest(now)
		}
	}
}

func (m *Machine) inOwnZone(peer Peer) bool {
	return peer.Region == m.topology.self.Region && peer.Zone == m.topology.self.Zone
}

func (m *Machine) isZoneRelay() bool {
	return m.topology.zoneRelay == m.topology.self.Name
}

func (m *Machine) summaryTTL() time.Duration {
	return time.Duration(hopsToZoneRelay+len(m.topology.ancestors)) * summaryTTLPerHop
}

// summariesFor returns the zone summaries to send in a digest. A reply carries
// all valid summaries; a relay's own digest carries those of its region; other
// digests carry none.
func (m *Machine) summariesFor(now time.Duration, reply bool) []*fleetv1.ZoneSummary {
	relay := m.isZoneRelay()
	if relay {
		self := m.topology.self
		m.summaries[zoneKey{region: self.Region, zone: self.Zone}] = timedSummary{summary: m.summarizeZone(now), countedAt: now}
	}
	if !reply && !relay {
		return nil
	}
	var valid []*fleetv1.ZoneSummary
	for key, timed := range m.summaries {
		age := now - timed.countedAt
		if age > m.summaryTTL() {
			delete(m.summaries, key)
			continue
		}
		if !reply && key.region != m.topology.self.Region {
			continue
		}
		valid = append(valid, withAge(timed.summary, age))
	}
	slices.SortFunc(valid, func(a, b *fleetv1.ZoneSummary) int {
		return strings.Compare(a.GetRegion()+"/"+a.GetZone(), b.GetRegion()+"/"+b.GetZone())
	})
	return valid
}

func withAge(s *fleetv1.ZoneSummary, age time.Duration) *fleetv1.ZoneSummary {
	return &fleetv1.ZoneSummary{
		Region: s.GetRegion(), Zone: s.GetZone(), AgeMs: uint32(age / time.Millisecond), Total: s.GetTotal(),
		Revision: s.GetRevision(), InForce: s.GetInForce(), Lagging: s.GetLagging(),
	}
}

// summarizeZone computes the zone's summary on its relay. Unreachable VMs count
// as lagging.
func (m *Machine) summarizeZone(now time.Duration) *fleetv1.ZoneSummary {
	self := m.topology.self
	counts, lagging := m.aggregate(now)
	highest := counts[len(counts)-1]
	summary := &fleetv1.ZoneSummary{Region: self.Region, Zone: self.Zone, Revision: highest.GetRevision()}
	for _, vm := range lagging {
		if vm.GetRevision() < summary.Revision {
			summary.Lagging = append(summary.Lagging, vm)
		}
	}
	for _, peer := range m.topology.peers {
		if !m.inOwnZone(peer) {
			continue
		}
		summary.Total++
		if !peer.Reachable && peer.Name != self.Name {
			summary.Lagging = m.addUnreachable(summary.Lagging, peer.Name)
		}
	}
	if summary.Revision != 0 {
		summary.InForce = min(highest.GetVms(), summary.Total)
	}
	return summary
}

// addUnreachable adds a VM to the lagging ones unless it has reported, is
// already listed, or the list is full.
func (m *Machine) addUnreachable(lagging []*fleetv1.LaggingVM, name string) []*fleetv1.LaggingVM {
	_, reported := m.childReports[name]
	listed := slices.ContainsFunc(lagging, func(vm *fleetv1.LaggingVM) bool { return vm.GetName() == name })
	if reported || listed || len(lagging) >= maxLaggingNames {
		return lagging
	}
	return append(lagging, &fleetv1.LaggingVM{Name: name})
}

// ZoneReachable reports whether a recent summary from the zone's relay is
// known, received directly or through other VMs.
func (m *Machine) ZoneReachable(now time.Duration, region, zone string) bool {
	timed, present := m.summaries[zoneKey{region: region, zone: zone}]
	return present && now-timed.countedAt <= m.summaryTTL()
}

// Status aggregates the zone summaries. VMs of a zone without a valid summary
// count as lagging.
func (m *Machine) Status(now time.Duration) Status {
	m.summariesFor(now, true)
	status := Status{Revision: m.inForce}
	for _, timed := range m.summaries {
		status.Revision = max(status.Revision, timed.summary.GetRevision())
	}
	for _, timed := range m.summaries {
		status.Total += int(timed.summary.GetTotal())
		if timed.summary.GetRevision() == status.Revision {
			status.InForce += int(timed.summary.GetInForce())
		}
		for _, vm := range timed.summary.GetLagging() {
			status.Lagging = append(status.Lagging, LaggingVM{Name: vm.GetName(), Revision: vm.GetRevision()})
		}
	}
	for _, peer := range m.topology.peers {
		m.addPeerStatus(now, &status, peer)
	}
	slices.SortFunc(status.Lagging, func(a, b LaggingVM) int { return strings.Compare(a.Name, b.Name) })
	return status
}

// addPeerStatus counts and lists a VM whose zone has no valid summary, and
// lists one whose whole zone is behind.
func (m *Machine) addPeerStatus(now time.Duration, status *Status, peer Peer) {
	revision := uint64(0)
	if m.ZoneReachable(now, peer.Region, peer.Zone) {
		revision = m.summaries[zoneKey{region: peer.Region, zone: peer.Zone}].summary.GetRevision()
		if revision == status.Revision {
			return
		}
	} else {
		status.Total++
	}
	listed := slices.ContainsFunc(status.Lagging, func(l LaggingVM) bool { return l.Name == peer.Name })
	if !listed {
		status.Lagging = append(status.Lagging, LaggingVM{Name: peer.Name, Revision: revision})
	}
}
