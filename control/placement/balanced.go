package placement

import "cmp"

const (
	// startImbalance is the imbalance above which Balanced starts to rebalance.
	startImbalance = 1.08
	// stopImbalance is the imbalance at which it stops.
	stopImbalance = 1.03
	// underloadThreshold is the load of a receiver, relative to the mean, below
	// which Balanced starts to rebalance. A server that has just joined is below
	// it.
	underloadThreshold = 0.75
	// severeImbalance is the imbalance above which receivers may be filled to the
	// mean at once, so that fewer but more heavily loaded units are moved.
	severeImbalance = 1.25
	// noiseFactor is the number of standard errors that an imbalance must exceed
	// before it causes a move.
	noiseFactor = 3.0
	// receiverMargin is the number of standard errors by which the receiver of a
	// rebalancing move must stay below the mean, so that no server is filled above
	// its fair share.
	receiverMargin = 3.0
	// reducedMargin is used instead if no receiver has that much room.
	reducedMargin = 1.0
	// minGain is the minimum decrease, relative to the mean load, that a
	// rebalancing move must achieve in the higher load of its two servers.
	minGain = 0.002
)

// Balanced reduces the imbalance with as few moves as possible. Separate
// thresholds for starting and stopping (hysteresis) and a margin for
// measurement noise prevent unnecessary moves.
type Balanced struct{}

// Name implements Policy.
func (Balanced) Name() string { return "balanced" }

// Plan implements Policy.
func (Balanced) Plan(servers []Server, units []Unit, limits Limits) []Move {
	t := newLoadTable(servers, units)
	moves := placeOrphaned(t, units, t.leastLoaded)
	if !limits.Continue && !t.needsBalancing(limits.Noise) {
		return moves
	}
	for range limits.Moves {
		if t.imbalance() <= stopImbalance {
			break
		}
		move, found := t.applyBestMove(limits.Noise)
		if !found {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

// needsBalancing reports whether the imbalance is above the threshold, or a
// receiver underloaded, by more than the noise explains.
func (t *loadTable) needsBalancing(noise float64) bool {
	margin := noiseFactor * noise
	if t.imbalance() > max(startImbalance, 1+margin) {
		return true
	}
	mean := t.mean()
	for _, i := range t.receivers() {
		if t.relativeLoad(i) < min(underloadThreshold, 1-margin)*mean {
			return true
		}
	}
	return false
}

// placeOrphaned assigns each orphaned unit, in descending order of load, to the
// server that choose returns. It stops, and the remaining units stay where they
// are, when no server accepts units.
func placeOrphaned(t *loadTable, units []Unit, choose func(Unit) (int, bool)) []Move {
	var moves []Move
	for _, unit := range t.orphaned(units) {
		to, found := choose(unit)
		if !found {
			break
		}
		moves = append(moves, Move{Unit: unit.ID, From: unit.Owner, To: t.servers[to].Name})
		t.add(to, unit)
	}
	return moves
}

// leastLoaded returns the receiver whose relative load would be lowest with the
// unit added. Ties go to the server with fewer units per unit of capacity, then
// to the first by index.
func (t *loadTable) leastLoaded(unit Unit) (int, bool) {
	best := -1
	for _, i := range t.receivers() {
		if best < 0 || t.lessLoadedWith(unit, i, best) {
			best = i
		}
	}
	return best, best >= 0
}

func (t *loadTable) lessLoadedWith(unit Unit, a, b int) bool {
	loadA := (t.load[a] + unit.Load) / t.servers[a].Capacity
	loadB := (t.load[b] + unit.Load) / t.servers[b].Capacity
	if byLoad := cmp.Compare(loadA, loadB); byLoad != 0 {
		return byLoad < 0
	}
	countA := float64(t.unitCount[a]) / t.servers[a].Capacity
	countB := float64(t.unitCount[b]) / t.servers[b].Capacity
	return countA < countB
}

// applyBestMove applies the best move off the most loaded server to the table
// and returns it.
func (t *loadTable) applyBestMove(noise float64) (Move, bool) {
	from, found := t.mostLoaded()
	if !found {
		return Move{}, false
	}
	chosen, found := t.chooseMove(from, noise)
	if !found {
		return Move{}, false
	}
	unit := t.remove(from, chosen.unitIndex)
	t.add(chosen.to, unit)
	return Move{Unit: unit.ID, From: t.servers[from].Name, To: t.servers[chosen.to].Name}, true
}

// chooseMove returns the best move off a server. Receivers are first kept below
// their fair share; if that leaves the server above the threshold, they may be
// filled slightly above the mean.
func (t *loadTable) chooseMove(from int, noise float64) (candidate, bool) {
	mean := t.mean()
	fillLimit := mean * stopImbalance
	if t.relativeLoad(from) > severeImbalance*mean {
		return t.bestCandidate(from, fillLimit)
	}
	chosen, found := t.bestCandidate(from, mean*(1-receiverMargin*noise))
	if !found {
		chosen, found = t.bestCandidate(from, mean*(1-reducedMargin*noise))
	}
	if !found && t.relativeLoad(from) > startImbalance*mean {
		return t.bestCandidate(from, fillLimit)
	}
	return chosen, found
}

// candidate is a possible move off a server.
type candidate struct {
	to           int
	unitIndex    int     // Index of the unit among the source's units.
	maxLoad      float64 // Higher relative load of the two servers after the move.
	receiverLoad float64 // Relative load of the receiver after the move.
}

// better reports whether c results in a lower maximum load than d, or in the
// same and a lower load of the receiver.
func (c candidate) better(d candidate) bool {
	if c.maxLoad != d.maxLoad {
		return c.maxLoad < d.maxLoad
	}
	return c.receiverLoad < d.receiverLoad
}

// bestCandidate returns the best move off a server that leaves the receiver's
// relative load at receiverLimit or below.
func (t *loadTable) bestCandidate(from int, receiverLimit float64) (candidate, bool) {
	best := candidate{to: -1, maxLoad: t.relativeLoad(from) - minGain*t.mean()}
	for _, to := range t.receivers() {
		if to == from {
			continue
		}
		for unitIndex, unit := range t.units[from] {
			if unit.Fixed || unit.Load <= 0 {
				continue
			}
			c := t.evaluate(from, to, unitIndex)
			if c.receiverLoad <= receiverLimit && c.better(best) {
				best = c
			}
		}
	}
	return best, best.to >= 0
}

// evaluate returns the candidate that moves a unit, with the resulting loads.
func (t *loadTable) evaluate(from, to, unitIndex int) candidate {
	unit := t.units[from][unitIndex]
	sourceLoad := (t.load[from] - unit.Load) / t.servers[from].Capacity
	receiverLoad := (t.load[to] + unit.Load) / t.servers[to].Capacity
	return candidate{to: to, unitIndex: unitIndex, maxLoad: max(sourceLoad, receiverLoad), receiverLoad: receiverLoad}
}

// mostLoaded returns the server with the highest relative load of those that
// may keep units.
func (t *loadTable) mostLoaded() (int, bool) {
	best := -1
	for i, server := range t.servers {
		if server.KeepsUnits && (best < 0 || t.relativeLoad(i) > t.relativeLoad(best)) {
			best = i
		}
	}
	return best, best >= 0
}
