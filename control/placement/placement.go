// Package placement chooses the owners of units. Every policy is a pure
// function: the same servers and units give the same moves.
//
// Balanced is the policy in production use. Rendezvous, BoundedHash and
// FewestUnits are the baselines of the benchmarks; docs/design/placement.md
// compares them.
package placement

import (
	"cmp"
	"slices"

	"guavacrank.example/control/ownership"
)

// Server is a backend server as a policy sees it.
type Server struct {
	Name string
	// Capacity is the server's weight relative to the other servers, for example
	// its number of slots, reduced while it warms up. It must be positive.
	Capacity float64
	// AcceptsUnits reports whether the server may be given further units.
	AcceptsUnits bool
	// KeepsUnits reports whether the server may keep the units it owns. It is
	// false for a server that is leaving or lost.
	KeepsUnits bool
}

// Unit is an ownership unit as a policy sees it.
type Unit struct {
	ID ownership.UnitID
	// Owner is the server that owns the unit, or empty.
	Owner string
	// Load is the unit's load, in any measure that is the same for all units.
	Load float64
	// Fixed excludes the unit from rebalancing because an operator pinned it, it
	// was moved recently or it is being moved. It is still moved off a server that
	// can't keep it.
	Fixed bool
}

// Move gives a unit to another server.
type Move struct {
	Unit ownership.UnitID
	From string // Empty for a unit without an owner.
	To   string
}

// Limits bound the rebalancing moves of one plan. Moves off servers that can't
// keep their units are required and never limited.
type Limits struct {
	// Moves is the maximum number of rebalancing moves.
	Moves int
	// Noise is the relative standard error of a server's measured load. An
	// imbalance within the noise causes no move.
	Noise float64
	// Continue resumes rebalancing that an earlier plan's limit cut short, even if
	// the remaining imbalance would not start it.
	Continue bool
}

// Policy plans moves.
type Policy interface {
	// Name identifies the policy in benchmarks.
	Name() string
	// Plan returns the moves to make now. There are none if the placement needs no
	// change.
	Plan(servers []Server, units []Unit, limits Limits) []Move
}

// Imbalance returns the highest load per unit of capacity divided by the mean,
// over the servers that may keep units. It is 1 if there is no load.
func Imbalance(servers []Server, units []Unit) float64 {
	return newLoadTable(servers, units).imbalance()
}

// loadTable is the working state of a plan: the load and the units of each
// server.
type loadTable struct {
	servers     []Server
	serverIndex map[string]int
	load        []float64
	unitCount   []int
	units       [][]Unit
}

func newLoadTable(servers []Server, units []Unit) *loadTable {
	t := &loadTable{
		servers:     servers,
		serverIndex: make(map[string]int, len(servers)),
		load:        make([]float64, len(servers)),
		unitCount:   make([]int, len(servers)),
		units:       make([][]Unit, len(servers)),
	}
	for i, server := range servers {
		t.serverIndex[server.Name] = i
	}
	for _, unit := range units {
		if i, known := t.serverIndex[unit.Owner]; known {
			t.add(i, unit)
		}
	}
	return t
}

func (t *loadTable) add(server int, unit Unit) {
	t.load[server] += unit.Load
	t.unitCount[server]++
	t.units[server] = append(t.units[server], unit)
}

func (t *loadTable) remove(server, unitIndex int) Unit {
	unit := t.units[server][unitIndex]
	t.load[server] -= unit.Load
	t.unitCount[server]--
	t.units[server] = slices.Delete(t.units[server], unitIndex, unitIndex+1)
	return unit
}

// relativeLoad returns a server's load per unit of capacity.
func (t *loadTable) relativeLoad(server int) float64 {
	return t.load[server] / t.servers[server].Capacity
}

// mean returns the load per unit of capacity over all servers that may keep
// units.
func (t *loadTable) mean() float64 {
	var load, capacity float64
	for i, server := range t.servers {
		if server.KeepsUnits {
			load += t.load[i]
			capacity += server.Capacity
		}
	}
	if capacity == 0 {
		return 0
	}
	return load / capacity
}

func (t *loadTable) imbalance() float64 {
	mean := t.mean()
	if mean == 0 {
		return 1
	}
	highest := 0.0
	for i, server := range t.servers {
		if server.KeepsUnits {
			highest = max(highest, t.relativeLoad(i))
		}
	}
	return highest / mean
}

// orphaned returns the units whose owner is missing or can't keep them, in
// descending order of load.
func (t *loadTable) orphaned(units []Unit) []Unit {
	var found []Unit
	for _, unit := range units {
		i, known := t.serverIndex[unit.Owner]
		if !known || !t.servers[i].KeepsUnits {
			found = append(found, unit)
		}
	}
	sortByLoadDescending(found)
	return found
}

func sortByLoadDescending(units []Unit) {
	slices.SortFunc(units, func(a, b Unit) int {
		if byLoad := cmp.Compare(b.Load, a.Load); byLoad != 0 {
			return byLoad
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// receivers returns the indexes of the servers that accept units.
func (t *loadTable) receivers() []int {
	var found []int
	for i, server := range t.servers {
		if server.AcceptsUnits && server.KeepsUnits {
			found = append(found, i)
		}
	}
	return found
}
