package keys

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// rebalanceInterval is the time between two checks of the balance.
	rebalanceInterval = 250 * time.Millisecond
	// maxMovesPerRound bounds the moves of one check, maxMoving the ranges that
	// may change owner at the same time. With many servers, both are one for each
	// serversPerMove servers instead.
	maxMovesPerRound = 6
	maxMoving        = 8
	serversPerMove   = 4
	// overloadRatio and underloadRatio are the ratios to the mean load from which
	// keys move.
	overloadRatio  = 1.3
	underloadRatio = 0.5
	// minUtilization is the utilization from which a server's keys may move
	// because of their load. Those of a slow server, whose service time is at least
	// slowRatio of the mean, move at any utilization: its callers wait even while it
	// has free slots.
	minUtilization = 0.45
	slowRatio      = 1.3
	// minSlowSamples is the number of responses that show that a server is slow.
	minSlowSamples = 8
	// significance is the number of standard deviations of a request count that
	// an excess must reach.
	significance = 2.5
	// rangesPerServer bounds the number of ranges.
	rangesPerServer = 4
)

// rebalance moves keys from the servers with the highest load to those with the
// lowest, and merges neighbouring ranges of one owner.
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

// moving returns the number of ranges that are changing owner.
func (b *pageBuilder) moving() int {
	count := 0
	for _, r := range b.page.Ranges {
		if len(r.Prior) > 0 {
			count++
		}
	}
	return count
}

// moveOnce moves some keys from the server with the highest load that can give
// any. It adds servers that can't to blocked.
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

// relieve moves some of a server's keys to another server.
func (b *pageBuilder) relieve(from, to *serverRow, mean float64) bool {
	surplus := (b.loads.load(from) - mean) * from.target
	room := (mean - b.loads.load(to)) * to.target
	wanted := min(max(surplus, room/2), room)
	if wanted <= 0 {
		return false
	}
	ranges := b.movableRanges(from)
	for _, at := range ranges {
		if b.promote(at, from) || b.moveLoad(at, wanted, to, len(ranges) > 1) {
			return true
		}
	}
	return false
}

const (
	// promoteUtilization is the part of a server's slots that a single key must
	// take to move to another server, promoteCapacityRatio the ratio of the
	// capacities from which it does.
	promoteUtilization   = 0.6
	promoteCapacityRatio = 1.3
)

// promote moves a key that overloads its server to the fastest server, whose other
// keys then move away.
func (b *pageBuilder) promote(at int, from *serverRow) bool {
	r := b.page.Ranges[at]
	hot := b.loads.hottestKey(r)
	to := b.loads.fastest()
	if hot.rate < promoteUtilization*from.capacity || to == nil || to == from ||
		to.capacity < promoteCapacityRatio*from.capacity {
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

// imbalanced reports whether the load of either server is far from the mean.
func (b *pageBuilder) imbalanced(from, to *serverRow, mean float64) bool {
	return b.loads.load(from) >= overloadRatio*mean || b.loads.load(to) <= underloadRatio*mean
}

// overloaded reports whether the load of a busy or slow server is significantly
// above the mean.
func (b *pageBuilder) overloaded(from *serverRow, mean float64) bool {
	expected := mean * from.target
	// The variance of an exponentially decayed count is half its mean.
	switch {
	case b.loads.utilization(from) >= minUtilization:
		return from.rate-expected > significance*math.Sqrt(expected/2)
	case b.slow(from):
		return from.rate-expected > significance*math.Sqrt(from.rate/2)
	}
	return false
}

// slow reports whether a server takes clearly longer for a request than the others.
func (b *pageBuilder) slow(row *serverRow) bool {
	return row.service.samples >= minSlowSamples && row.serviceTime >= slowRatio*b.loads.meanServiceTime
}

// movableRanges returns the indexes of a server's ranges that may move, by
// descending rate.
func (b *pageBuilder) movableRanges(row *serverRow) []int {
	var found []int
	for at, r := range b.page.Ranges {
		if r.Owner.Incarnation == row.Incarnation() && len(r.Prior) == 0 && b.releasable(r) {
			found = append(found, at)
		}
	}
	sort.SliceStable(found, func(i, j int) bool {
		return b.loads.rangeRate(b.page.Ranges[found[i]]) > b.loads.rangeRate(b.page.Ranges[found[j]])
	})
	return found
}

// releasable reports whether the last grants of a range were answered, so that a
// release ends the validity of all grants of it at once.
func (b *pageBuilder) releasable(r Range) bool {
	row := b.row(r.Owner.Incarnation)
	grant, known := row.granted[r.From]
	late := b.latestUnanswered(row)
	return known && grant.accepted && (late == 0 || b.now > late+b.maxGrantLifetime())
}

// moveLoad moves the part of a range that carries the wanted rate. The whole range
// moves only if its owner has others: an empty server would get keys again at once.
func (b *pageBuilder) moveLoad(at int, wanted float64, to *serverRow, whole bool) bool {
	r := b.page.Ranges[at]
	total := b.loads.rangeRate(r)
	if r.Size() < 2 && total > 1.5*wanted {
		return false
	}
	if whole && wanted >= total*0.9 || r.Size() < 2 {
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
	// A single hot key can't be divided, so the part may carry too much. It must
	// not exceed what evens out the two servers' loads.
	if b.loads.rangeRate(part) > 1.5*wanted {
		return b.moveRest(at, part, rest, wanted, to)
	}
	b.replaceRange(at, b.move(r, part, to), rest)
	return true
}

// moveRest moves the other part of the range instead if it is small enough.
func (b *pageBuilder) moveRest(at int, part, rest Range, wanted float64, to *serverRow) bool {
	if b.loads.rangeRate(rest) > 1.5*wanted || b.loads.rangeRate(rest) < wanted/4 {
		return false
	}
	b.replaceRange(at, part, b.move(b.page.Ranges[at], rest, to))
	return true
}

// replaceRange replaces one range by two.
func (b *pageBuilder) replaceRange(at int, first, second Range) {
	ranges := make([]Range, 0, len(b.page.Ranges)+1)
	ranges = append(ranges, b.page.Ranges[:at]...)
	ranges = append(ranges, first, second)
	b.page.Ranges = append(ranges, b.page.Ranges[at+1:]...)
}

// mergeRanges merges neighbouring ranges of one owner under a new fence.
func (b *pageBuilder) mergeRanges() {
	merged := b.page.Ranges[:0:0]
	for _, r := range b.page.Ranges {
		last := len(merged) - 1
		if last >= 0 && merged[last].Owner.Incarnation == r.Owner.Incarnation && len(merged[last].Prior) == 0 && len(r.Prior) == 0 &&
			b.releasable(r) && b.releasable(merged[last]) {
			merged[last].To = r.To
			merged[last].Owner.Fence = b.newFence()
			continue
		}
		merged = append(merged, r)
	}
	b.page.Ranges = merged
}
