// Package placement chooses the owners of units. Every policy is a pure
// function: the same servers and units give the same moves.
//
// Balanced is the policy in use. Rendezvous, BoundedHash and FewestUnits are
// the baselines that it is measured against; docs/design/placement.md gives
// the comparison.
package placement

import (
	"cmp"
	"slices"

	"guavacrank.example/control/ownership"
)

// Server is a backend server as a policy sees it.
type Server struct {
	Name string
	// Capacity weighs the server against the others, for example its slots,
	// less while it is cold. Must be positive.
	Capacity float64
	// AcceptsUnits says that the server may be given further units.
	AcceptsUnits bool
	// KeepsUnits says that the server may keep the units it owns. It is false for a
	// server that is leaving or lost.
	KeepsUnits bool
}

// Unit is an ownership unit as a policy sees it.
type Unit struct {
	ID ownership.UnitID
	// Owner is the server that owns the unit; empty: none.
	Owner string
	// Load is the unit's work, in any measure that is the same for all units.
	Load float64
	// Fixed units are not moved by choice: pinned by an operator, moved a short
	// time ago, or moving. They are still moved off a server that can't keep them.
	Fixed bool
}

// Move gives a unit to another server.
type Move struct {
	Unit ownership.UnitID
	From string // Empty for a unit without an owner.
	To   string
}

// Limits bound the moves by choice of one plan. Moves off servers that can't
// keep their units are never bounded.
type Limits struct {
	// Moves is the greatest number of moves by choice.
	Moves int
	// Noise is the relative standard error of a server's measured load. An
	// imbalance that noise explains causes no move.
	Noise float64
	// Continue goes on with moves that an earlier plan's limit cut short, also
	// where the imbalance left would not start any.
	Continue bool
}

// Policy plans moves.
type Policy interface {
	// Name identifies the policy in benchmarks.
	Name() string
	// Plan returns the moves to make now, none if the placement is good.
	Plan(servers []Server, units []Unit, limits Limits) []Move
}

// Imbalance returns the greatest load for each unit of capacity over the mean,
// taken over the servers that may keep units. It is 1 when there is no load.
func Imbalance(servers []Server, units []Unit) float64 {
	return newTable(servers, units).imbalance()
}

// table is the state of a plan: loads by server and units by owner.
type table struct {
	servers []Server
	index   map[string]int
	load    []float64
	count   []int
	units   [][]Unit
}

func newTable(servers []Server, units []Unit) *table {
	t := &table{
		servers: servers,
		index:   make(map[string]int, len(servers)),
		load:    make([]float64, len(servers)),
		count:   make([]int, len(servers)),
		units:   make([][]Unit, len(servers)),
	}
	for i, server := range servers {
		t.index[server.Name] = i
	}
	for _, unit := range units {
		if i, known := t.index[unit.Owner]; known {
			t.add(i, unit)
		}
	}
	return t
}

func (t *table) add(server int, unit Unit) {
	t.load[server] += unit.Load
	t.count[server]++
	t.units[server] = append(t.units[server], unit)
}

func (t *table) remove(server, position int) Unit {
	unit := t.units[server][position]
	t.load[server] -= unit.Load
	t.count[server]--
	t.units[server] = slices.Delete(t.units[server], position, position+1)
	return unit
}

// relative is a server's load for each unit of capacity.
func (t *table) relative(server int) float64 {
	return t.load[server] / t.servers[server].Capacity
}

// mean is the load for each unit of capacity over the servers that keep units.
func (t *table) mean() float64 {
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

func (t *table) imbalance() float64 {
	mean := t.mean()
	if mean == 0 {
		return 1
	}
	greatest := 0.0
	for i, server := range t.servers {
		if server.KeepsUnits {
			greatest = max(greatest, t.relative(i))
		}
	}
	return greatest / mean
}

// homeless returns the units whose owner is missing or can't keep them,
// heaviest first.
func (t *table) homeless(units []Unit) []Unit {
	var found []Unit
	for _, unit := range units {
		i, known := t.index[unit.Owner]
		if !known || !t.servers[i].KeepsUnits {
			found = append(found, unit)
		}
	}
	sortHeaviestFirst(found)
	return found
}

func sortHeaviestFirst(units []Unit) {
	slices.SortFunc(units, func(a, b Unit) int {
		if byLoad := cmp.Compare(b.Load, a.Load); byLoad != 0 {
			return byLoad
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// receivers returns the indexes of the servers that accept units.
func (t *table) receivers() []int {
	var found []int
	for i, server := range t.servers {
		if server.AcceptsUnits && server.KeepsUnits {
			found = append(found, i)
		}
	}
	return found
}
