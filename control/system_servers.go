package control

import (
	"slices"

	"guavacrank.example/control/ownership"
)

// runDrain ends the work of servers that are leaving, also of those whose units
// could not be moved in time, as during an outage of the store.
func (m *Machine) runDrain() {
	for _, s := range m.services {
		if !s.draining {
			continue
		}
		for _, sv := range s.servers {
			if sv.config.Draining && !sv.closed && m.now-sv.drainingAt >= drainLimit {
				sv.closed = true
				sv.set.valid = false
				m.ready.RoutingChanged = true
			}
		}
	}
}

// runServers keeps the page's notes on the servers that this VM is the grantor of.
func (m *Machine) runServers() {
	for _, s := range m.services {
		if s.version == 0 || s.fault != "" {
			continue
		}
		for _, sv := range s.mine {
			if m.holds(s, sv) {
				m.tidyServer(s, sv)
			}
		}
	}
}

// tidyServer clears notes of the page that its holder knows to be over.
func (m *Machine) tidyServer(s *service, sv *server) {
	entry := s.entry(sv)
	if entry.Down && m.inForce(sv) && !m.silent(sv, m.sendInterval()+resendInterval) && !m.serverDeclaredLost(sv) {
		if d := m.edit(s, "server "+sv.name+" returned"); d != nil {
			d.page.Server(sv.name).Down = false
		}
	}
	if len(entry.FormerGrantors) == 0 || m.now-sv.heldSince < formerTidyDelay {
		return
	}
	if cleared := m.formerCleared(s, sv, entry); len(cleared) > 0 {
		if d := m.edit(s, "former grantors of "+sv.name+" are done"); d != nil {
			row := d.page.Server(sv.name)
			row.FormerGrantors = slices.DeleteFunc(row.FormerGrantors, func(vm string) bool { return slices.Contains(cleared, vm) })
		}
	}
}

// inForce reports whether a server accepted this VM's present term.
func (m *Machine) inForce(sv *server) bool {
	if !sv.config.ChecksGrants {
		return sv.answered
	}
	return sv.accepted.term == sv.heldTerm && sv.accepted.boot == sv.boot && sv.boot != ""
}

// formerCleared returns the former grantors whose earlier terms can do nothing more.
func (m *Machine) formerCleared(s *service, sv *server, entry *ownership.Server) []string {
	if sv.config.ChecksGrants && sv.accepted.term == entry.Term {
		return entry.FormerGrantors
	}
	var cleared []string
	for _, former := range entry.FormerGrantors {
		given := sv.releases[former]
		own := former == m.options.Self && m.now >= m.startedAt+m.sendsBound(s)
		if own || (given.term >= entry.Term && m.now >= given.until) {
			cleared = append(cleared, former)
		}
	}
	return cleared
}
