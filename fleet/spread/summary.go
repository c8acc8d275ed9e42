package spread

import (
	"slices"
	"strings"
	"time"

	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

const (
	// summaryLife is how long a zone's summary is believed.
	summaryLife = 4 * time.Second
	// maxLaggingNames is the most lagging VMs that one summary names.
	maxLaggingNames = 8
)

type zoneKey struct{ region, zone string }

type inForceReport struct {
	revision uint64
	at       time.Duration
}

// timedSummary is a zone's summary and when its relay counted, by this VM's clock.
type timedSummary struct {
	summary   *fleetv1.ZoneSummary
	countedAt time.Duration
}

// Lagging is one VM below the highest revision in force.
type Lagging struct {
	Name     string
	Revision uint64 // Zero: nothing in force, or not heard.
}

// Status is what is in force in the fleet.
type Status struct {
	Revision uint64
	InForce  int
	Total    int
	Lagging  []Lagging
}

// takeReport notes what a VM has in force.
func (m *Machine) takeReport(now time.Duration, from string, revision uint64) {
	peer, present := m.topology.peer(from)
	if !present || !m.inOwnZone(peer) {
		return
	}
	changed := m.reports[from].revision != revision
	m.reports[from] = inForceReport{revision: revision, at: now}
	if changed && m.isZoneRelay() {
		m.hastenDigest(now)
	}
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
		if age > summaryLife {
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

// countZone adds up this zone from the reports of its VMs.
func (m *Machine) countZone(now time.Duration) *fleetv1.ZoneSummary {
	self := m.topology.self
	summary := &fleetv1.ZoneSummary{Region: self.Region, Zone: self.Zone}
	var all []Lagging
	for _, peer := range m.topology.peers {
		if !m.inOwnZone(peer) {
			continue
		}
		revision := m.revisionOf(now, peer.Name)
		all = append(all, Lagging{Name: peer.Name, Revision: revision})
		summary.Revision = max(summary.Revision, revision)
	}
	for _, vm := range all {
		summary.Total++
		if vm.Revision == summary.Revision && vm.Revision != 0 {
			summary.InForce++
			continue
		}
		if len(summary.Lagging) < maxLaggingNames {
			summary.Lagging = append(summary.Lagging, &fleetv1.LaggingVM{Name: vm.Name, Revision: vm.Revision})
		}
	}
	return summary
}

func (m *Machine) revisionOf(now time.Duration, name string) uint64 {
	if name == m.topology.self.Name {
		return m.inForce
	}
	report := m.reports[name]
	if now-report.at > summaryLife {
		return 0
	}
	return report.revision
}

// ZoneHeard reports whether a relay of the zone was heard lately, directly or
// through others.
func (m *Machine) ZoneHeard(now time.Duration, region, zone string) bool {
	timed, present := m.summaries[zoneKey{region: region, zone: zone}]
	return present && now-timed.countedAt <= summaryLife
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
			status.Lagging = append(status.Lagging, Lagging{Name: vm.GetName(), Revision: vm.GetRevision()})
		}
	}
	for _, peer := range m.topology.peers {
		m.addPeer(now, &status, peer)
	}
	slices.SortFunc(status.Lagging, func(a, b Lagging) int { return strings.Compare(a.Name, b.Name) })
	return status
}

// addPeer adds a VM whose zone was not heard or lags as a whole.
func (m *Machine) addPeer(now time.Duration, status *Status, peer Peer) {
	revision := uint64(0)
	if m.ZoneHeard(now, peer.Region, peer.Zone) {
		revision = m.summaries[zoneKey{region: peer.Region, zone: peer.Zone}].summary.GetRevision()
		if revision == status.Revision {
			return
		}
	} else {
		status.Total++
	}
	named := slices.ContainsFunc(status.Lagging, func(l Lagging) bool { return l.Name == peer.Name })
	if !named {
		status.Lagging = append(status.Lagging, Lagging{Name: peer.Name, Revision: revision})
	}
}
