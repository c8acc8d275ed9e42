package control

import (
	"slices"

	"guavacrank.example/backend"
	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// runInvariants checks every order of this tick against the page, independently
// of the systems that created it. An order that must not be sent is dropped and
// reported as an event; the grant then expires.
func (m *Machine) runInvariants() {
	m.ready.Grants = slices.DeleteFunc(m.ready.Grants, func(send GrantRequest) bool {
		if send.Order.Boot == "" {
			return false
		}
		violation := m.findViolation(send)
		if violation != "" {
			m.emit(event.InvariantViolated, violation, "server", send.Server, "grantor", m.options.Self)
		}
		return violation != ""
	})
}

// findViolation returns why an order must not be sent, or "".
func (m *Machine) findViolation(send GrantRequest) string {
	for _, s := range m.services {
		entry := s.page.Server(send.Server)
		if entry == nil {
			continue
		}
		sv := s.server(send.Server)
		switch {
		case entry.Grantor != m.options.Self || uint64(entry.Term) != send.Order.Term:
			return "an order under a term that this VM does not hold"
		case entry.Term < sv.releasedBelow:
			return "an order under a term that this VM released"
		case s.blockedByLoss(send.Server):
			return "an order to a server whose units an unresolved write moves away"
		}
		return m.findUnitViolation(s, send)
	}
	return "an order to a server that is in no page"
}

func (m *Machine) findUnitViolation(s *service, send GrantRequest) string {
	for _, granted := range send.Order.Units {
		if !m.mayServe(s, send.Server, granted) {
			return "an order for a unit that the server may not serve"
		}
	}
	return ""
}

// mayServe reports whether the page allows a server to serve a unit at an
// epoch.
func (m *Machine) mayServe(s *service, name string, granted backend.UnitGrant) bool {
	unit := s.page.Unit(ownership.UnitID(granted.Unit))
	if unit == nil || unit.Owner != name || uint64(unit.Epoch) != granted.Epoch {
		return false
	}
	return unit.Previous == "" || s.stoppedEpochs[unit.ID] >= unit.Epoch || m.disabledRules.previousOwner
}
