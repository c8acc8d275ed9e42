package control

import (
	"cmp"
	"slices"
	"strings"

	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// reportUnsatisfiedKeys reports declared keys that can't be pinned to their
// servers.
func (m *Machine) reportUnsatisfiedKeys(s *service) {
	unsatisfied := make(map[string]string)
	for _, declared := range s.config.Keys {
		reason := m.unsatisfiedReason(s, declared)
		if reason == "" {
			continue
		}
		unsatisfied[declared.Key] = reason
		if s.plan.unsatisfied[declared.Key] != reason {
			m.emit(event.KeyUnsatisfiable, reason, "service", s.name, "key", declared.Key, "server", declared.Server)
		}
	}
	s.plan.unsatisfied = unsatisfied
}

// unsatisfiedReason returns why a declared key can't be pinned to its server
// now, or "".
func (m *Machine) unsatisfiedReason(s *service, declared config.KeyDeclaration) string {
	sv := s.server(declared.Server)
	switch {
	case sv == nil || !sv.configured:
		return "server " + declared.Server + " does not serve " + s.name
	case !m.keepsUnits(s, declared.Server):
		return "server " + declared.Server + " is leaving or lost"
	}
	if entry := s.entry(sv); entry != nil && entry.Down {
		return "server " + declared.Server + " does not answer"
	}
	if len(s.page.Overrides) >= maxOverrides && s.page.Override(declared.Key) == nil {
		return "the page has too many overrides"
	}
	return ""
}

func (s *service) declares(key string) bool {
	return slices.ContainsFunc(s.config.Keys, func(declared config.KeyDeclaration) bool { return declared.Key == key })
}

// syncDeclaredMarks updates the Declared marks of the overrides from the
// configuration.
func (m *Machine) syncDeclaredMarks(s *service) {
	for _, override := range slices.Clone(s.editedPage().Overrides) {
		declared := s.declares(override.Key)
		if declared == override.Declared {
			continue
		}
		if d := m.editPage(s, "declared keys"); d != nil {
			d.page.Override(override.Key).Declared = declared
		}
	}
}

// isolateKey moves a key from its shard into a unit of its own.
func (m *Machine) isolateKey(s *service, key string) {
	d := m.editPage(s, "keys isolated")
	if d == nil || len(d.page.Overrides) >= maxOverrides {
		return
	}
	if _, err := d.page.Isolate(key, s.declares(key)); err != nil {
		s.plan.due = true // The shard is moving.
		return
	}
	s.plan.due = true // A declared key may have to move next.
	m.emit(event.KeyIsolated, "it is declared, or its share of the load is above the limit", "service", s.name, "key", key)
}

// mergeKey moves an override to the owner of its shard; once it is there, it
// merges the key into the shard.
func (m *Machine) mergeKey(s *service, key string) {
	page := s.editedPage()
	override := page.Override(key)
	if override == nil {
		return
	}
	unit := page.Unit(override.Unit)
	shard := page.Unit(ownership.ShardOf(key, page.Shards))
	if unit.Previous != "" || shard.Previous != "" {
		return
	}
	d := m.editPage(s, "keys return to their shards")
	if d == nil {
		return
	}
	if unit.Owner != shard.Owner {
		if err := d.page.Move(unit.ID, shard.Owner); err != nil {
			s.plan.due = true
		}
		return
	}
	if d.page.Merge(key) == nil {
		m.emit(event.KeyMerged, "it is neither declared nor hot", "service", s.name, "key", key)
	}
}

// addLocalLoad adds the load counted by this VM's traffic layer.
func (m *Machine) addLocalLoad(in LoadMeasured) {
	s := m.service(in.Service)
	if s == nil {
		return
	}
	for _, unit := range in.Units {
		if len(s.localUnits) < maxLoadEntries || s.localUnits[unit.Unit] > 0 {
			s.localUnits[unit.Unit] += unit.Requests
		}
	}
	for _, key := range in.HotKeys {
		if len(s.localKeys) < maxLoadEntries || s.localKeys[key.Key] > 0 {
			s.localKeys[key.Key] += key.Requests
		}
	}
}

// takeLocalLoad returns the load counted since the last call, sorted, and
// resets it.
func (m *Machine) takeLocalLoad(s *service) *LoadMeasured {
	report := &LoadMeasured{Service: s.name, Period: m.now - s.localSince}
	for unit, requests := range s.localUnits {
		report.Units = append(report.Units, UnitLoad{Unit: unit, Requests: requests})
	}
	for key, requests := range s.localKeys {
		report.HotKeys = append(report.HotKeys, KeyLoad{Key: key, Requests: requests})
	}
	slices.SortFunc(report.Units, func(a, b UnitLoad) int { return cmp.Compare(a.Unit, b.Unit) })
	slices.SortFunc(report.HotKeys, func(a, b KeyLoad) int { return strings.Compare(a.Key, b.Key) })
	clear(s.localUnits)
	clear(s.localKeys)
	s.localSince = m.now
	return report
}

// reportLoad answers a load query from a planner.
func (m *Machine) reportLoad(from string, query *LoadQuery) {
	if s := m.service(query.Service); s != nil {
		m.send(from, Message{Load: m.takeLocalLoad(s)})
	}
}

// addFleetLoad adds the load reported by one VM to the planner's estimate.
func (m *Machine) addFleetLoad(report *LoadMeasured) {
	s := m.service(report.Service)
	if s == nil || s.plan.planner == nil {
		return
	}
	for _, unit := range report.Units {
		if s.page.Unit(unit.Unit) != nil {
			s.plan.planner.AddUnitRequests(unit.Unit, unit.Requests)
		}
	}
	for _, key := range report.HotKeys {
		s.plan.planner.AddKeyRequests(key.Key, key.Requests)
	}
}

// queryLoads asks the homes of the service's servers for the load that they
// counted. Every request to a server passes through its home or is counted
// there.
func (m *Machine) queryLoads(s *service) {
	if m.now-s.plan.loadQueriedAt < loadQueryInterval {
		return
	}
	s.plan.loadQueriedAt = m.now
	var homes []string
	for _, entry := range s.page.Servers {
		homes = append(homes, entry.Grantor)
	}
	slices.Sort(homes)
	for _, vm := range slices.Compact(homes) {
		m.send(vm, Message{LoadQuery: &LoadQuery{Service: s.name}})
	}
	m.addFleetLoad(m.takeLocalLoad(s))
}
