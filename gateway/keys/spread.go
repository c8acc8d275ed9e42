package keys

import "slices"

// minPartShare is the part of a server's target rate that it must have room for to get a part
// of an overloaded range: each part is one more range to renew.
const minPartShare = 0.1

// part is a part of a range and the server that it moves to; nil if it stays.
type part struct {
	from, to uint16
	target   *serverRow
}

// spreadPlan divides the keys of a range that carry its server's surplus among the servers with
// the most room, in one page, so that each gets as much as it has room for. It answers loads
// that are more than one other server can take: some adjacent keys that have become hot, the
// shortest run of which moves. A key that no server has room for stays. The parts cover the
// range; they are at most maxParts, of which at most limit move. The rates of the servers are
// updated for those that move.
func (t *loadTable) spreadPlan(r Range, owner *serverRow, surplus, mean float64, limit, maxParts int) []part {
	window := t.shortestWindow(r, surplus)
	var parts []part
	keep := func(from, to int) {
		if from > to {
			return
		}
		if last := len(parts) - 1; last >= 0 && parts[last].target == nil {
			parts[last].to = uint16(to)
			return
		}
		parts = append(parts, part{from: uint16(from), to: uint16(to)})
	}
	keep(int(r.From), int(window.From)-1)
	next, moved := int(window.From), 0
	for next <= int(window.To) && len(parts)+2 <= maxParts { // This part and the rest.
		target := t.roomiest(owner)
		if target == nil || moved == limit || t.room(target, mean) < minPartShare*target.target {
			break
		}
		rest := window
		rest.From = uint16(next)
		cut := t.fitting(rest, t.room(target, mean))
		next = cut.to + 1
		if !cut.fits {
			keep(int(rest.From), cut.to)
			continue
		}
		rest.To = uint16(cut.to)
		t.moveRate(owner.Incarnation(), target.Incarnation(), rest)
		parts = append(parts, part{rest.From, rest.To, target})
		moved++
	}
	keep(next, int(r.To))
	return parts
}

// leading is a leading part of a range, up to a key.
type leading struct {
	to   int
	fits bool
}

// fitting returns the leading part of a range that a server with room for a rate takes. It is
// one key that does not fit if that key alone exceeds the room by half.
func (t *loadTable) fitting(r Range, room float64) leading {
	to := t.splitPoint(r, room)
	part := r
	part.To = uint16(to)
	if to > int(r.From) && t.rangeRate(part) > maxPartExcess*room {
		part.To--
	}
	return leading{int(part.To), t.rangeRate(part) <= maxPartExcess*room}
}

// maxPartExcess is the ratio of the rate of a part to its new owner's room up to which it moves.
const maxPartExcess = 1.5

// shortestWindow returns the fewest adjacent keys of a range that carry a rate: a leading part
// of the range if only that does.
func (t *loadTable) shortestWindow(r Range, wanted float64) Range {
	best := r
	best.To = uint16(t.splitPoint(r, wanted))
	counted := ratesIn(t.sorted, r.From, r.To)
	rate, first := 0.0, 0
	for _, last := range counted {
		rate += last.rate
		size := func() int { return int(last.key) - int(counted[first].key) + 1 }
		for rate+t.baseRate*float64(size()) >= wanted {
			if size() < best.Size() {
				best.From, best.To = counted[first].key, last.key
			}
			if counted[first].key == last.key {
				break
			}
			rate -= counted[first].rate
			first++
		}
	}
	return best
}

// maxUtilization is the utilization up to which a server gets keys. Beyond it its queue grows,
// and while all servers are full a move only interrupts its keys.
const maxUtilization = 0.9

// room returns the rate that a server can take until its load is the mean or its slots are in
// use.
func (t *loadTable) room(row *serverRow, mean float64) float64 {
	return min((mean-t.load(row))*row.target, maxUtilization*row.capacity-row.rate)
}

// roomiest returns the server with the most room except excluded, or nil.
func (t *loadTable) roomiest(excluded *serverRow) *serverRow {
	mean := t.meanLoad()
	var best *serverRow
	for _, row := range t.rows {
		if row == excluded {
			continue
		}
		if best == nil || t.room(row, mean) > t.room(best, mean) {
			best = row
		}
	}
	return best
}

// spreadRange moves the surplus of a range to as many servers as it needs, if it is more than
// the one with the most room can take. It returns the number of parts that move.
func (b *pageBuilder) spreadRange(at int, owner *serverRow, mean float64, limit int) int {
	r := b.page.Ranges[at]
	surplus := min((b.loads.load(owner)-mean)*owner.target, b.loads.rangeRate(r))
	most := b.loads.roomiest(owner)
	if most == nil || surplus <= maxPartExcess*b.loads.room(most, mean) || r.Size() < 2 {
		return 0
	}
	maxParts := b.maxRanges() - len(b.page.Ranges) + 1 // They replace the range.
	moved := 0
	var ranges []Range
	for _, p := range b.loads.spreadPlan(r, owner, surplus, mean, limit, maxParts) {
		next := r
		next.From, next.To = p.from, p.to
		if p.target != nil {
			b.loads.moveRate(p.target.Incarnation(), owner.Incarnation(), next) // move accounts it again.
			next = b.move(r, next, p.target)
			moved++
		}
		ranges = append(ranges, next)
	}
	if moved > 0 {
		b.page.Ranges = slices.Replace(b.page.Ranges, at, at+1, ranges...)
	}
	return moved
}

// innerPartRatio is by how much a part within a range must be smaller than one at its end to
// move: it leaves one more range.
const innerPartRatio = 4

// cheapestPart returns the part of a range that carries a rate and has the fewest keys: at one
// of its ends, or within if that is far smaller. It does not cover the range.
func (t *loadTable) cheapestPart(r Range, wanted float64) Range {
	first, last := r, r
	first.To = uint16(min(t.splitPoint(r, wanted), int(r.To)-1))
	last.From = uint16(min(t.splitPoint(r, t.rangeRate(r)-wanted), int(r.To)-1) + 1)
	best := first
	if excess := maxPartExcess * wanted; t.rangeRate(last) <= excess && (last.Size() < first.Size() || t.rangeRate(first) > excess) && t.rangeRate(last) > wanted/2 {
		best = last
	}
	if inner := t.shortestWindow(r, wanted); innerPartRatio*inner.Size() < best.Size() {
		return inner
	}
	return best
}
