package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavacrank.example/control/ownership"
)

// FewestUnits is a baseline policy that balances the number of units and
// ignores load.
type FewestUnits struct{}

// Name implements Policy.
func (FewestUnits) Name() string { return "fewest-units" }

// Plan implements Policy.
func (FewestUnits) Plan(servers []Server, units []Unit, limits Limits) []Move {
	uniform := make([]Unit, len(units))
	for i, unit := range units {
		uniform[i] = unit
		uniform[i].Load = 1
	}
	return Balanced{}.Plan(servers, uniform, Limits{Moves: limits.Moves})
}

// Rendezvous is a baseline policy: each unit is placed on the server with the
// highest hash of unit and server, weighted by capacity.
type Rendezvous struct{}

// Name implements Policy.
func (Rendezvous) Name() string { return "rendezvous" }

// Plan implements Policy.
func (Rendezvous) Plan(servers []Server, units []Unit, _ Limits) []Move {
	return planByRanking(servers, units, func(*loadTable, Unit, int) bool { return true })
}

// BoundedHash is a baseline policy, consistent hashing with bounded loads: each
// unit is placed on the first server in its ranking whose load stays within the
// bound.
type BoundedHash struct{}

// maxLoadFactor is the maximum load that BoundedHash gives a server, relative
// to the mean.
const maxLoadFactor = 1.25

// Name implements Policy.
func (BoundedHash) Name() string { return "bounded-hash" }

// Plan implements Policy.
func (BoundedHash) Plan(servers []Server, units []Unit, _ Limits) []Move {
	var load, capacity float64
	for _, unit := range units {
		load += unit.Load
	}
	for _, server := range servers {
		if server.AcceptsUnits && server.KeepsUnits {
			capacity += server.Capacity
		}
	}
	bound := maxLoadFactor * load / capacity
	return planByRanking(servers, units, func(t *loadTable, unit Unit, server int) bool {
		return (t.load[server]+unit.Load)/t.servers[server].Capacity <= bound
	})
}

// planByRanking places every unit on the first server of its ranking that fits,
// or on the first of all if none fits, regardless of the current owner. Fixed
// units stay.
func planByRanking(servers []Server, units []Unit, fits func(*loadTable, Unit, int) bool) []Move {
	t := newLoadTable(servers, nil)
	ordered := slices.Clone(units)
	slices.SortFunc(ordered, func(a, b Unit) int { return cmp.Compare(a.ID, b.ID) })
	var moves []Move
	for _, unit := range ordered {
		to, found := t.placeByRanking(unit, fits)
		if !found {
			return nil
		}
		t.add(to, unit)
		if name := t.servers[to].Name; name != unit.Owner {
			moves = append(moves, Move{Unit: unit.ID, From: unit.Owner, To: name})
		}
	}
	return moves
}

func (t *loadTable) placeByRanking(unit Unit, fits func(*loadTable, Unit, int) bool) (int, bool) {
	if owner, known := t.serverIndex[unit.Owner]; known && unit.Fixed && t.servers[owner].KeepsUnits {
		return owner, true
	}
	ranking := t.ranking(unit.ID)
	if len(ranking) == 0 {
		return 0, false
	}
	for _, i := range ranking {
		if fits(t, unit, i) {
			return i, true
		}
	}
	return ranking[0], true
}

// ranking returns the receivers in descending order of their weighted
// rendezvous score for the unit.
func (t *loadTable) ranking(unit ownership.UnitID) []int {
	receivers := t.receivers()
	scores := make([]float64, len(t.servers))
	for _, i := range receivers {
		scores[i] = score(unit, t.servers[i])
	}
	slices.SortStableFunc(receivers, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return receivers
}

// score returns the weighted rendezvous score of a unit on a server.
func score(unit ownership.UnitID, server Server) float64 {
	var seed [4]byte
	binary.LittleEndian.PutUint32(seed[:], uint32(unit))
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(server.Name)
	const mantissaBits = 53
	uniform := (float64(digest.Sum64()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -server.Capacity / math.Log(uniform)
}
