package placement

import "cmp"

const (
	// startImbalance is the imbalance from which Balanced moves units by choice.
	startImbalance = 1.08
	// stopImbalance is the imbalance at which it stops.
	stopImbalance = 1.03
	// startLightest is the load of the lightest receiver, over the mean, below
	// which Balanced moves units by choice: a server that joined.
	startLightest = 0.75
	// severeImbalance is the imbalance from which receivers may be filled to the
	// mean at once, so that fewer and heavier units move.
	severeImbalance = 1.25
	// noiseFactor is the number of standard errors that an imbalance must
	// exceed before it causes a move.
	noiseFactor = 3.0
	// receiverMargin is the number of standard errors by which a move by choice
	// must leave its receiver below the mean, so that no server is filled above
	// its fair share.
	receiverMargin = 3.0
	// tightMargin takes its place where no receiver has that much room.
	tightMargin = 1.0
	// leastGain is the least share of the mean load by which a move by choice
	// must lower the pair's greater load.
	leastGain = 0.002
)

// Balanced moves the fewest units that bring the imbalance down. It does
// nothing below a threshold (hysteresis) or within the noise of measurement.
type Balanced struct{}

// Name implements Policy.
func (Balanced) Name() string { return "balanced" }

// Plan implements Policy.
func (Balanced) Plan(servers []Server, units []Unit, limits Limits) []Move {
	t := newTable(servers, units)
	moves := placeHomeless(t, units, t.lightest)
	if !limits.Continue && !t.needsBalancing(limits.Noise) {
		return moves
	}
	for range limits.Moves {
		if t.imbalance() <= stopImbalance {
			break
		}
		move, found := t.bestMove(limits.Noise)
		if !found {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

// needsBalancing reports whether the imbalance is above the threshold, or a
// receiver nearly idle, by more than noise explains.
func (t *table) needsBalancing(noise float64) bool {
	margin := noiseFactor * noise
	if t.imbalance() > max(startImbalance, 1+margin) {
		return true
	}
	mean := t.mean()
	for _, i := range t.receivers() {
		if t.relative(i) < min(startLightest, 1-margin)*mean {
			return true
		}
	}
	return false
}

// placeHomeless gives each unit without a place to the server that choose
// returns, heaviest unit first. Units stay where they are if no server accepts.
func placeHomeless(t *table, units []Unit, choose func(Unit) (int, bool)) []Move {
	var moves []Move
	for _, unit := range t.homeless(units) {
		to, found := choose(unit)
		if !found {
			break
		}
		moves = append(moves, Move{Unit: unit.ID, From: unit.Owner, To: t.servers[to].Name})
		t.add(to, unit)
	}
	return moves
}

// lightest returns the receiver that would be lightest with the unit; of equal
// ones the one with fewer units for its capacity, then the first by position.
func (t *table) lightest(unit Unit) (int, bool) {
	best := -1
	for _, i := range t.receivers() {
		if best < 0 || t.lighterWith(unit, i, best) {
			best = i
		}
	}
	return best, best >= 0
}

func (t *table) lighterWith(unit Unit, a, b int) bool {
	loadA := (t.load[a] + unit.Load) / t.servers[a].Capacity
	loadB := (t.load[b] + unit.Load) / t.servers[b].Capacity
	if byLoad := cmp.Compare(loadA, loadB); byLoad != 0 {
		return byLoad < 0
	}
	countA := float64(t.count[a]) / t.servers[a].Capacity
	countB := float64(t.count[b]) / t.servers[b].Capacity
	return countA < countB
}

// bestMove carries out the best move off the heaviest server. Receivers are
// first kept below their fair share; if that leaves a server above the
// threshold they may be filled to the mean and a little more.
func (t *table) bestMove(noise float64) (Move, bool) {
	from, found := t.heaviest()
	if !found {
		return Move{}, false
	}
	chosen, found := t.chooseMove(from, noise)
	if !found {
		return Move{}, false
	}
	unit := t.remove(from, chosen.position)
	t.add(chosen.to, unit)
	return Move{Unit: unit.ID, From: t.servers[from].Name, To: t.servers[chosen.to].Name}, true
}

func (t *table) chooseMove(from int, noise float64) (choice, bool) {
	mean := t.mean()
	full := mean * stopImbalance
	if t.relative(from) > severeImbalance*mean {
		return t.bestChoice(from, full)
	}
	chosen, found := t.bestChoice(from, mean*(1-receiverMargin*noise))
	if !found {
		chosen, found = t.bestChoice(from, mean*(1-tightMargin*noise))
	}
	if !found && t.relative(from) > startImbalance*mean {
		return t.bestChoice(from, full)
	}
	return chosen, found
}

// choice is one possible move off a server.
type choice struct {
	to       int
	position int     // Of the unit among the source's units.
	heavier  float64 // Relative load of the heavier server after the move.
	receiver float64 // Relative load of the receiver after the move.
}

// better reports whether c leaves the heavier server lighter than d, or the
// same and the receiver lighter.
func (c choice) better(d choice) bool {
	if c.heavier != d.heavier {
		return c.heavier < d.heavier
	}
	return c.receiver < d.receiver
}

// bestChoice returns the best move off a server that leaves the receiver at
// receiverLimit or below.
func (t *table) bestChoice(from int, receiverLimit float64) (choice, bool) {
	best := choice{to: -1, heavier: t.relative(from) - leastGain*t.mean()}
	for _, to := range t.receivers() {
		if to == from {
			continue
		}
		for position, unit := range t.units[from] {
			if unit.Fixed || unit.Load <= 0 {
				continue
			}
			candidate := t.after(from, to, position)
			if candidate.receiver <= receiverLimit && candidate.better(best) {
				best = candidate
			}
		}
	}
	return best, best.to >= 0
}

// after returns the choice of moving a unit, with the loads that follow.
func (t *table) after(from, to, position int) choice {
	unit := t.units[from][position]
	left := (t.load[from] - unit.Load) / t.servers[from].Capacity
	right := (t.load[to] + unit.Load) / t.servers[to].Capacity
	return choice{to: to, position: position, heavier: max(left, right), receiver: right}
}

// heaviest returns the server with the greatest relative load.
func (t *table) heaviest() (int, bool) {
	best := -1
	for i, server := range t.servers {
		if server.KeepsUnits && (best < 0 || t.relative(i) > t.relative(best)) {
			best = i
		}
	}
	return best, best >= 0
}
