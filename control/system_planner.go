package control

import (
	"strconv"
	"time"

	"guavacrank.example/control/ownership"
	"guavacrank.example/control/placement"
	"guavacrank.example/control/planner"
	"guavacrank.example/event"
)

// planState is the state of a service's planner on this VM.
type planState struct {
	planner       *planner.Planner
	due           bool // Something changed: plan on the next possible tick.
	plannedAt     time.Duration
	loadQueriedAt time.Duration
	// unsatisfied maps the declared keys that can't be pinned to the reasons.
	unsatisfied map[string]string
}

// runBootstrap creates the page of a service that has none.
func (m *Machine) runBootstrap() {
	for _, s := range m.services {
		if !s.configured || !s.isPlanner || s.version != 0 || s.pending != nil || s.config.Shards <= 0 {
			continue
		}
		if s.confirmedSince(m.resumedAt) && m.members.known && m.now >= max(s.writeRetryAt, m.startedAt+bootstrapDelay) {
			m.createPage(s)
		}
	}
}

func (m *Machine) createPage(s *service) {
	terms := make(map[string]int)
	var servers []ownership.Server
	for _, sv := range s.servers {
		if !sv.configured {
			continue
		}
		grantor := m.leastLoadedGrantor(sv, terms)
		if grantor == "" {
			return
		}
		terms[grantor]++
		servers = append(servers, ownership.Server{Name: sv.name, Term: 1, Grantor: grantor})
	}
	units := make([]placement.Unit, s.config.Shards)
	for i := range units {
		units[i] = placement.Unit{ID: ownership.UnitID(i), Load: 1}
	}
	owners := make([]string, s.config.Shards)
	emptyPage := ownership.Page{Service: s.name, Servers: servers}
	for _, move := range (placement.Balanced{}).Plan(m.placementServers(s, &emptyPage), units, placement.Limits{}) {
		owners[move.Unit] = move.To
	}
	page, err := ownership.New(s.name, servers, owners)
	if err != nil {
		return // No server accepts units yet.
	}
	s.pageEdit = &pageEdit{page: page, causes: []string{"first page"}}
	m.emit(event.PageCreated, "the store has no page", "service", s.name, "shards", strconv.Itoa(s.config.Shards))
}

// leastLoadedGrantor returns the VM with the fewest terms in the best tier.
func (m *Machine) leastLoadedGrantor(sv *server, terms map[string]int) string {
	candidates := m.members.candidates(sv.config, "")
	if len(candidates) == 0 {
		return ""
	}
	best := candidates[0]
	for _, next := range candidates {
		if next.tier == best.tier && terms[next.member.Name] < terms[best.member.Name] {
			best = next
		}
	}
	return best.member.Name
}

// runPlanner plans for the services that this VM is the planner of.
func (m *Machine) runPlanner() {
	for _, s := range m.services {
		if !s.isPlanner || !s.configured || s.version == 0 || s.pageError != "" {
			s.plan.planner = nil
			continue
		}
		if s.plan.planner == nil {
			s.plan.planner = planner.New(placement.Balanced{}, s.planSettings(), m.now)
			s.plan.due = true
		}
		m.queryLoads(s)
		if !s.plan.due && m.now-s.plan.plannedAt < planInterval {
			continue
		}
		if m.canEdit(s) {
			m.planService(s)
		}
	}
}

func (s *service) planSettings() planner.Settings {
	settings := planner.Settings{
		HoldTime:       s.defaults.HoldTime,
		MovesPerMinute: s.defaults.MovesPerMinute,
		HotKeyShare:    s.defaults.HotKeyShare,
	}
	if settings.MovesPerMinute == 0 {
		settings.MovesPerMinute = defaultMovesPerMinute
	}
	return settings
}

// planService applies one plan to the page. Changes that can't be made now are
// planned again.
func (m *Machine) planService(s *service) {
	s.plan.due = false
	s.plan.plannedAt = m.now
	s.plan.planner.SetSettings(s.planSettings())
	m.planServers(s)
	m.reportUnsatisfiedKeys(s)
	plan := s.plan.planner.Plan(m.now, m.planView(s))
	if plan.Empty() {
		return
	}
	m.applyMoves(s, plan.Moves)
	for _, key := range plan.Isolate {
		m.isolateKey(s, key)
	}
	for _, key := range plan.Merge {
		m.mergeKey(s, key)
	}
	m.syncDeclaredMarks(s)
}

func (m *Machine) planView(s *service) planner.View {
	page := s.editedPage()
	view := planner.View{Page: page.Clone()}
	for i := range page.Servers {
		entry := &page.Servers[i]
		sv := s.ensureServer(entry.Name)
		view.Servers = append(view.Servers, planner.Server{
			Name: entry.Name, Slots: sv.config.Slots,
			AcceptsUnits: m.acceptsUnits(s, entry), KeepsUnits: m.keepsUnits(s, entry.Name),
		})
	}
	for _, declared := range s.config.Keys {
		view.Declarations = append(view.Declarations, planner.Declaration{Key: declared.Key, Server: declared.Server})
	}
	return view
}

// planServers adds configured servers to the page, and removes servers that are
// no longer configured once they own nothing.
func (m *Machine) planServers(s *service) {
	terms := make(map[string]int)
	for _, entry := range s.page.Servers {
		terms[entry.Grantor]++
	}
	for _, sv := range s.servers {
		entry := s.entry(sv)
		switch {
		case entry == nil && sv.configured:
			m.addServer(s, sv, terms)
		case entry != nil && !sv.configured && m.ownsNothing(s, sv.name):
			if d := m.editPage(s, "server "+sv.name+" removed"); d != nil && d.page.RemoveServer(sv.name) == nil {
				m.emit(event.ServerRemoved, "it is not in the configuration", "service", s.name, "server", sv.name)
			}
		}
	}
}

func (m *Machine) addServer(s *service, sv *server, terms map[string]int) {
	grantor := m.leastLoadedGrantor(sv, terms)
	if grantor == "" || m.ownedElsewhere(s, sv.name) {
		return
	}
	terms[grantor]++
	if d := m.editPage(s, "server "+sv.name+" added"); d != nil && d.page.AddServer(sv.name, grantor) == nil {
		m.emit(event.ServerAdded, "it is in the configuration", "service", s.name, "server", sv.name)
	}
}

// ownedElsewhere reports whether a server that was moved to another service is,
// or may be, still in the page of its old one. The server's fence tracks only
// one page.
func (m *Machine) ownedElsewhere(current *service, name string) bool {
	for _, s := range m.services {
		if s != current && (!s.confirmed || s.entry(&server{name: name}) != nil) {
			return true
		}
	}
	return false
}

func (m *Machine) ownsNothing(s *service, name string) bool {
	return len(s.owned[name]) == 0 && len(s.movingFrom[name]) == 0
}

// editedPage returns the page with the changes made by the systems of this
// tick.
func (s *service) editedPage() *ownership.Page {
	if s.pageEdit != nil {
		return &s.pageEdit.page
	}
	return &s.page
}

func (m *Machine) applyMoves(s *service, moves []placement.Move) {
	for _, move := range moves {
		d := m.editPage(s, "planned moves")
		if d == nil {
			return
		}
		if err := d.page.Move(move.Unit, move.To); err != nil {
			s.plan.due = true // The unit is still in an earlier move.
		}
	}
}

// acceptsUnits reports whether a server may be given units.
func (m *Machine) acceptsUnits(s *service, entry *ownership.Server) bool {
	return m.keepsUnits(s, entry.Name) && !entry.Down
}

// keepsUnits reports whether a server may keep the units that it owns.
func (m *Machine) keepsUnits(s *service, name string) bool {
	sv := s.server(name)
	return sv != nil && sv.configured && !sv.config.Draining && !m.serverDeclaredLost(sv)
}

// placementServers returns a page's servers as input for a placement policy.
func (m *Machine) placementServers(s *service, page *ownership.Page) []placement.Server {
	servers := make([]placement.Server, 0, len(page.Servers))
	for i := range page.Servers {
		entry := &page.Servers[i]
		servers = append(servers, placement.Server{
			Name:         entry.Name,
			Capacity:     float64(max(s.ensureServer(entry.Name).config.Slots, 1)),
			AcceptsUnits: m.acceptsUnits(s, entry),
			KeepsUnits:   m.keepsUnits(s, entry.Name),
		})
	}
	return servers
}

// placementUnits returns a page's units as input for a placement policy after a
// loss.
func (m *Machine) placementUnits(s *service, page *ownership.Page) []placement.Unit {
	units := make([]placement.Unit, len(page.Units))
	for i, unit := range page.Units {
		units[i] = placement.Unit{ID: unit.ID, Owner: unit.Owner, Load: 1, Fixed: true}
	}
	return units
}
