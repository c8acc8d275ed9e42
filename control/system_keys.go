package control

import (
	"slices"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control/load"
	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// permille is the number of parts in which HotKeyShare is given.
const permille = 1000

// planKeys pins declared keys to their servers, isolates hot keys, and returns
// keys to their shards that are neither.
func (m *Machine) planKeys(s *service) {
	splits := 0
	complain := make(map[string]string)
	for _, declared := range s.config.Keys {
		if reason := m.pinKey(s, declared, &splits); reason != "" {
			complain[declared.Key] = reason
		}
	}
	m.reportComplaints(s, complain)
	for _, key := range s.hotKeys.Hot() {
		m.isolate(s, key, &splits)
	}
	m.mergeKeys(s)
}

// pinKey makes a declared key an override at its server, and returns why that
// is not possible now, or "".
func (m *Machine) pinKey(s *service, declared config.KeyDeclaration, splits *int) string {
	page := s.draftPage()
	target := page.Server(declared.Server)
	switch {
	case target == nil || !m.configuredHere(s, declared.Server):
		return "server " + declared.Server + " does not serve " + s.name
	case !m.keepsUnits(s, declared.Server):
		return "server " + declared.Server + " is leaving or lost"
	case target.Down:
		return "server " + declared.Server + " does not answer"
	}
	override := page.Override(declared.Key)
	if override == nil {
		if len(page.Overrides) >= maxOverrides {
			return "the page has too many overrides"
		}
		m.split(s, declared.Key, true, splits)
		return ""
	}
	if !override.Declared {
		if d := m.edit(s, "declared key"); d != nil {
			d.page.Override(declared.Key).Declared = true
		}
	}
	unit := page.Unit(override.Unit)
	if unit.Owner == declared.Server || unit.Previous != "" {
		return ""
	}
	if d := m.edit(s, "declared key"); d != nil {
		if err := d.page.Move(override.Unit, declared.Server); err != nil {
			return err.Error()
		}
	}
	return ""
}

func (m *Machine) configuredHere(s *service, name string) bool {
	sv := s.server(name)
	return sv != nil && sv.configured
}

func (m *Machine) reportComplaints(s *service, complain map[string]string) {
	for _, declared := range s.config.Keys {
		reason := complain[declared.Key]
		if reason != "" && s.plan.complain[declared.Key] != reason {
			m.emit(event.KeyUnsatisfiable, reason, "service", s.name, "key", declared.Key, "server", declared.Server)
		}
	}
	s.plan.complain = complain
}

func (m *Machine) isolate(s *service, key string, splits *int) {
	page := s.draftPage()
	if page.Override(key) != nil || len(page.Overrides) >= maxOverrides {
		return
	}
	if m.split(s, key, false, splits) {
		m.emit(event.KeyIsolated, "its share of the load is above the bound", "service", s.name, "key", key)
	}
}

func (m *Machine) split(s *service, key string, declared bool, splits *int) bool {
	if *splits >= maxSplitsPerWrite {
		s.plan.due = true
		return false
	}
	d := m.edit(s, "keys isolated")
	if d == nil {
		return false
	}
	if _, err := d.page.Split(key, declared); err != nil {
		s.plan.due = true // The shard is moving; try again.
		return false
	}
	*splits++
	return true
}

// mergeKeys returns overrides to their shards that are neither declared nor hot.
func (m *Machine) mergeKeys(s *service) {
	for _, override := range slices.Clone(s.draftPage().Overrides) {
		declared := slices.ContainsFunc(s.config.Keys, func(k config.KeyDeclaration) bool { return k.Key == override.Key })
		if declared {
			continue
		}
		if override.Declared {
			if d := m.edit(s, "key no longer declared"); d != nil {
				d.page.Override(override.Key).Declared = false
			}
		}
		if s.hotKeys.Cold(override.Key) && (override.Declared || s.loadTable.Known()) {
			m.merge(s, override)
		}
	}
}

// merge moves an override to the owner of its shard, or ends it there.
func (m *Machine) merge(s *service, override ownership.Override) {
	page := s.draftPage()
	unit := page.Unit(override.Unit)
	shard := page.Unit(ownership.ShardOf(override.Key, page.Shards))
	if unit.Previous != "" || shard.Previous != "" {
		return
	}
	d := m.edit(s, "keys return to their shards")
	if d == nil {
		return
	}
	if unit.Owner != shard.Owner {
		_ = d.page.Move(override.Unit, shard.Owner)
		return
	}
	if d.page.Merge(override.Key) == nil {
		m.emit(event.KeyMerged, "it is neither declared nor hot", "service", s.name, "key", override.Key)
	}
}

// addLocalLoad takes in what this VM's own traffic counted.
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

// localLoad returns what was counted since the last call, sorted.
func (m *Machine) localLoad(s *service) *LoadMeasured {
	report := &LoadMeasured{Service: s.name, Period: m.now - s.localSince}
	for unit, requests := range s.localUnits {
		report.Units = append(report.Units, UnitLoad{Unit: unit, Requests: requests})
	}
	for key, requests := range s.localKeys {
		report.HotKeys = append(report.HotKeys, KeyLoad{Key: key, Requests: requests})
	}
	sortLoad(report)
	clear(s.localUnits)
	clear(s.localKeys)
	s.localSince = m.now
	return report
}

// reportLoad answers a planner's load query.
func (m *Machine) reportLoad(from string, query *LoadQuery) {
	if s := m.service(query.Service); s != nil {
		m.send(from, Message{Load: m.localLoad(s)})
	}
}

// addFleetLoad adds one VM's count to the planner's estimate.
func (m *Machine) addFleetLoad(report *LoadMeasured) {
	s := m.service(report.Service)
	if s == nil || s.version == 0 {
		return
	}
	for _, unit := range report.Units {
		if s.page.Unit(unit.Unit) != nil {
			s.loadTable.Add(unit.Unit, unit.Requests)
		}
	}
	for _, key := range report.HotKeys {
		s.hotKeys.Add(key.Key, key.Requests)
	}
}

// queryLoads asks the VMs whose traffic reaches the service's servers for what
// they counted. Those are the homes: every request passes one.
func (m *Machine) queryLoads(s *service) {
	if m.now-s.plan.queryAt < loadInterval {
		return
	}
	s.plan.queryAt = m.now
	var homes []string
	for _, entry := range s.page.Servers {
		homes = append(homes, entry.Grantor)
	}
	slices.Sort(homes)
	for _, vm := range slices.Compact(homes) {
		m.send(vm, Message{LoadQuery: &LoadQuery{Service: s.name}})
	}
	m.addFleetLoad(m.localLoad(s))
}

// rollLoad closes a window of the load estimate, and reports whether it did.
func (m *Machine) rollLoad(s *service) bool {
	if !s.loadTable.Roll(m.now) {
		return false
	}
	share := float64(m.defaults.HotKeyShare) / permille
	if share <= 0 {
		share = defaultHotKeyShare
	}
	s.hotKeys.Roll(max(load.Window, time.Nanosecond), s.loadTable.Total(), share)
	return true
}
