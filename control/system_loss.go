package control

import (
	"slices"
	"strconv"
	"time"

	"guavacrank.example/control/ownership"
	"guavacrank.example/control/placement"
	"guavacrank.example/event"
)

// runLoss gives the units of servers that provably stopped to others.
func (m *Machine) runLoss() {
	for _, s := range m.services {
		if s.fault != "" {
			continue
		}
		var lost []*server
		for _, sv := range s.mine {
			if m.holds(s, sv) && m.lostAndStopped(s, sv) {
				lost = append(lost, sv)
			}
		}
		m.moveOff(s, lost)
	}
}

// lostAndStopped reports whether a server with units, or units waiting for it,
// does not answer and has provably stopped.
func (m *Machine) lostAndStopped(s *service, sv *server) bool {
	if len(s.owned[sv.name]) == 0 && len(s.leaving[sv.name]) == 0 {
		return false
	}
	if s.blockedByLoss(sv.name) {
		return false
	}
	declared := m.serverDeclaredLost(sv)
	if !declared && !m.silent(sv, m.timeToLive()/2) {
		m.resumeSends(sv)
		return false
	}
	m.stopSends(sv)
	end, known := m.stopTime(s, sv)
	if !known {
		m.reportUnreachable(s, sv)
		return false
	}
	// The read is under way before the wait is over: without an answer of the
	// store no write is begun, so that a server that returns during an outage
	// of the store is not barred by a write of unknown outcome.
	if m.now >= end-storeFresh/2 {
		m.wantSince(s, max(0, m.now-storeFresh/2))
	}
	if !declared && !m.disabled.waitOut && !m.silent(sv, m.timeToLive()) {
		return false
	}
	return m.now >= end && s.storeAnswers(m.now)
}

// silent reports whether a server has not answered this VM, its grantor, for a time.
func (m *Machine) silent(sv *server, length time.Duration) bool {
	since := max(sv.heldSince, m.resumedAt)
	if sv.answered {
		since = max(since, sv.lastAnswer)
	}
	return m.now-since >= length
}

// stopTime returns the time from which a silent server provably serves nothing,
// on this VM's clock; known is false while that rests on the release of a VM that
// is out of reach.
func (m *Machine) stopTime(s *service, sv *server) (end time.Duration, known bool) {
	if m.disabled.waitOut {
		return 0, true
	}
	if !sv.config.ChecksGrants {
		return m.sendsStopTime(s, sv)
	}
	// An earlier process on this VM may have sent orders until this one started.
	end = max(sv.grantEnd, m.startedAt+m.grantLife())
	if m.serverDeclaredLost(sv) || sv.accepted.term == sv.heldTerm || m.disabled.fence {
		return end, true
	}
	releasesEnd, given := m.releasesEnd(s, sv, m.grantLife())
	return max(end, releasesEnd), given
}

// sendsStopTime is stopTime of a server that does not check grants: the end of
// the last request that a home may have sent to it.
func (m *Machine) sendsStopTime(s *service, sv *server) (time.Duration, bool) {
	if m.serverDeclaredLost(sv) {
		return m.now, true
	}
	if !sv.sendsStopped {
		return 0, false
	}
	end := max(sv.lastHomeUntil+m.longestDeadline(s), m.startedAt+m.sendsBound(s))
	if sv.sendsIdle {
		end = m.now
	}
	releasesEnd, given := m.releasesEnd(s, sv, m.sendsBound(s))
	return max(end, releasesEnd), given
}

// releasesEnd returns the time at which nothing that a former grantor began at a
// server lasts, given the longest life of what one may have begun; given is
// false while a former grantor has not released its term and is not declared lost.
func (m *Machine) releasesEnd(s *service, sv *server, life time.Duration) (end time.Duration, given bool) {
	entry := s.entry(sv)
	for _, former := range entry.FormerGrantors {
		switch declaredAt, declared := m.vmDeclaredLost(former); {
		case declared:
			end = max(end, declaredAt+life)
		case former == m.options.Self:
			end = max(end, m.startedAt+life, sv.grantEnd)
		case sv.releases[former].term >= entry.Term:
			end = max(end, sv.releases[former].until)
		default:
			return 0, false
		}
	}
	return end, true
}

func (m *Machine) reportUnreachable(s *service, sv *server) {
	if sv.unreachable {
		return
	}
	sv.unreachable = true
	entry := s.entry(sv)
	m.emit(event.BothOutOfReach, "no answer from the server, and no release by a former grantor",
		"service", s.name, "server", sv.name, "former", joinNames(entry.FormerGrantors))
}

// moveOff writes other owners for the units of servers that stopped.
func (m *Machine) moveOff(s *service, lost []*server) {
	if len(lost) == 0 || !m.canMoveOff(s, lost) {
		return
	}
	d := m.edit(s, "lost "+joinServers(lost))
	if d == nil {
		return
	}
	names := make([]string, 0, len(lost))
	for _, sv := range lost {
		names = append(names, sv.name)
		d.page.Server(sv.name).Down = true
		sv.returned = false
		sv.unreachable = false
	}
	d.losses = append(d.losses, names...)
	clearWaiting(&d.page, names)
	units := 0
	for _, move := range m.planLoss(s, &d.page, names) {
		if s.stopped[move.Unit] >= d.page.Unit(move.Unit).Epoch {
			d.page.Unit(move.Unit).Previous = ""
		}
		if err := d.page.Reassign(move.Unit, move.To); err == nil {
			units++
		}
	}
	m.emit(event.ServerLost, "no answer until its grant had run out", "service", s.name,
		"servers", joinNames(names), "units", strconv.Itoa(units))
}

// canMoveOff reports whether a write would change anything: it would not when
// the servers are known to be lost and no other server accepts units.
func (m *Machine) canMoveOff(s *service, lost []*server) bool {
	for _, sv := range lost {
		if !s.entry(sv).Down || len(s.leaving[sv.name]) > 0 {
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

// clearWaiting notes that units which waited for lost servers need not.
func clearWaiting(page *ownership.Page, lost []string) {
	for i := range page.Units {
		if slices.Contains(lost, page.Units[i].Previous) {
			page.Units[i].Previous = ""
		}
	}
}

// planLoss chooses new owners for the units of lost servers, and moves no others.
func (m *Machine) planLoss(s *service, page *ownership.Page, lost []string) []placement.Move {
	servers := m.placementServers(s, page)
	doubtful := m.doubtfulZones(s, lost)
	preferred := make([]placement.Server, len(servers))
	accepting := false
	for i, server := range servers {
		preferred[i] = server
		preferred[i].KeepsUnits = !slices.Contains(lost, server.Name)
		preferred[i].AcceptsUnits = server.AcceptsUnits && preferred[i].KeepsUnits
		servers[i].AcceptsUnits, servers[i].KeepsUnits = preferred[i].AcceptsUnits, preferred[i].KeepsUnits
		if slices.Contains(doubtful, s.server(server.Name).config.Zone) || m.doubtful(s, server.Name) {
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

// doubtfulZones returns the zones in which this VM, a grantor, has lost two
// servers or more and reaches none.
func (m *Machine) doubtfulZones(s *service, lost []string) []string {
	silentServers := make(map[string]int)
	for _, sv := range s.mine {
		if !m.holds(s, sv) {
			continue
		}
		if slices.Contains(lost, sv.name) || m.silent(sv, m.timeToLive()/2) {
			silentServers[sv.config.Zone]++
		} else {
			silentServers[sv.config.Zone] = -len(s.servers)
		}
	}
	var zones []string
	for zone, count := range silentServers {
		if count >= 2 {
			zones = append(zones, zone)
		}
	}
	return zones
}

// doubtful reports whether this VM is a server's grantor and hears nothing from it.
func (m *Machine) doubtful(s *service, name string) bool {
	sv := s.server(name)
	return sv != nil && m.holds(s, sv) && m.silent(sv, m.timeToLive()/2)
}
