package keys

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// planEvery is the time between two looks at the balance.
	planEvery = 250 * time.Millisecond
	// planMoves is the greatest number of moves of one look, mostMoving that of
	// ranges that may change hands at the same time. With many servers, one for
	// each movingServers is allowed.
	planMoves     = 6
	mostMoving    = 8
	movingServers = 4
	// overload and underload are the ratios to the mean load at which keys move.
	overload  = 1.3
	underload = 0.5
	// busyFrom is the part of its slots from which a server counts as busy;
	// keys of servers that are not stay where they are.
	busyFrom = 0.45
	// significance is how many standard deviations of a count of requests an
	// excess must reach.
	significance = 2.5
	// rangesPerServer bounds how finely the keys are divided.
	rangesPerServer = 4
)

// rebalance moves keys from the servers with the greatest load to those with
// the least, and joins neighbouring ranges of one owner.
func (d *drafting) rebalance() {
	if d.now < d.planAt {
		return
	}
	d.planAt = d.now + planEvery
	if !d.adopted || d.moving() >= max(mostMoving, len(d.loads.rows)/movingServers) {
		return
	}
	stuck := make(map[*serverRow]bool)
	for range max(planMoves, len(d.loads.rows)/movingServers) {
		if !d.moveOnce(stuck) {
			break
		}
	}
	d.join()
}

// moving returns the number of ranges that are changing hands.
func (d *drafting) moving() int {
	count := 0
	for _, r := range d.page.Ranges {
		if len(r.Prior) > 0 {
			count++
		}
	}
	return count
}

// moveOnce moves keys of the server with the greatest load that can be
// relieved. stuck holds servers that can't.
func (d *drafting) moveOnce(stuck map[*serverRow]bool) bool {
	mean := d.loads.mean()
	if mean == 0 {
		return false
	}
	least := d.loads.least(nil)
	for _, from := range d.loads.byLoad(stuck) {
		to := least
		if to == from {
			to = d.loads.least(from)
		}
		if to == nil || !d.loads.idle(to) && !d.apart(from, to, mean) {
			return false
		}
		if (d.loads.idle(to) || d.uneven(from, mean)) && d.relieve(from, to, mean) {
			return true
		}
		stuck[from] = true
	}
	return false
}

// relieve moves a part of a server's keys to another one.
func (d *drafting) relieve(from, to *serverRow, mean float64) bool {
	surplus := (d.loads.load(from) - mean) * from.weight
	room := (mean - d.loads.load(to)) * to.weight
	wanted := min(max(surplus, room/2), room)
	if wanted <= 0 {
		return false
	}
	for _, at := range d.hottest(from) {
		if d.promote(at, from) || d.take(at, wanted, to) {
			return true
		}
	}
	return false
}

const (
	// promoteBusy is the part of a server's slots that one key must take to be
	// given to a stronger server, promoteGain how much stronger that must be.
	promoteBusy = 0.6
	promoteGain = 1.15
)

// promote gives a key that is too much for its server to the strongest one,
// whose other keys then move away.
func (d *drafting) promote(at int, from *serverRow) bool {
	r := d.page.Ranges[at]
	hot := d.loads.hottestKey(r)
	to := d.loads.strongest()
	if hot.heat < promoteBusy*d.loads.capacity(from) || to == nil || to == from ||
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
	parts = append(parts, d.move(r, part, to))
	if r.To > hot.key {
		after := r
		after.From = hot.key + 1
		parts = append(parts, after)
	}
	d.page.Ranges = slices.Replace(d.page.Ranges, at, at+1, parts...)
	return true
}

// apart says whether two servers' loads differ enough from the mean.
func (d *drafting) apart(from, to *serverRow, mean float64) bool {
	return d.loads.load(from) >= overload*mean || d.loads.load(to) <= underload*mean
}

// uneven says whether a busy server has significantly more load than the mean.
func (d *drafting) uneven(from *serverRow, mean float64) bool {
	if d.loads.busy(from) < busyFrom {
		return false
	}
	even := mean * from.weight
	// The variance of a decayed count is half of its mean.
	return from.heat-even > significance*math.Sqrt(even/2)
}

// hottest returns the indexes of the ranges of a server that may move, those
// with the most load first.
func (d *drafting) hottest(row *serverRow) []int {
	var found []int
	for at, r := range d.page.Ranges {
		if r.Owner.Life == row.Life() && len(r.Prior) == 0 && d.settledRange(r) {
			found = append(found, at)
		}
	}
	sort.SliceStable(found, func(i, j int) bool {
		return d.loads.of(d.page.Ranges[found[i]]) > d.loads.of(d.page.Ranges[found[j]])
	})
	return found
}

// settledRange says whether the last grants of a range were answered, so that
// a release ends the hold at once.
func (d *drafting) settledRange(r Range) bool {
	row := d.row(r.Owner.Life)
	grant, known := row.granted[r.From]
	late := d.lateBy(row)
	return known && grant.answered && (late == 0 || d.now > late+d.longestHold())
}

// take moves a part of one range that brings the wanted load.
func (d *drafting) take(at int, wanted float64, to *serverRow) bool {
	r := d.page.Ranges[at]
	total := d.loads.of(r)
	if r.Size() < 2 && total > 1.5*wanted {
		return false
	}
	if wanted >= total*0.9 || r.Size() < 2 {
		d.page.Ranges[at] = d.move(r, r, to)
		return true
	}
	if len(d.page.Ranges) >= d.mostRanges() {
		return false
	}
	cut := d.loads.cut(r, wanted)
	if cut >= int(r.To) {
		cut = int(r.To) - 1
	}
	part, rest := r, r
	part.To, rest.From = uint16(cut), uint16(cut+1)
	// A single hot key can't be divided: the part must not bring more than it
	// takes to even the two servers out.
	if d.loads.of(part) > 1.5*wanted {
		return d.takeRest(at, part, rest, wanted, to)
	}
	d.insert(at, d.move(r, part, to), rest)
	return true
}

// takeRest moves the other part of a range if that one is small enough.
func (d *drafting) takeRest(at int, part, rest Range, wanted float64, to *serverRow) bool {
	if d.loads.of(rest) > 1.5*wanted || d.loads.of(rest) < wanted/4 {
		return false
	}
	d.insert(at, part, d.move(d.page.Ranges[at], rest, to))
	return true
}

// insert replaces one range by two.
func (d *drafting) insert(at int, first, second Range) {
	ranges := make([]Range, 0, len(d.page.Ranges)+1)
	ranges = append(ranges, d.page.Ranges[:at]...)
	ranges = append(ranges, first, second)
	d.page.Ranges = append(ranges, d.page.Ranges[at+1:]...)
}

// join makes one range of neighbouring ones with one owner, under a new fence.
func (d *drafting) join() {
	joined := d.page.Ranges[:0:0]
	for _, r := range d.page.Ranges {
		last := len(joined) - 1
		if last >= 0 && joined[last].Owner.Life == r.Owner.Life && len(joined[last].Prior) == 0 && len(r.Prior) == 0 &&
			d.settledRange(r) && d.settledRange(joined[last]) {
			joined[last].To = r.To
			joined[last].Owner.Fence = d.newFence()
			continue
		}
		joined = append(joined, r)
	}
	d.page.Ranges = joined
}
