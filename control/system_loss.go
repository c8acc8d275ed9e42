package control

import (
	"slices"
	"strconv"
	"time"

	"guavacrank.example/control/ownership"
	"guavacrank.example/control/placement"
	"guavacrank.example/event"
)

// runLoss reassigns the units of servers that are proven to have stopped.
func (m *Machine) runLoss() {
	for _, s := range m.services {
		if s.pageError != "" {
			continue
		}
		var lostServers []*server
		for _, sv := range s.heldServers {
			if m.holds(s, sv) && m.lostAndStopped(s, sv) {
				lostServers = append(lostServers, sv)
			}
		}
		m.reassignUnits(s, lostServers)
	}
}

// lostAndStopped reports whether a server that owns units, or that units are
// moving away from, does not answer and is proven to have stopped.
func (m *Machine) lostAndStopped(s *service, sv *server) bool {
	if len(s.owned[sv.name]) == 0 && len(s.movingFrom[sv.name]) == 0 {
		return false
	}
	if s.blockedByLoss(sv.name) {
		return false
	}
	declared := m.serverDeclaredLost(sv)
	if !declared && !m.silentFor(sv, m.grantTTL()/2) {
		m.resumeSends(sv)
		return false
	}
	m.stopSends(sv)
	end, known := m.stopTime(s, sv)
	if !known {
		m.reportUnreachable(s, sv)
		return false
	}
	// The read is issued before the wait is over. Without an answer from the
	// store no write is started, so that a server that returns during a store
	// outage is not blocked by a write of unknown outcome.
	if m.now >= end-storeAnswerMaxAge/2 {
		m.requestReadSince(s, max(0, m.now-storeAnswerMaxAge/2))
	}
	if !declared && !m.disabledRules.grantExpiry && !m.silentFor(sv, m.grantTTL()) {
		return false
	}
	return m.now >= end && s.storeResponsive(m.now)
}

// silentFor reports whether a server has not answered this VM, its grantor, for
// at least a given time.
func (m *Machine) silentFor(sv *server, length time.Duration) bool {
	since := max(sv.heldSince, m.resumedAt)
	if sv.answered {
		since = max(since, sv.lastAnswer)
	}
	return m.now-since >= length
}

// stopTime returns the time, on this VM's clock, from which a server that does
// not answer is proven to serve nothing. known is false while that depends on a
// release from a VM that can't be reached.
func (m *Machine) stopTime(s *service, sv *server) (end time.Duration, known bool) {
	if m.disabledRules.grantExpiry {
		return 0, true
	}
	if !sv.config.ChecksGrants {
		return m.sendsStopTime(s, sv)
	}
	// An earlier process on this VM may have sent orders until this one
	// started.
	end = max(sv.grantsExpireAt, m.startedAt+m.maxGrantLifetime())
	if m.serverDeclaredLost(sv) || sv.accepted.term == sv.heldTerm || m.disabledRules.fencing {
		return end, true
	}
	releasesExpiry, allReleased := m.releasesExpireAt(s, sv, m.maxGrantLifetime())
	return max(end, releasesExpiry), allReleased
}

// sendsStopTime is stopTime for a server that does not check grants: the end of
// the last request that a home may have sent to it.
func (m *Machine) sendsStopTime(s *service, sv *server) (time.Duration, bool) {
	if m.serverDeclaredLost(sv) {
		return m.now, true
	}
	if !sv.sendsStopped {
		return 0, false
	}
	end := max(sv.maxHomeUntil+m.longestDeadline(s), m.startedAt+m.maxSendTime(s))
	if sv.sendsIdle {
		end = m.now
	}
	releasesExpiry, allReleased := m.releasesExpireAt(s, sv, m.maxSendTime(s))
	return max(end, releasesExpiry), allReleased
}

// releasesExpireAt returns the time at which nothing that a former grantor
// started at a server is still in effect, where maxRemaining is the longest
// time for which something may be. allReleased is false while a former grantor
// has neither released its term nor been declared lost.
func (m *Machine) releasesExpireAt(s *service, sv *server, maxRemaining time.Duration) (expiry time.Duration, allReleased bool) {
	entry := s.entry(sv)
	for _, former := range entry.FormerGrantors {
		switch declaredAt, declared := m.vmDeclaredLost(former); {
		case declared:
			expiry = max(expiry, declaredAt+maxRemaining)
		case former == m.options.Self:
			expiry = max(expiry, m.startedAt+maxRemaining, sv.grantsExpireAt)
		case sv.releases[former].term >= entry.Term:
			expiry = max(expiry, sv.releases[former].expiresAt)
		default:
			return 0, false
		}
	}
	return expiry, true
}

func (m *Machine) reportUnreachable(s *service, sv *server) {
	if sv.bothUnreachableReported {
		return
	}
	sv.bothUnreachableReported = true
	entry := s.entry(sv)
	m.emit(event.BothUnreachable, "no answer from the server, and no release by a former grantor",
		"service", s.name, "server", sv.name, "former", joinNames(entry.FormerGrantors))
}

// reassignUnits writes new owners for the units of servers that have stopped.
func (m *Machine) reassignUnits(s *service, lostServers []*server) {
	if len(lostServers) == 0 || !m.reassignmentNeeded(s, lostServers) {
		return
	}
	d := m.editPage(s, "lost "+joinServerNames(lostServers))
	if d == nil {
		return
	}
	names := make([]string, 0, len(lostServers))
	for _, sv := range lostServers {
		names = append(names, sv.name)
		d.page.Server(sv.name).Down = true
		sv.returnReported = false
		sv.bothUnreachableReported = false
	}
	d.lostServers = append(d.lostServers, names...)
	clearPreviousOwners(&d.page, names)
	units := 0
	for _, move := range m.planLoss(s, &d.page, names) {
		if s.stoppedEpochs[move.Unit] >= d.page.Unit(move.Unit).Epoch {
			d.page.Unit(move.Unit).Previous = ""
		}
		if err := d.page.Reassign(move.Unit, move.To); err == nil {
			units++
		}
	}
	m.emit(event.ServerLost, "no answer before its grant expired", "service", s.name,
		"servers", joinNames(names), "units", strconv.Itoa(units))
}

// reassignmentNeeded reports whether a write would change anything. It would
// not if the servers are already marked down and no other server accepts units.
func (m *Machine) reassignmentNeeded(s *service, lost []*server) bool {
	for _, sv := range lost {
		if !s.entry(sv).Down || len(s.movingFrom[sv.name]) > 0 {
			return true
		}
	}
	for _, target := range m.placementServers(s, &s.page) {
		if target.AcceptsUnits && !slices.ContainsFunc(lost, func(sv *server) bool { return sv.name == target.Name }) {
			return true
		}
	}
	return false
}

// clearPreviousOwners clears Previous of the units that are moving away from
// lost servers.
func clearPreviousOwners(page *ownership.Page, lost []string) {
	for i := range page.Units {
		if slices.Contains(lost, page.Units[i].Previous) {
			page.Units[i].Previous = ""
		}
	}
}

// planLoss chooses new owners for the units of lost servers and moves no other
// units.
func (m *Machine) planLoss(s *service, page *ownership.Page, lost []string) []placement.Move {
	servers := m.placementServers(s, page)
	doubtfulZones := m.suspectedZones(s, lost)
	preferred := make([]placement.Server, len(servers))
	accepting := false
	for i, server := range servers {
		preferred[i] = server
		preferred[i].KeepsUnits = !slices.Contains(lost, server.Name)
		preferred[i].AcceptsUnits = server.AcceptsUnits && preferred[i].KeepsUnits
		servers[i].AcceptsUnits, servers[i].KeepsUnits = preferred[i].AcceptsUnits, preferred[i].KeepsUnits
		if slices.Contains(doubtfulZones, s.server(server.Name).config.Zone) || m.suspectedServer(s, server.Name) {
			preferred[i].AcceptsUnits = false
		}
		accepting = accepting || preferred[i].AcceptsUnits
	}
	if accepting {
		servers = preferred
	}
	var moves []placement.Move
	for _, move := range (placement.Balanced{}).Plan(servers, m.placementUnits(s, page), placement.Limits{}) {
		if slices.Contains(lost, move.From) {
			moves = append(moves, move)
		}
	}
	return moves
}

// suspectedZones returns the availability zones in which at least two of the
// servers that this VM is the grantor of are lost or do not answer, and none
// answers.
func (m *Machine) suspectedZones(s *service, lost []string) []string {
	silentCounts := make(map[string]int)
	for _, sv := range s.heldServers {
		if !m.holds(s, sv) {
			continue
		}
		if slices.Contains(lost, sv.name) || m.silentFor(sv, m.grantTTL()/2) {
			silentCounts[sv.config.Zone]++
		} else {
			silentCounts[sv.config.Zone] = -len(s.servers)
		}
	}
	var zones []string
	for zone, count := range silentCounts {
		if count >= 2 {
			zones = append(zones, zone)
		}
	}
	return zones
}

// suspectedServer reports whether this VM is a server's grantor and gets no
// answers from it.
func (m *Machine) suspectedServer(s *service, name string) bool {
	sv := s.server(name)
	return sv != nil && m.holds(s, sv) && m.silentFor(sv, m.grantTTL()/2)
}
