package control

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// PlannerRole returns the name of the role that makes its holder the planner of
// a service.
func PlannerRole(service string) string { return "planner/" + service }

func (m *Machine) acceptConfiguration(in ConfigurationAccepted) {
	if in.Configuration == nil || in.Revision <= m.revision {
		return
	}
	m.revision = in.Revision
	m.defaults = in.Configuration.Defaults
	m.updateDeclaredLost(in.Configuration.Lost)
	for _, s := range m.services {
		s.configured = false
		for _, sv := range s.servers {
			sv.configured = false
		}
	}
	for _, declared := range in.Configuration.Services {
		if declared.DividedByKey {
			m.configureService(declared, in.Configuration)
		}
	}
	m.ready.RoutingChanged = true
}

func (m *Machine) updateDeclaredLost(declared []config.Lost) {
	next := make(lostTable, len(declared))
	for _, lost := range declared {
		what := config.Lost{Kind: lost.Kind, Name: lost.Name}
		next[what] = m.now
		if at, known := m.declaredLost[what]; known {
			next[what] = at
		}
	}
	m.declaredLost = next
}

func (m *Machine) configureService(declared config.Service, configuration *config.Configuration) {
	i, found := m.serviceIndex(declared.Name)
	if !found {
		m.services = slices.Insert(m.services, i, newService(declared.Name, m.now))
		m.services[i].isPlanner = m.roles[PlannerRole(declared.Name)]
	}
	s := m.services[i]
	s.configured = true
	s.config = declared
	s.draining = false
	s.defaults = configuration.SettingsFor(declared.Name, "", "")
	s.plan.due = true
	for _, configured := range configuration.Servers {
		if configured.Service == declared.Name {
			sv := s.ensureServer(configured.Name)
			m.configureServer(s, sv, configured)
		}
	}
	if s.version != 0 && declared.Shards != int(s.page.Shards) {
		m.emit(event.ShardsChangeRefused, "the page was created with a different number of shards",
			"service", s.name, "page", strconv.Itoa(int(s.page.Shards)), "configuration", strconv.Itoa(declared.Shards))
	}
}

func (m *Machine) configureServer(s *service, sv *server, configured config.Server) {
	if configured.Draining && !sv.config.Draining {
		sv.drainingAt = m.now
	}
	if !configured.Draining && sv.drainTimedOut {
		sv.drainTimedOut = false
		sv.cachedGrants.valid = false
	}
	sv.config = configured
	sv.configured = true
	s.draining = s.draining || configured.Draining
}

func newService(name string, now time.Duration) *service {
	return &service{
		name:          name,
		owned:         make(map[string][]ownership.UnitID),
		movingFrom:    make(map[string][]ownership.UnitID),
		departures:    make(map[ownership.UnitID]departure),
		earlyStops:    make(map[ownership.UnitID]ownership.Epoch),
		stopNotices:   make(map[ownership.UnitID]stopNotice),
		stoppedEpochs: make(map[ownership.UnitID]ownership.Epoch),
		localUnits:    make(map[ownership.UnitID]uint32),
		localKeys:     make(map[string]uint32),
		localSince:    now,
	}
}

func (m *Machine) readPage(in PageRead) {
	s := m.service(in.Service)
	if s == nil {
		return
	}
	if in.Request != 0 {
		m.recordReadAnswer(s, in.Request)
	}
	if in.Version > s.version {
		m.adoptPage(s, in.Version, in.Page)
	}
}

// adoptPage replaces the known page by a newer one, unless that one is invalid.
func (m *Machine) adoptPage(s *service, version uint64, page ownership.Page) {
	err := page.Check()
	if err == nil && s.version != 0 {
		err = s.page.CheckSuccessor(&page)
	}
	if err != nil {
		if s.pageError == "" {
			m.emit(event.PageRefused, err.Error(), "service", s.name, "version", strconv.FormatUint(version, 10))
		}
		s.pageError = err.Error()
		return
	}
	previous := s.page
	s.pageError = ""
	s.version = version
	s.page = page.Clone()
	s.plan.due = true
	m.recordChanges(s, &previous)
	m.indexPage(s)
	m.applyEarlyStops(s)
	m.resolvePendingWrite(s, &previous)
	m.ready.RoutingChanged = true
}

// recordChanges records changes of unit owners for Explain.
func (m *Machine) recordChanges(s *service, previous *ownership.Page) {
	for _, override := range previous.Overrides {
		if s.page.Override(override.Key) == nil {
			s.mergedUntil = m.now + m.maxSendTime(s)
		}
	}
	for _, unit := range s.page.Units {
		before := previous.Unit(unit.ID)
		if before != nil && before.Epoch == unit.Epoch {
			continue
		}
		s.history = append(s.history, unitChange{unit: unit.ID, at: m.now, OwnershipChange: OwnershipChange{
			Version: s.version, Owner: unit.Owner, Epoch: unit.Epoch, ChangedBy: s.page.ChangedBy, Cause: s.page.Cause,
		}})
	}
	if excess := len(s.history) - maxUnitChanges; excess > 0 {
		s.history = slices.Delete(s.history, 0, excess)
	}
}

// indexPage rebuilds the indexes that are derived from the page.
func (m *Machine) indexPage(s *service) {
	clear(s.owned)
	clear(s.movingFrom)
	for id, notice := range s.stopNotices {
		if unit := s.page.Unit(id); unit == nil || unit.Previous == "" || unit.Epoch != notice.epoch {
			delete(s.stopNotices, id)
		}
	}
	for _, unit := range s.page.Units {
		s.owned[unit.Owner] = append(s.owned[unit.Owner], unit.ID)
		if unit.Previous != "" {
			s.movingFrom[unit.Previous] = append(s.movingFrom[unit.Previous], unit.ID)
			m.recordDeparture(s, unit)
			continue
		}
		delete(s.departures, unit.ID)
		delete(s.stoppedEpochs, unit.ID)
	}
	for _, entry := range s.page.Servers {
		m.updateTerm(s, s.ensureServer(entry.Name), entry)
	}
	m.indexGrantors(s)
	for _, sv := range s.servers {
		sv.cachedGrants.valid = false
	}
}

// indexGrantors groups the page's servers by grantor.
func (m *Machine) indexGrantors(s *service) {
	s.heldServers = s.heldServers[:0]
	s.otherGrantors = s.otherGrantors[:0]
	s.handoverPending = false
	groups := make(map[string]int)
	for _, entry := range s.page.Servers {
		sv := s.server(entry.Name)
		s.handoverPending = s.handoverPending || sv.handoverTerm != 0
		if entry.Grantor == m.options.Self {
			s.heldServers = append(s.heldServers, sv)
			continue
		}
		i, known := groups[entry.Grantor]
		if !known {
			i = len(s.otherGrantors)
			groups[entry.Grantor] = i
			s.otherGrantors = append(s.otherGrantors, grantorGroup{grantor: entry.Grantor})
		}
		s.otherGrantors[i].servers = append(s.otherGrantors[i].servers, sv)
		s.otherGrantors[i].suspected = s.otherGrantors[i].suspected || sv.suspected
	}
}

func (m *Machine) recordDeparture(s *service, unit ownership.Unit) {
	if s.departures[unit.ID].epoch == unit.Epoch {
		return
	}
	s.departures[unit.ID] = departure{epoch: unit.Epoch, version: s.version, at: m.now, generation: m.routing.Generation + 1}
}

// updateTerm tracks which terms this VM holds.
func (m *Machine) updateTerm(s *service, sv *server, entry ownership.Server) {
	held := entry.Grantor == m.options.Self
	switch {
	case held && sv.heldTerm != entry.Term:
		if sv.heldTerm == 0 {
			sv.heldSince = m.now
		}
		sv.heldTerm = entry.Term
		sv.handoverTerm = 0
		m.emit(event.TermTaken, s.page.Cause, "service", s.name, "server", sv.name, "term", strconv.FormatUint(uint64(entry.Term), 10))
	case !held && sv.heldTerm != 0:
		m.emit(event.TermLost, s.page.Cause, "service", s.name, "server", sv.name, "grantor", entry.Grantor)
		sv.heldTerm = 0
		sv.termLost = true
		sv.termLostAt = m.now
		sv.homeUntil = 0
		sv.sendsStopped = false
		sv.successor = ""
	}
	if sv.pageTerm != entry.Term {
		sv.pageTerm = entry.Term
		sv.suspected = false
	}
}

func (m *Machine) changeRole(in RoleChanged) {
	m.roles[in.Role] = in.Held
	name, isPlanner := strings.CutPrefix(in.Role, PlannerRole(""))
	if !isPlanner {
		return
	}
	if s := m.service(name); s != nil {
		s.isPlanner = in.Held
		s.plan.due = true
	}
}

func (m *Machine) recordSendsFinished(in SendsFinished) {
	s := m.service(in.Service)
	if s == nil {
		return
	}
	sv := s.server(in.Server)
	if sv == nil {
		return
	}
	if len(in.Units) == 0 && sv.sendsStopped && in.Generation >= sv.stopGeneration {
		sv.sendsIdle = true
	}
	for _, id := range s.movingFrom[in.Server] {
		leaving := s.departures[id]
		if in.Generation >= leaving.generation && (len(in.Units) == 0 || m.listedIdle(s, id, in.Units)) {
			leaving.idle = true
			s.departures[id] = leaving
		}
	}
}

// listedIdle reports whether the idle units show that no request for a key of a
// unit is in flight. Such a request may have been sent under the shard that the
// key was in before, or under an override that has since been merged into the
// shard.
func (m *Machine) listedIdle(s *service, id ownership.UnitID, idle []ownership.UnitID) bool {
	return m.now >= s.mergedUntil && slices.Contains(idle, id) && slices.Contains(idle, s.shardOfUnit(id))
}
