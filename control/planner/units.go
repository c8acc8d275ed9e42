package planner

import (
	"time"

	"guavacrank.example/control/ownership"
	"guavacrank.example/control/placement"
)

// baseShare is the fraction of the mean load of a unit that every unit counts
// in addition to its measured load, so that idle units are spread as well.
const baseShare = 0.02

// placementUnits returns the units for the policy, and the moves of declared
// keys to their servers. The policy sees those units as already owned by their
// target. Units whose previous owner has not stopped yet are fixed and count as
// owned by the new owner. If the loads are not trusted, every unit counts the
// same.
func (p *Planner) placementUnits(now time.Duration, view View, trusted bool) ([]placement.Unit, []placement.Move) {
	targets := declaredTargets(view)
	base := p.baseLoad(len(view.Page.Units))
	var pinned []placement.Move
	units := make([]placement.Unit, 0, len(view.Page.Units))
	for _, unit := range view.Page.Units {
		entry := placement.Unit{
			ID:    unit.ID,
			Owner: unit.Owner,
			Load:  base,
			Fixed: unit.Previous != "" || p.inHoldTime(now, unit.ID),
		}
		if trusted {
			entry.Load += p.loads.Rate(unit.ID)
		}
		if target, declared := targets[unit.ID]; declared {
			entry.Fixed = true
			if target != unit.Owner && unit.Previous == "" {
				pinned = append(pinned, placement.Move{Unit: unit.ID, From: unit.Owner, To: target})
				entry.Owner = target
			}
		}
		units = append(units, entry)
	}
	return units, pinned
}

// baseLoad returns the load that every unit counts in addition to its measured
// load.
func (p *Planner) baseLoad(units int) float64 {
	total := p.loads.Total()
	if total == 0 || units == 0 {
		return 1
	}
	return baseShare * total / float64(units)
}

// inHoldTime reports whether the last planned move of the unit was less than
// the hold time ago.
func (p *Planner) inHoldTime(now time.Duration, unit ownership.UnitID) bool {
	at, known := p.lastMoved[unit]
	return known && now-at < p.settings.HoldTime
}

// declaredTargets maps the units of declared keys to the servers they are
// pinned to, if these accept units.
func declaredTargets(view View) map[ownership.UnitID]string {
	accepts := make(map[string]bool, len(view.Servers))
	for _, server := range view.Servers {
		accepts[server.Name] = server.AcceptsUnits && server.KeepsUnits
	}
	units := make(map[string]ownership.UnitID, len(view.Page.Overrides))
	for _, override := range view.Page.Overrides {
		units[override.Key] = override.Unit
	}
	targets := make(map[ownership.UnitID]string, len(view.Declarations))
	for _, declaration := range view.Declarations {
		unit, isolated := units[declaration.Key]
		if isolated && accepts[declaration.Server] {
			targets[unit] = declaration.Server
		}
	}
	return targets
}

// planIsolations returns the declared keys and hot keys that are not isolated
// yet.
func (p *Planner) planIsolations(view View) []string {
	isolated := make(map[string]bool, len(view.Page.Overrides))
	for _, override := range view.Page.Overrides {
		isolated[override.Key] = true
	}
	room := min(maxIsolations, maxOverrides-len(isolated))
	var keys []string
	add := func(key string) {
		if !isolated[key] && len(keys) < room {
			isolated[key] = true
			keys = append(keys, key)
		}
	}
	for _, declaration := range view.Declarations {
		add(declaration.Key)
	}
	if p.settings.HotKeyShare > 0 {
		for _, key := range p.keys.Hot() {
			add(key)
		}
	}
	return keys
}

// planMerges returns the isolated keys that are not declared and have become
// cold.
func (p *Planner) planMerges(view View) []string {
	declared := make(map[string]bool, len(view.Declarations))
	for _, declaration := range view.Declarations {
		declared[declaration.Key] = true
	}
	var keys []string
	for _, override := range view.Page.Overrides {
		if !declared[override.Key] && p.keys.Cold(override.Key) {
			keys = append(keys, override.Key)
		}
	}
	return keys
}
