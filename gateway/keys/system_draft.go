package keys

import (
	"slices"
	"time"

	"guavacrank.example/gateway/model"
)

// runDraft works out the next page and asks for its write.
func (m *Machine) runDraft() {
	if m.writing != nil || m.extended || m.now < max(m.retryWrite, m.draftAt) || !m.listed || !m.draftNeeded() {
		return
	}
	draft := &Page{}
	if m.page != nil {
		draft = m.page.clone()
	}
	m.draftAt = m.now + redraftEvery
	d := &drafting{Machine: m, page: draft, loads: m.loads()}
	d.create()
	d.adopt()
	d.nameEarlier()
	d.lengthen()
	d.clearEnded()
	d.moveLost()
	if !d.changed {
		d.rebalance()
	}
	if !d.changed {
		return
	}
	m.draftAt = m.now + draftEvery
	m.nextDraft++
	draft.Writer, draft.WriteID = m.options.Self, m.nextDraft
	m.writing, m.changing = draft, changedRanges(m.page, draft)
	m.ready.Write = &PageWrite{Expected: m.version, Page: draft}
}

// draftNeeded says whether the page may have to change, without working out
// the servers' loads.
func (m *Machine) draftNeeded() bool {
	if m.page == nil || len(m.page.Ranges) == 0 || !m.adopted || m.now >= m.planAt || !slices.Equal(m.page.Predecessors, m.before.running) {
		return true
	}
	for _, r := range m.page.Ranges {
		if m.mustMove(r) {
			return true
		}
		if _, ended := m.mayGrant(r); ended && len(r.Prior) > 0 {
			return true
		}
	}
	return false
}

// drafting is the making of one page.
type drafting struct {
	*Machine
	page    *Page
	loads   *loadTable
	fence   uint64 // The fence of this draft's changes; zero until one is made.
	changed bool
}

// newFence returns one fence above all others for the draft's changes.
func (d *drafting) newFence() uint64 {
	if d.fence == 0 {
		d.page.Fence++
		d.fence = d.page.Fence
	}
	d.changed = true
	return d.fence
}

// create divides all keys among the servers, if there is no page yet.
func (d *drafting) create() {
	if len(d.page.Ranges) > 0 || d.firstSeen == 0 || d.now < d.firstSeen+gatherTime {
		return
	}
	usable := d.loads.usable()
	if len(usable) == 0 {
		return
	}
	total := 0.0
	for _, row := range usable {
		total += row.weight
	}
	next, passed := 0, 0.0
	for at, row := range usable {
		passed += row.weight
		end := int(passed / total * model.Keys)
		if at == len(usable)-1 {
			end = model.Keys
		}
		if end <= next {
			continue
		}
		d.page.Ranges = append(d.page.Ranges, Range{From: uint16(next), To: uint16(end - 1), Owner: d.holder(row)})
		next = end
	}
	d.Machine.adopted = true
}

// holder returns a server as the owner of keys that it has not held.
func (d *drafting) holder(row *serverRow) Holder {
	return Holder{Life: row.Life(), Address: row.Address, Fence: d.newFence()}
}

// adopt gives every range a new fence once, after leading began.
func (d *drafting) adopt() {
	if d.adopted || len(d.page.Ranges) == 0 {
		return
	}
	fence := d.newFence()
	for at := range d.page.Ranges {
		d.page.Ranges[at].Owner.Fence = fence
	}
}

// nameEarlier has the page name the earlier leaders that may still grant, for
// the next leader.
func (d *drafting) nameEarlier() {
	if !slices.Equal(d.page.Predecessors, d.before.running) {
		d.page.Predecessors = slices.Clone(d.before.running)
		d.changed = true
	}
}

// holdEach is what each range adds to the hold of grants, so that the calls a
// second do not grow with the ranges.
const holdEach = 8 * time.Millisecond

// lengthen has grants hold longer when there are many ranges. It never shortens:
// grants with the longer hold may still be under way.
func (d *drafting) lengthen() {
	wanted := min(time.Duration(len(d.page.Ranges))*holdEach, d.options.MaxHold).Truncate(holdEach)
	if wanted > max(d.page.Hold, d.options.Hold)*5/4 {
		d.page.Hold = wanted
		d.changed = true
	}
}

// clearEnded drops prior holders that have ended.
func (d *drafting) clearEnded() {
	if d.Machine.page == nil {
		return
	}
	for at := range d.page.Ranges {
		r := &d.page.Ranges[at]
		if len(r.Prior) == 0 {
			continue
		}
		if _, ended := d.mayGrant(*r); ended {
			r.Prior = nil
			d.changed = true
		}
	}
}

// moveLost gives the keys of servers that are leaving, gone or out of reach to
// others.
func (d *drafting) moveLost() {
	ranges := d.page.Ranges
	d.page.Ranges = nil
	for at, r := range ranges {
		if !d.mustMove(r) {
			d.page.Ranges = append(d.page.Ranges, r)
			continue
		}
		room := d.mostRanges() - len(d.page.Ranges) - len(ranges[at:])
		d.page.Ranges = append(d.page.Ranges, d.spread(r, room)...)
	}
}

// mustMove says whether the owner of a range is leaving, gone or out of reach.
func (m *Machine) mustMove(r Range) bool {
	if r.Owner.ID == "" || m.replacedLife(r.Owner) {
		return true
	}
	row := m.row(r.Owner.Life)
	if !row.listed {
		return m.absent(row)
	}
	return row.Draining || m.outOfReach(row) || row.over()
}

// overAfter is how long calls to a server must be refused until its keys are
// given to others. They are granted after its hold all the same.
const overAfter = 300 * time.Millisecond

// over says whether a server's process seems to have ended: calls were refused
// for some time, and it has not named itself since.
func (r *serverRow) over() bool {
	return r.refusedAt > 0 && r.refusedLast >= r.refusedAt+overAfter && r.unsure && r.namedAt == 0
}

// outOfReach says whether a listed server has answered no grant for so long
// that it holds nothing any more, while most others do answer.
func (m *Machine) outOfReach(row *serverRow) bool {
	if row.failingSince == 0 || m.now < row.failingSince+isolatedAfter || m.now < m.arrivedBy(row, row.arrivedBy)+m.longestHold() {
		return false
	}
	return !m.Isolated()
}

// Isolated says whether more than half of the listed servers that were called
// do not answer: the fault is then more likely this VM's.
func (m *Machine) Isolated() bool {
	called, failing := 0, 0
	for _, row := range m.servers {
		if !row.listed || !row.everSent {
			continue
		}
		called++
		if row.failingSince != 0 && m.now >= row.failingSince+isolatedAfter {
			failing++
		}
	}
	return called > 0 && 2*failing > called
}

// isolatedAfter is how long calls must fail until they count against this VM.
const isolatedAfter = time.Second

// spreadParts is the greatest number of servers that share a lost range.
const spreadParts = 4

// spread gives one range to the servers with the least load, in parts of equal
// heat. room is the number of ranges that the page may gain. A range that nobody
// can take is returned as it is.
func (d *drafting) spread(r Range, room int) []Range {
	if len(d.loads.usable()) == 0 {
		return []Range{r}
	}
	parts := []Range{r}
	if len(r.Prior) == 0 && r.Size() > minSplit && room > 0 {
		parts = d.divide(r, min(spreadParts, room+1, len(d.loads.usable())))
	}
	moved := make([]Range, 0, len(parts))
	for _, part := range parts {
		target := d.loads.least(d.Machine.servers[r.Owner.Life])
		if target == nil {
			moved = append(moved, part)
			continue
		}
		moved = append(moved, d.move(r, part, target))
	}
	return moved
}

// mostRanges bounds how finely the keys are divided.
func (d *drafting) mostRanges() int { return len(d.loads.rows) * rangesPerServer }

// move returns part, a part of the range old, with a new owner.
func (d *drafting) move(old, part Range, target *serverRow) Range {
	d.loads.shift(old.Owner.Life, target.Life(), part)
	prior := old.Owner
	if prior.ID != "" {
		part.Prior = append(part.Prior[:len(part.Prior):len(part.Prior)], prior)
		key := endKey{part.From, part.To, prior.Life, prior.Fence}
		d.bounds[key] = d.boundOf(old)
	}
	part.Owner = d.holder(target)
	return part
}

// minSplit is the size below which a range is not divided.
const minSplit = 4

// divide cuts a range into parts of about equal load.
func (d *drafting) divide(r Range, count int) []Range {
	total := d.loads.of(r)
	var parts []Range
	rest := r
	for left := count; left > 1 && rest.Size() > minSplit; left-- {
		cut := d.loads.cut(rest, total/float64(count))
		if cut >= int(rest.To) {
			break
		}
		part := rest
		part.To = uint16(cut)
		rest.From = uint16(cut + 1)
		parts = append(parts, part)
	}
	return append(parts, rest)
}
