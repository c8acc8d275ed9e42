package control

import (
	"slices"

	"guavacrank.example/control/ownership"
)

// runDrain stops new work for servers that are draining, even if their units
// could not be moved in time, for example during a store outage.
func (m *Machine) runDrain() {
	for _, s := range m.services {
		if !s.draining {
			continue
		}
		for _, sv := range s.servers {
			if sv.config.Draining && !sv.drainTimedOut && m.now-sv.drainingAt >= drainTimeout {
				sv.drainTimedOut = true
				sv.cachedGrants.valid = false
				m.ready.RoutingChanged = true
			}
		}
	}
}

// runServers updates the page entries of the servers that this VM is the
// grantor of.
func (m *Machine) runServers() {
	for _, s := range m.services {
		if s.version == 0 || s.pageError != "" {
			continue
		}
		for _, sv := range s.heldServers {
			if m.holds(s, sv) {
				m.cleanUpEntry(s, sv)
			}
		}
	}
}

// cleanUpEntry clears marks in a server's page entry that no longer apply.
func (m *Machine) cleanUpEntry(s *service, sv *server) {
	entry := s.entry(sv)
	if entry.Down && m.termAccepted(sv) && !m.silentFor(sv, m.sendInterval()+resendInterval) && !m.serverDeclaredLost(sv) {
		if d := m.editPage(s, "server "+sv.name+" returned"); d != nil {
			d.page.Server(sv.name).Down = false
		}
	}
	if len(entry.FormerGrantors) == 0 || m.now-sv.heldSince < formerCleanupDelay {
		return
	}
	if inactive := m.inactiveFormerGrantors(s, sv, entry); len(inactive) > 0 {
		if d := m.editPage(s, "former grantors of "+sv.name+" are done"); d != nil {
			nextEntry := d.page.Server(sv.name)
			nextEntry.FormerGrantors = slices.DeleteFunc(nextEntry.FormerGrantors, func(vm string) bool { return slices.Contains(inactive, vm) })
		}
	}
}

// termAccepted reports whether a server has accepted this VM's current term.
func (m *Machine) termAccepted(sv *server) bool {
	if !sv.config.ChecksGrants {
		return sv.answered
	}
	return sv.accepted.term == sv.heldTerm && sv.accepted.boot == sv.boot && sv.boot != ""
}

// inactiveFormerGrantors returns the former grantors whose earlier terms can no
// longer have any effect.
func (m *Machine) inactiveFormerGrantors(s *service, sv *server, entry *ownership.Server) []string {
	if sv.config.ChecksGrants && sv.accepted.term == entry.Term {
		return entry.FormerGrantors
	}
	var inactive []string
	for _, former := range entry.FormerGrantors {
		received := sv.releases[former]
		own := former == m.options.Self && m.now >= m.startedAt+m.maxSendTime(s)
		if own || (received.term >= entry.Term && m.now >= received.expiresAt) {
			inactive = append(inactive, former)
		}
	}
	return inactive
}
