package control

import (
	"time"

	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// runTakeover takes over the terms of grantors that are lost, that request a
// handover, or that were an earlier process on this VM.
func (m *Machine) runTakeover() {
	for _, s := range m.services {
		if s.version == 0 || s.pageError != "" {
			continue
		}
		for _, sv := range s.heldServers {
			m.replaceOwnTerm(s, sv, s.entry(sv))
		}
		for i := range s.otherGrantors {
			m.checkGrantor(s, &s.otherGrantors[i])
		}
	}
}

// checkGrantor checks whether to take over terms of another grantor.
func (m *Machine) checkGrantor(s *service, group *grantorGroup) {
	_, declared := m.vmDeclaredLost(group.grantor)
	suspected := group.grantor == "" || declared || m.members.suspects(group.grantor, m.now)
	if suspected || group.suspected || s.handoverPending {
		for _, sv := range group.servers {
			m.checkTakeover(s, sv, suspected, declared)
		}
	}
	group.suspected = suspected
}

// replaceOwnTerm takes a new term if the current one was used by an earlier
// process on this VM or was released by this VM.
func (m *Machine) replaceOwnTerm(s *service, sv *server, entry *ownership.Server) {
	released := entry.Term < sv.releasedBelow
	refused := sv.config.ChecksGrants && sv.boot != "" && m.needsNewTerm(sv) && s.confirmedSince(sv.clockAt)
	if !m.stopping && (released || refused) {
		m.takeTerm(s, sv, "new process of the grantor")
	}
}

func (m *Machine) checkTakeover(s *service, sv *server, suspected, declared bool) {
	entry := s.entry(sv)
	asked := sv.handoverTerm == entry.Term && m.now-sv.handoverRequestedAt < handoverTimeout
	if !suspected {
		sv.suspected = false
	}
	if m.stopping || (!asked && !suspected) {
		return
	}
	if !asked && !m.takeoverDue(sv, entry) {
		return
	}
	if declared && m.serverDeclaredLost(sv) {
		m.takeTerm(s, sv, "server and grantor are declared lost")
		return
	}
	if !sv.answered || m.now-sv.lastAnswer > helloMaxAge {
		m.sendHello(s, sv, helloInterval)
		return
	}
	cause := "grantor " + entry.Grantor + " is lost"
	if asked {
		cause = "grantor " + entry.Grantor + " hands over"
	}
	m.takeTerm(s, sv, cause)
}

// takeoverDue reports whether this VM should take over a term now. Each
// candidate waits for those before it in the order.
func (m *Machine) takeoverDue(sv *server, entry *ownership.Server) bool {
	if sv.termLost && m.now-sv.termLostAt < regainDelay {
		return false
	}
	position := rank(m.members.candidates(sv.config, entry.Grantor), m.options.Self)
	if position < 0 || (position >= standbys && m.members.listedAlive(entry.Grantor)) {
		// This VM does not get the grantor's heartbeats; the grantor's final
		// heartbeat to it may have been lost.
		return false
	}
	if !sv.suspected {
		sv.suspected = true
		sv.suspectedAt = m.now
	}
	return m.now-sv.suspectedAt >= time.Duration(position)*takeoverStagger
}

func (m *Machine) takeTerm(s *service, sv *server, cause string) {
	if d := m.editPage(s, cause); d != nil {
		if err := d.page.TakeTerm(sv.name, m.options.Self, sv.highestTerm); err != nil {
			m.emit(event.InvariantViolated, err.Error(), "service", s.name)
		}
	}
}

// runTermQueries asks former grantors to release their terms where a server has
// not accepted this VM's term, or does not check grants.
func (m *Machine) runTermQueries() {
	for _, s := range m.services {
		for _, sv := range s.heldServers {
			if m.holds(s, sv) && m.now-sv.formerQueriedAt >= termQueryInterval {
				m.queryFormer(s, sv)
			}
		}
	}
}

func (m *Machine) queryFormer(s *service, sv *server) {
	entry := s.entry(sv)
	if sv.config.ChecksGrants && sv.accepted.term == sv.heldTerm {
		return
	}
	for _, former := range entry.FormerGrantors {
		if received := sv.releases[former]; received.term < entry.Term || received.expiresAt > m.now {
			sv.formerQueriedAt = m.now
			m.send(former, Message{TermQuery: &TermQuery{Service: s.name, Server: sv.name, Term: entry.Term}})
		}
	}
}

// answerTermQuery confirms that this VM does not act on any term below the
// query's.
func (m *Machine) answerTermQuery(from string, query *TermQuery) {
	s := m.service(query.Service)
	if s == nil {
		return
	}
	sv := s.ensureServer(query.Server)
	entry := s.entry(sv)
	if entry != nil && entry.Grantor == m.options.Self && entry.Term >= query.Term {
		return
	}
	sv.releasedBelow = max(sv.releasedBelow, query.Term)
	sv.homeUntil = 0
	m.stopSends(sv)
	m.requestReadSince(s, m.now)
	m.ready.RoutingChanged = true
	remaining := max(0, max(sv.grantsExpireAt, m.startedAt+m.maxGrantLifetime())-m.now)
	if !sv.config.ChecksGrants {
		remaining = m.remainingSendTime(s, sv)
	}
	m.send(from, Message{TermReleased: &TermReleased{
		Service: s.name, Server: sv.name, Term: query.Term,
		GrantLifetimeMs: int64((remaining + time.Millisecond - 1) / time.Millisecond),
	}})
}

// recordRelease records a release from a former grantor. If a term is released
// repeatedly, the earliest expiry counts, since each of the releases is
// correct.
func (m *Machine) recordRelease(from string, released *TermReleased) {
	s := m.service(released.Service)
	if s == nil {
		return
	}
	sv := s.server(released.Server)
	if sv == nil || released.GrantLifetimeMs < 0 {
		return
	}
	remaining := time.Duration(released.GrantLifetimeMs) * time.Millisecond
	// The clocks of the two VMs may run at different rates.
	expiresAt := m.now + remaining + (m.maxGrantLifetime() - m.grantTTL())
	earlier, known := sv.releases[from]
	switch {
	case known && earlier.term > released.Term:
		return
	case known && earlier.term == released.Term:
		expiresAt = min(expiresAt, earlier.expiresAt)
	}
	sv.releases[from] = release{term: released.Term, expiresAt: expiresAt}
}
