package spread

import (
	"maps"
	"slices"
	"strings"
	"time"

	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

const (
	// reportLife is how long a child's report is believed.
	reportLife = 4 * time.Second
	// A zone's summary is believed for hopLife for each hop that it may take:
	// upHops to the relay of this VM's zone, then down the zone's tree.
	hopLife = 1250 * time.Millisecond
	upHops  = 5
	// maxLaggingNames is the most lagging VMs that one summary names.
	maxLaggingNames = 8
)

type zoneKey struct{ region, zone string }

// inForceReport is what a child in the zone's tree last said of its part.
type inForceReport struct {
	revision uint64 // In force at the child itself.
	counts   []*fleetv1.RevisionCount
	lagging  []*fleetv1.LaggingVM
	at       time.Duration
}

// timedSummary is a zone's summary and when its relay counted, by this VM's clock.
type timedSummary struct {
	summary   *fleetv1.ZoneSummary
	countedAt time.Duration
}

// LaggingVM is one VM below the highest revision in force.
type LaggingVM struct {
	Name     string
	Revision uint64 // Zero: nothing in force, or not heard.
}

// Status is what is in force in the fleet.
type Status struct {
	Revision uint64
	InForce  int
	Total    int
	Lagging  []LaggingVM
}

// takeReport notes what a child in the zone's tree adds up.
func (m *Machine) takeReport(now time.Duration, from string, digest *fleetv1.Digest) {
	peer, present := m.topology.peer(from)
	if !digest.GetToParent() || !present || !m.inOwnZone(peer) {
		return
	}
	same := slices.EqualFunc(m.reports[from].counts, digest.GetCounts(), func(a, b *fleetv1.RevisionCount) bool {
		return a.GetRevision() == b.GetRevision() && a.GetVms() == b.GetVms()
	})
	m.reports[from] = inForceReport{
		revision: digest.GetInForce(), counts: digest.GetCounts(), lagging: digest.GetLagging(), at: now,
	}
	if !same {
		m.hastenDigest(now)
	}
}

// addUp adds up this VM's part of the zone's tree: how many VMs have which
// revision, sorted, and some of those that lag.
func (m *Machine) addUp(now time.Duration) ([]*fleetv1.RevisionCount, []*fleetv1.LaggingVM) {
	vms := map[uint64]uint32{m.inForce: 1}
	behind := map[string]uint64{m.topology.self.Name: m.inForce}
	for name, report := range m.reports {
		if now-report.at > reportLife {
			delete(m.reports, name)
			continue
		}
		behind[name] = report.revision
		for _, count := range report.counts {
			vms[count.GetRevision()] += count.GetVms()
		}
		for _, vm := range report.lagging {
			behind[vm.GetName()] = vm.GetRevision()
		}
	}
	var counts []*fleetv1.RevisionCount
	newest := m.newestRevision()
	for _, revision := range slices.Sorted(maps.Keys(vms)) {
		counts = append(counts, &fleetv1.RevisionCount{Revision: revision, Vms: vms[revision]})
		newest = max(newest, revision)
	}
	var lagging []*fleetv1.LaggingVM
	for _, name := range slices.Sorted(maps.Keys(behind)) {
		if behind[name] < newest && len(lagging) < maxLaggingNames {
			lagging = append(lagging, &fleetv1.LaggingVM{Name: name, Revision: behind[name]})
		}
	}
	return counts, lagging
}

// newestRevision is the highest revision that any zone is known to have in force.
func (m *Machine) newestRevision() uint64 {
	newest := m.inForce
	for _, timed := range m.summaries {
		newest = max(newest, timed.summary.GetRevision())
	}
	return newest
}

// takeSummaries keeps the summaries that were counted last.
func (m *Machine) takeSummaries(now time.Duration, summaries []*fleetv1.ZoneSummary) {
	for _, summary := range summaries {
		key := zoneKey{region: summary.GetRegion(), zone: summary.GetZone()}
		countedAt := now - time.Duration(summary.GetAgeMs())*time.Millisecond
		known, present := m.summaries[key]
		if present && countedAt <= known.countedAt {
			continue
		}
		m.summaries[key] = timedSummary{summary: summary, countedAt: countedAt}
		news := known.summary.GetRevision() != summary.GetRevision() || known.summary.GetInForce() != summary.GetInForce()
		if news && key.region == m.topology.self.Region && m.isZoneRelay() && m.watchesStore() {
			m.hastenDigest(now)
		}
	}
}

func (m *Machine) inOwnZone(peer Peer) bool {
	return peer.Region == m.topology.self.Region && peer.Zone == m.topology.self.Zone
}

func (m *Machine) isZoneRelay() bool {
	return m.topology.zoneRelay == m.topology.self.Name
}

func (m *Machine) summaryLife() time.Duration {
	return time.Duration(upHops+len(m.topology.ancestors)) * hopLife
}

// summariesFor returns what a digest carries: upwards a relay's own part of
// the tree, downwards everything that is fresh.
func (m *Machine) summariesFor(now time.Duration, reply bool) []*fleetv1.ZoneSummary {
	relay := m.isZoneRelay()
	if relay {
		self := m.topology.self
		m.summaries[zoneKey{region: self.Region, zone: self.Zone}] = timedSummary{summary: m.countZone(now), countedAt: now}
	}
	if !reply && !relay {
		return nil
	}
	var fresh []*fleetv1.ZoneSummary
	for key, timed := range m.summaries {
		age := now - timed.countedAt
		if age > m.summaryLife() {
			delete(m.summaries, key)
			continue
		}
		if !reply && key.region != m.topology.self.Region {
			continue
		}
		fresh = append(fresh, withAge(timed.summary, age))
	}
	slices.SortFunc(fresh, func(a, b *fleetv1.ZoneSummary) int {
		return strings.Compare(a.GetRegion()+"/"+a.GetZone(), b.GetRegion()+"/"+b.GetZone())
	})
	return fresh
}

func withAge(s *fleetv1.ZoneSummary, age time.Duration) *fleetv1.ZoneSummary {
	return &fleetv1.ZoneSummary{
		Region: s.GetRegion(), Zone: s.GetZone(), AgeMs: uint32(age / time.Millisecond), Total: s.GetTotal(),
		Revision: s.GetRevision(), InForce: s.GetInForce(), Lagging: s.GetLagging(),
	}
}

// countZone makes the zone's summary at its relay. VMs that do not answer lag.
func (m *Machine) countZone(now time.Duration) *fleetv1.ZoneSummary {
	self := m.topology.self
	counts, lagging := m.addUp(now)
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
			summary.Lagging = m.nameSilent(summary.Lagging, peer.Name)
		}
	}
	if summary.Revision != 0 {
		summary.InForce = min(highest.GetVms(), summary.Total)
	}
	return summary
}

// nameSilent adds a VM that does not answer to those that lag.
func (m *Machine) nameSilent(lagging []*fleetv1.LaggingVM, name string) []*fleetv1.LaggingVM {
	_, reported := m.reports[name]
	named := slices.ContainsFunc(lagging, func(vm *fleetv1.LaggingVM) bool { return vm.GetName() == name })
	if reported || named || len(lagging) >= maxLaggingNames {
		return lagging
	}
	return append(lagging, &fleetv1.LaggingVM{Name: name})
}

// ZoneReachable reports whether a relay of the zone was heard lately, directly or
// through others.
func (m *Machine) ZoneReachable(now time.Duration, region, zone string) bool {
	timed, present := m.summaries[zoneKey{region: region, zone: zone}]
	return present && now-timed.countedAt <= m.summaryLife()
}

// Status adds up the zones. VMs of a zone that was not heard count as lagging.
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
		m.addPeer(now, &status, peer)
	}
	slices.SortFunc(status.Lagging, func(a, b LaggingVM) int { return strings.Compare(a.Name, b.Name) })
	return status
}

// addPeer adds a VM whose zone was not heard or lags as a whole.
func (m *Machine) addPeer(now time.Duration, status *Status, peer Peer) {
	revision := uint64(0)
	if m.ZoneReachable(now, peer.Region, peer.Zone) {
		revision = m.summaries[zoneKey{region: peer.Region, zone: peer.Zone}].summary.GetRevision()
		if revision == status.Revision {
			return
		}
	} else {
		status.Total++
	}
	named := slices.ContainsFunc(status.Lagging, func(l LaggingVM) bool { return l.Name == peer.Name })
	if !named {
		status.Lagging = append(status.Lagging, LaggingVM{Name: peer.Name, Revision: revision})
	}
}
