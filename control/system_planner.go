package control

import (
	"slices"
	"strconv"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
	"guavacrank.example/control/placement"
	"guavacrank.example/event"
)

// plan is the state of a service's planner.
type plan struct {
	due      bool // Something changed: plan on this tick.
	movedAt  map[ownership.UnitID]time.Duration
	moves    []time.Duration          // Times of the moves by choice in the last minute.
	accepts  map[string]time.Duration // Since when each server accepts units.
	complain map[string]string        // Declared keys that can't be satisfied, with the reason.
	queryAt  time.Duration
}

const (
	// warmUp is the time in which a server that joins reaches its full weight.
	warmUp = 60 * time.Second
	// coldWeight is the part of its weight that a server starts with.
	coldWeight = 0.25
	// movesPeriod is the period of the bound on moves by choice.
	movesPeriod = time.Minute
)

// runBootstrap creates the page of a service that has none.
func (m *Machine) runBootstrap() {
	for _, s := range m.services {
		if !s.configured || !s.planner || s.version != 0 || s.pending != nil || s.config.Shards <= 0 {
			continue
		}
		if s.confirmedSince(m.resumedAt) && m.members.known && m.now >= s.retryAt {
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
		grantor := m.leastLoaded(sv, terms)
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
	first := ownership.Page{Service: s.name, Servers: servers}
	for _, move := range (placement.Balanced{}).Plan(m.placementServers(s, &first), units, placement.Limits{}) {
		owners[move.Unit] = move.To
	}
	page, err := ownership.New(s.name, servers, owners)
	if err != nil {
		return // No server accepts units yet.
	}
	s.draft = &draft{page: page, causes: []string{"first page"}}
	m.emit(event.PageCreated, "the store has no page", "service", s.name, "shards", strconv.Itoa(s.config.Shards))
}

// leastLoaded returns the VM with the fewest terms in the best tier.
func (m *Machine) leastLoaded(sv *server, terms map[string]int) string {
	best, chosen := 0, ""
	tier := -1
	for _, next := range m.members.candidates(sv.config, "") {
		if tier >= 0 && next.tier != tier {
			continue
		}
		count := terms[next.member.Name]
		if chosen == "" || count < best {
			best, chosen, tier = count, next.member.Name, next.tier
		}
	}
	return chosen
}

// runPlanner plans for the services whose planner this VM is.
func (m *Machine) runPlanner() {
	for _, s := range m.services {
		rolled := m.rollLoad(s)
		if s.version == 0 || s.fault != "" {
			continue
		}
		m.noteAccepting(s)
		if !s.planner || !s.configured {
			continue
		}
		m.queryLoads(s)
		if !s.plan.due && !rolled {
			continue
		}
		if s.pending != nil || !s.confirmedSince(m.resumedAt) || m.now < s.retryAt {
			continue
		}
		s.plan.due = false
		m.planServers(s)
		m.planKeys(s)
		m.planMoves(s, rolled)
	}
}

// planServers adds configured servers to the page, and removes those that the
// configuration no longer names once they own nothing.
func (m *Machine) planServers(s *service) {
	terms := make(map[string]int)
	for _, entry := range s.page.Servers {
		terms[entry.Grantor]++
	}
	for _, sv := range s.servers {
		entry := s.entry(sv)
		switch {
		case entry == nil && sv.configured:
			grantor := m.leastLoaded(sv, terms)
			if grantor == "" {
				continue
			}
			terms[grantor]++
			if d := m.edit(s, "server "+sv.name+" added"); d != nil && d.page.AddServer(sv.name, grantor) == nil {
				m.emit(event.ServerAdded, "the configuration names it", "service", s.name, "server", sv.name)
			}
		case entry != nil && !sv.configured && m.ownsNothing(s, sv.name):
			if d := m.edit(s, "server "+sv.name+" removed"); d != nil {
				d.page.RemoveServer(sv.name)
				m.emit(event.ServerRemoved, "the configuration does not name it", "service", s.name, "server", sv.name)
			}
		}
	}
}

func (m *Machine) ownsNothing(s *service, name string) bool {
	return len(s.owned[name]) == 0 && len(s.leaving[name]) == 0
}

// draftPage is the page as the systems of this tick have edited it so far.
func (s *service) draftPage() *ownership.Page {
	if s.draft != nil {
		return &s.draft.page
	}
	return &s.page
}

// planMoves writes moves: off servers that are leaving, always; for balance,
// when load was measured, within the bounds on churn.
func (m *Machine) planMoves(s *service, rolled bool) {
	page := s.draftPage()
	limits := placement.Limits{}
	if rolled && s.loadTable.Known() {
		limits = placement.Limits{Moves: m.movesLeft(s), Noise: s.loadTable.Noise(len(page.Servers))}
	}
	moves := (placement.Balanced{}).Plan(m.placementServers(s, page), m.placementUnits(s, page), limits)
	if len(moves) == 0 {
		return
	}
	servers := m.placementServers(s, page)
	d := m.edit(s, "planned moves")
	if d == nil {
		return
	}
	for _, move := range moves {
		if err := d.page.Move(move.Unit, move.To); err != nil {
			s.plan.due = true // It waits for an earlier move; plan again.
			continue
		}
		i := slices.IndexFunc(servers, func(server placement.Server) bool { return server.Name == move.From })
		if i >= 0 && servers[i].Keeps {
			s.plan.moves = append(s.plan.moves, m.now)
		}
		s.plan.movedAt[move.Unit] = m.now
	}
}

// movesLeft is the number of moves by choice that the bound still allows.
func (m *Machine) movesLeft(s *service) int {
	s.plan.moves = slices.DeleteFunc(s.plan.moves, func(at time.Duration) bool { return m.now-at >= movesPeriod })
	bound := m.defaults.MovesPerMinute
	if bound <= 0 {
		bound = defaultMoves
	}
	return max(0, bound-len(s.plan.moves))
}

// noteAccepting follows since when each server accepts units.
func (m *Machine) noteAccepting(s *service) {
	for i := range s.page.Servers {
		entry := &s.page.Servers[i]
		_, known := s.plan.accepts[entry.Name]
		accepts := m.acceptsUnits(s, entry)
		if accepts && !known {
			s.plan.accepts[entry.Name] = m.now
		}
		if !accepts && known {
			delete(s.plan.accepts, entry.Name)
		}
	}
}

// acceptsUnits reports whether a server may be given units.
func (m *Machine) acceptsUnits(s *service, entry *ownership.Server) bool {
	return m.keepsUnits(s, entry.Name) && !entry.Down
}

// keepsUnits reports whether a server may keep the units it owns.
func (m *Machine) keepsUnits(s *service, name string) bool {
	sv := s.server(name)
	return sv != nil && sv.configured && !sv.config.Draining && !m.serverDeclaredLost(sv)
}

// placementServers is a page's servers as a placement policy sees them.
func (m *Machine) placementServers(s *service, page *ownership.Page) []placement.Server {
	servers := make([]placement.Server, 0, len(page.Servers))
	for i := range page.Servers {
		entry := &page.Servers[i]
		servers = append(servers, placement.Server{
			Name:     entry.Name,
			Capacity: m.capacity(s, entry.Name),
			Accepts:  m.acceptsUnits(s, entry),
			Keeps:    m.keepsUnits(s, entry.Name),
		})
	}
	return servers
}

// capacity weighs a server by its slots, less while it is cold.
func (m *Machine) capacity(s *service, name string) float64 {
	var declared config.Server
	if sv := s.server(name); sv != nil {
		declared = sv.config
	}
	weight := 1.0
	if since, known := s.plan.accepts[name]; known && m.now-since < warmUp {
		weight = coldWeight + (1-coldWeight)*(m.now-since).Seconds()/warmUp.Seconds()
	}
	return weight * float64(max(declared.Slots, 1))
}

// placementUnits is a page's units as a placement policy sees them.
func (m *Machine) placementUnits(s *service, page *ownership.Page) []placement.Unit {
	units := make([]placement.Unit, len(page.Units))
	known := s.loadTable.Known() && s.loadTable.Total() > 0
	for i, unit := range page.Units {
		loadOfUnit := 1.0
		if known {
			loadOfUnit = s.loadTable.Rate(unit.ID)
		}
		moved, recently := s.plan.movedAt[unit.ID]
		units[i] = placement.Unit{
			ID: unit.ID, Owner: unit.Owner, Load: loadOfUnit,
			Fixed: unit.Previous != "" || (recently && m.now-moved < m.defaults.HoldTime),
		}
	}
	for _, override := range page.Overrides {
		if override.Declared {
			if i, found := slices.BinarySearchFunc(units, override.Unit, compareUnit); found {
				units[i].Fixed = true
			}
		}
	}
	return units
}

func compareUnit(unit placement.Unit, id ownership.UnitID) int {
	return int(int64(unit.ID) - int64(id))
}
