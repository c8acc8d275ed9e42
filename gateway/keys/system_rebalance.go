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
	// significanceMargin is by how many it must also exceed the greatest excess that is to be
	// expected among all servers by chance.
	significanceMargin = 0.5
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
	moving, _ := b.page.Moving()
	if !b.adopted || moving >= max(maxMoving, len(b.loads.rows)/serversPerMove) {
		return
	}
	blocked := make(map[*serverRow]bool)
	for left := max(maxMovesPerRound, len(b.loads.rows)/serversPerMove); left > 0; {
		moved := b.moveOnce(blocked, left)
		if moved == 0 {
			break
		}
		left -= moved
	}
	b.isolate()
	b.gather(b.loads.meanLoad())
	b.mergeRanges()
}

// moveOnce moves some keys from the server with the highest load that can give
// any, and returns the number of ranges that move, at most limit. It adds servers that can't
// to blocked.
func (b *pageBuilder) moveOnce(blocked map[*serverRow]bool, limit int) int {
	mean := b.loads.meanLoad()
	if mean == 0 {
		return 0
	}
	for _, from := range b.loads.byLoad(blocked) {
		to := b.receiver(from)
		if to == nil || !b.loads.empty(to) && !b.imbalanced(from, b.loads.leastLoaded(from), mean) {
			return 0
		}
		if b.loads.empty(to) || b.overloaded(from, mean) || b.underused(to, from, mean) {
			if moved := b.relieve(from, to, mean, limit); moved > 0 {
				return moved
			}
		}
		blocked[from] = true
	}
	return 0
}

// receiver returns the server that gets keys of another one: one without keys, so that its speed
// becomes known, or the one with the most room. Of a slow server's small share a low load
// leaves no room for a single hot key.
func (b *pageBuilder) receiver(from *serverRow) *serverRow {
	least := b.loads.leastLoaded(from)
	if least == nil || b.loads.empty(least) {
		return least
	}
	return b.loads.roomiest(from)
}

// relieve moves some of a server's keys to another server, or to several ones if its surplus
// needs these. It returns the number of ranges that move.
func (b *pageBuilder) relieve(from, to *serverRow, mean float64, limit int) int {
	surplus := (b.loads.load(from) - mean) * from.target
	room := b.loads.room(to, mean)
	wanted := min(surplus, room)
	if b.loads.load(to) <= underloadRatio*mean {
		wanted = min(max(surplus, room/2), room)
	}
	if wanted <= 0 {
		return 0
	}
	ranges := b.movableRanges(from)
	for _, at := range ranges {
		if b.promote(at, from) {
			return 1
		}
		if moved := b.spreadRange(at, from, mean, limit); moved > 0 {
			return moved
		}
		if b.moveLoad(at, wanted, to, len(ranges) > 1) {
			return 1
		}
	}
	return 0
}

// imbalanced reports whether the load of either server is far from the mean.
func (b *pageBuilder) imbalanced(from, to *serverRow, mean float64) bool {
	return b.loads.load(from) >= overloadRatio*mean || b.loads.load(to) <= underloadRatio*mean
}

// overloaded reports whether the load of a busy or slow server is significantly
// above the mean.
func (b *pageBuilder) overloaded(from *serverRow, mean float64) bool {
	expected := mean * from.target
	needed := b.neededSignificance()
	// The variance of an exponentially decayed count is half its mean.
	switch {
	case b.loads.utilization(from) >= minUtilization:
		return from.rate-expected > needed*math.Sqrt(expected/2)
	case b.slow(from):
		return from.rate-expected > needed*math.Sqrt(from.rate/2)
	}
	return false
}

// underused reports whether a server's load is significantly below the mean while another one is
// busy. One with next to no load, as after the end of a limit, gets keys again even if none is.
func (b *pageBuilder) underused(to, from *serverRow, mean float64) bool {
	expected := mean * to.target
	if expected-to.rate <= b.neededSignificance()*math.Sqrt(expected/2) {
		return false
	}
	load := b.loads.load(to)
	return load <= minTargetShare*mean || load <= underloadRatio*mean && b.loads.utilization(from) >= minUtilization
}

// neededSignificance returns the number of standard deviations that an excess must reach.
func (b *pageBuilder) neededSignificance() float64 {
	byChance := math.Sqrt(2 * math.Log(float64(max(len(b.loads.rows), 1))))
	return max(significance, byChance+significanceMargin)
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
	grant, known := row.grantOf(r)
	late := b.latestUnanswered(row)
	return known && grant.accepted && (late == 0 || b.now > late+b.maxGrantLifetime())
}

// moveLoad moves the part of a range that carries the wanted rate. The whole range
// moves only if its owner has others: an empty server would get keys again at once.
func (b *pageBuilder) moveLoad(at int, wanted float64, to *serverRow, whole bool) bool {
	r := b.page.Ranges[at]
	total := b.loads.rangeRate(r)
	if r.Size() < 2 && total > maxPartExcess*wanted {
		return false
	}
	if whole && wanted >= total*0.9 || r.Size() < 2 {
		b.page.Ranges[at] = b.move(r, r, to)
		return true
	}
	if cheap := b.loads.cheapestPart(r, wanted); b.dividable(r, cheap) && b.loads.rangeRate(cheap) <= maxPartExcess*wanted {
		b.movePart(at, cheap, to)
		return true
	}
	return b.moveRest(at, wanted, to)
}

// dividable reports whether the page has room for the ranges that a part leaves of a range.
func (b *pageBuilder) dividable(r, part Range) bool {
	more := 0
	if r.From < part.From {
		more++
	}
	if part.To < r.To {
		more++
	}
	return more == 0 || len(b.page.Ranges)+more <= b.maxRanges()
}

// movePart moves a part of a range.
func (b *pageBuilder) movePart(at int, part Range, to *serverRow) {
	r := b.page.Ranges[at]
	var ranges []Range
	if before := r; r.From < part.From {
		before.To = part.From - 1
		ranges = append(ranges, before)
	}
	ranges = append(ranges, b.move(r, part, to))
	if after := r; part.To < r.To {
		after.From = part.To + 1
		ranges = append(ranges, after)
	}
	b.page.Ranges = slices.Replace(b.page.Ranges, at, at+1, ranges...)
}

// moveRest moves what follows the leading part of the range with the wanted rate, which a hot
// key in it makes too great. It moves if it is small enough.
func (b *pageBuilder) moveRest(at int, wanted float64, to *serverRow) bool {
	rest := b.page.Ranges[at]
	cut := b.loads.splitPoint(rest, wanted)
	if cut >= int(rest.To) {
		cut = int(rest.To) - 1
	}
	rest.From = uint16(cut + 1)
	if !b.dividable(b.page.Ranges[at], rest) || b.loads.rangeRate(rest) > maxPartExcess*wanted || b.loads.rangeRate(rest) < wanted/4 {
		return false
	}
	b.movePart(at, rest, to)
	return true
}

// mergeRanges merges neighbouring ranges of one owner under a new fence.
func (b *pageBuilder) mergeRanges() {
	merged := b.page.Ranges[:0:0]
	for _, r := range b.page.Ranges {
		last := len(merged) - 1
		if last >= 0 && merged[last].Owner.Incarnation == r.Owner.Incarnation && len(merged[last].Prior) == 0 && len(r.Prior) == 0 &&
			b.releasable(r) && b.releasable(merged[last]) && !b.isolated(r) && !b.isolated(merged[last]) {
			merged[last].To = r.To
			merged[last].Owner.Fence = b.newFence()
			continue
		}
		merged = append(merged, r)
	}
	b.page.Ranges = merged
}
