package keys

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// planEvery is the time between two looks at the balance.
	rebalanceInterval = 250 * time.Millisecond
	// planMoves is the greatest number of moves of one look, mostMoving that of
	// ranges that may change hands at the same time. With many servers, one for
	// each movingServers is allowed.
	maxMovesPerRound = 6
	maxMoving        = 8
	serversPerMove   = 4
	// overload and underload are the ratios to the mean load at which keys move.
	overloadRatio  = 1.3
	underloadRatio = 0.5
	// busyFrom is the part of its slots from which a server counts as busy;
	// keys of servers that are not stay where they are.
	minUtilization = 0.45
	// significance is how many standard deviations of a count of requests an
	// excess must reach.
	significance = 2.5
	// rangesPerServer bounds how finely the keys are divided.
	rangesPerServer = 4
)

// rebalance moves keys from the servers with the greatest load to those with
// the least, and joins neighbouring ranges of one owner.
func (b *pageBuilder) rebalance() {
	if b.now < b.nextRebalanceAt {
		return
	}
	b.nextRebalanceAt = b.now + rebalanceInterval
	if !b.adopted || b.moving() >= max(maxMoving, len(b.loads.rows)/serversPerMove) {
		return
	}
	blocked := make(map[*serverRow]bool)
	for range max(maxMovesPerRound, len(b.loads.rows)/serversPerMove) {
		if !b.moveOnce(blocked) {
			break
		}
	}
	b.mergeRanges()
}

// moving returns the number of ranges that are changing hands.
func (b *pageBuilder) moving() int {
	count := 0
	for _, r := range b.page.Ranges {
		if len(r.Prior) > 0 {
			count++
		}
	}
	return count
}

// moveOnce moves keys of the server with the greatest load that can be
// relieved. stuck holds servers that can't.
func (b *pageBuilder) moveOnce(blocked map[*serverRow]bool) bool {
	mean := b.loads.meanLoad()
	if mean == 0 {
		return false
	}
	least := b.loads.leastLoaded(nil)
	for _, from := range b.loads.byLoad(blocked) {
		to := least
		if to == from {
			to = b.loads.leastLoaded(from)
		}
		if to == nil || !b.loads.empty(to) && !b.imbalanced(from, to, mean) {
			return false
		}
		if (b.loads.empty(to) || b.overloaded(from, mean)) && b.relieve(from, to, mean) {
			return true
		}
		blocked[from] = true
	}
	return false
}

// relieve moves a part of a server's keys to another one.
func (b *pageBuilder) relieve(from, to *serverRow, mean float64) bool {
	surplus := (b.loads.load(from) - mean) * from.weight
	room := (mean - b.loads.load(to)) * to.weight
	wanted := min(max(surplus, room/2), room)
	if wanted <= 0 {
		return false
	}
	for _, at := range b.movableRanges(from) {
		if b.promote(at, from) || b.moveLoad(at, wanted, to) {
			return true
		}
	}
	return false
}

const (
	// promoteBusy is the part of a server's slots that one key must take to be
	// given to a stronger server, promoteGain how much stronger that must be.
	promoteUtilization = 0.6
	promoteGain        = 1.15
)

// promote gives a key that is too much for its server to the strongest one,
// whose other keys then move away.
func (b *pageBuilder) promote(at int, from *serverRow) bool {
	r := b.page.Ranges[at]
	hot := b.loads.hottestKey(r)
	to := b.loads.strongest()
	if hot.rate < promoteUtilization*b.loads.capacity(from) || to == nil || to == from ||
		to.weight < promoteGain*from.weight {
		return false
	}
	part := r
	part.From, part.To = hot.key, hot.key
	var parts []Range
	if r.From < hot.key {
		before := r
		before.To = hot.key - 1
		parts = append(parts, before)
	}
	parts = append(parts, b.move(r, part, to))
	if r.To > hot.key {
		after := r
		after.From = hot.key + 1
		parts = append(parts, after)
	}
	b.page.Ranges = slices.Replace(b.page.Ranges, at, at+1, parts...)
	return true
}

// apart says whether two servers' loads differ enough from the mean.
func (b *pageBuilder) imbalanced(from, to *serverRow, mean float64) bool {
	return b.loads.load(from) >= overloadRatio*mean || b.loads.load(to) <= underloadRatio*mean
}

// uneven says whether a busy server has significantly more load than the mean.
func (b *pageBuilder) overloaded(from *serverRow, mean float64) bool {
	if b.loads.utilization(from) < minUtilization {
		return false
	}
	even := mean * from.weight
	// The variance of a decayed count is half of its mean.
	return from.rate-even > significance*math.Sqrt(even/2)
}

// hottest returns the indexes of the ranges of a server that may move, those
// with the most load first.
func (b *pageBuilder) movableRanges(row *serverRow) []int {
	var found []int
	for at, r := range b.page.Ranges {
		if r.Owner.Life == row.Life() && len(r.Prior) == 0 && b.releasable(r) {
			found = append(found, at)
		}
	}
	sort.SliceStable(found, func(i, j int) bool {
		return b.loads.rangeRate(b.page.Ranges[found[i]]) > b.loads.rangeRate(b.page.Ranges[found[j]])
	})
	return found
}

// settledRange says whether the last grants of a range were answered, so that
// a release ends the hold at once.
func (b *pageBuilder) releasable(r Range) bool {
	row := b.row(r.Owner.Life)
	grant, known := row.granted[r.From]
	late := b.latestUnanswered(row)
	return known && grant.answered && (late == 0 || b.now > late+b.maxGrantLifetime())
}

// take moves a part of one range that brings the wanted load.
func (b *pageBuilder) moveLoad(at int, wanted float64, to *serverRow) bool {
	r := b.page.Ranges[at]
	total := b.loads.rangeRate(r)
	if r.Size() < 2 && total > 1.5*wanted {
		return false
	}
	if wanted >= total*0.9 || r.Size() < 2 {
		b.page.Ranges[at] = b.move(r, r, to)
		return true
	}
	if len(b.page.Ranges) >= b.maxRanges() {
		return false
	}
	cut := b.loads.splitPoint(r, wanted)
	if cut >= int(r.To) {
		cut = int(r.To) - 1
	}
	part, rest := r, r
	part.To, rest.From = uint16(cut), uint16(cut+1)
	// A single hot key can't be divided: the part must not bring more than it
	// takes to even the two servers out.
	if b.loads.rangeRate(part) > 1.5*wanted {
		return b.moveRest(at, part, rest, wanted, to)
	}
	b.replaceRange(at, b.move(r, part, to), rest)
	return true
}

// takeRest moves the other part of a range if that one is small enough.
func (b *pageBuilder) moveRest(at int, part, rest Range, wanted float64, to *serverRow) bool {
	if b.loads.rangeRate(rest) > 1.5*wanted || b.loads.rangeRate(rest) < wanted/4 {
		return false
	}
	b.replaceRange(at, part, b.move(b.page.Ranges[at], rest, to))
	return true
}

// insert replaces one range by two.
func (b *pageBuilder) replaceRange(at int, first, second Range) {
	ranges := make([]Range, 0, len(b.page.Ranges)+1)
	ranges = append(ranges, b.page.Ranges[:at]...)
	ranges = append(ranges, first, second)
	b.page.Ranges = append(ranges, b.page.Ranges[at+1:]...)
}

// join makes one range of neighbouring ones with one owner, under a new fence.
func (b *pageBuilder) mergeRanges() {
	merged := b.page.Ranges[:0:0]
	for _, r := range b.page.Ranges {
		last := len(merged) - 1
		if last >= 0 && merged[last].Owner.Life == r.Owner.Life && len(merged[last].Prior) == 0 && len(r.Prior) == 0 &&
			b.releasable(r) && b.releasable(merged[last]) {
			merged[last].To = r.To
			merged[last].Owner.Fence = b.newFence()
			continue
		}
		merged = append(merged, r)
	}
	b.page.Ranges = merged
}
