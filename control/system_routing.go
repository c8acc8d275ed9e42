package control

import (
	"slices"
	"time"

	"guavacrank.example/control/ownership"
)

// Routing returns the current routing. The caller must not modify it.
func (m *Machine) Routing() Routing { return m.routing }

// runRouting rebuilds the routing if something in it changed.
func (m *Machine) runRouting() {
	if !m.ready.RoutingChanged {
		return
	}
	m.routing = Routing{Generation: m.routing.Generation + 1, Revision: m.revision}
	for _, s := range m.services {
		if s.configured {
			m.routing.Services = append(m.routing.Services, m.routeService(s))
		}
	}
}

func (m *Machine) routeService(s *service) ServiceRouting {
	routed := ServiceRouting{
		Name: s.name, PageVersion: s.version, Shards: s.page.Shards,
		Units:     make([]UnitRouting, len(s.page.Units)),
		Overrides: slices.Clone(s.page.Overrides),
	}
	for i, unit := range s.page.Units {
		routed.Units[i] = UnitRouting{
			ID: unit.ID, Owner: unit.Owner, Epoch: unit.Epoch, Servable: s.servable(unit),
		}
	}
	for _, entry := range s.page.Servers {
		routed.Servers = append(routed.Servers, ServerRouting{
			Name: entry.Name, Home: entry.Grantor, Term: entry.Term, HomeUntil: s.homeUntil(entry.Name),
		})
	}
	return routed
}

func (s *service) servable(unit ownership.Unit) bool {
	if unit.Previous != "" && s.stoppedEpochs[unit.ID] < unit.Epoch {
		return false
	}
	if owner := s.server(unit.Owner); owner != nil && owner.drainTimedOut {
		return false
	}
	return !s.page.Server(unit.Owner).Down
}

func (s *service) homeUntil(name string) time.Duration {
	if sv := s.server(name); sv != nil {
		return sv.homeUntil
	}
	return 0
}
