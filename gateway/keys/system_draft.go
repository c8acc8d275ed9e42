package keys

import (
	"slices"
	"time"

	"guavacrank.example/gateway/model"
)

// runDraft drafts the next page and asks for its write if anything changed.
func (m *Machine) runDraft() {
	if m.writing != nil || m.renewOnly || m.now < max(m.retryStoreAt, m.nextDraftAt) || !m.listed || !m.draftNeeded() {
		return
	}
	draft := &Page{}
	if m.page != nil {
		draft = m.page.clone()
	}
	m.nextDraftAt = m.now + idleDraftInterval
	b := &pageBuilder{Machine: m, page: draft, loads: m.loads()}
	b.stampDraft()
	b.create()
	b.adopt()
	b.recordUnknownHolders()
	b.recordPredecessors()
	b.extendTTL()
	b.recordFleet()
	b.dropFenced()
	b.dropEndedPrior()
	b.reassignLost()
	if !b.changed {
		b.rebalance()
	}
	b.reserveFences()
	if !b.changed {
		return
	}
	m.nextDraftAt = m.now + draftInterval
	m.nextWriteID++
	draft.Number++
	draft.Writer, draft.WriteID = m.options.Self, m.nextWriteID
	b.describeLostGrants()
	b.describePriorGrants()
	b.describeEarlierGrants()
	m.writing, m.changing = draft, changedRanges(m.page, draft)
	m.ready.Write = &PageWrite{Expected: m.version, Page: draft}
}

// draftNeeded reports whether the page may have to change. It is cheap: it does
// not compute the servers' loads.
func (m *Machine) draftNeeded() bool {
	if m.page == nil || len(m.page.Ranges) == 0 || !m.adopted || m.fencesLow() || m.page.Era < m.era || m.fleetOutgrown() || m.now >= m.nextRebalanceAt || !slices.Equal(m.page.Predecessors, m.predecessors.active) {
		return true
	}
	if slices.ContainsFunc(m.page.Unfenced, m.fenced) {
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

// pageBuilder builds one draft of the next page.
type pageBuilder struct {
	*Machine
	page    *Page
	loads   *loadTable
	fence   uint64 // Fence of this draft's changes; zero before the first.
	changed bool
}

// newFence returns the fence of this draft's changes, which is above all others.
func (b *pageBuilder) newFence() uint64 {
	if b.fence == 0 {
		b.lastFence = max(b.lastFence+1, firstFence(b.era))
		b.fence = b.lastFence
	}
	b.changed = true
	return b.fence
}

// create divides all keys among the servers if there is no page yet.
func (b *pageBuilder) create() {
	if len(b.page.Ranges) > 0 || b.firstServerAt == 0 || b.now < b.firstServerAt+discoveryTime {
		return
	}
	usable := b.loads.usable()
	if len(usable) == 0 {
		return
	}
	total := 0.0
	for _, row := range usable {
		total += row.capacity
	}
	next, accumulated := 0, 0.0
	for at, row := range usable {
		accumulated += row.capacity
		end := int(accumulated / total * model.Keys)
		if at == len(usable)-1 {
			end = model.Keys
		}
		if end <= next {
			continue
		}
		b.page.Ranges = append(b.page.Ranges, Range{From: uint16(next), To: uint16(end - 1), Owner: b.holder(row)})
		next = end
	}
	b.Machine.adopted = true
}

// holder returns a server as the new owner of keys.
func (b *pageBuilder) holder(row *serverRow) Holder {
	return Holder{Incarnation: row.Incarnation(), Address: row.Address, Fence: b.newFence()}
}

// adopt gives every range a new fence once after taking over.
func (b *pageBuilder) adopt() {
	if b.adopted || len(b.page.Ranges) == 0 {
		return
	}
	fence := b.newFence()
	for at := range b.page.Ranges {
		b.page.Ranges[at].Owner.Fence = fence
	}
}

// recordPredecessors lists in the page the earlier leaders that may still grant
// keys, for the next leader.
func (b *pageBuilder) recordPredecessors() {
	if !slices.Equal(b.page.Predecessors, b.predecessors.active) {
		b.page.Predecessors = slices.Clone(b.predecessors.active)
		b.changed = true
	}
}

// ttlPerRange is the TTL that each range adds, so that the rate of renewals does
// not grow with the number of ranges.
const ttlPerRange = 8 * time.Millisecond

// extendTTL lengthens the TTL of grants if there are many ranges. It never
// shortens it: grants with the longer TTL may still be valid.
func (b *pageBuilder) extendTTL() {
	wanted := min(time.Duration(len(b.page.Ranges))*ttlPerRange, b.options.MaxGrantTTL).Truncate(ttlPerRange)
	if wanted > max(b.page.MaxGrantTTL, b.options.GrantTTL)*5/4 {
		b.page.MaxGrantTTL = wanted
		b.changed = true
	}
}

// dropEndedPrior drops prior holders that can't hold their keys any more.
func (b *pageBuilder) dropEndedPrior() {
	if b.Machine.page == nil {
		return
	}
	for at := range b.page.Ranges {
		r := &b.page.Ranges[at]
		if len(r.Prior) == 0 {
			continue
		}
		if _, ended := b.mayGrant(*r); ended {
			b.recordUnfenced(*r)
			r.Prior = nil
			b.changed = true
		}
	}
}

// reassignLost gives the keys of servers that are draining, gone or unreachable
// to other servers.
func (b *pageBuilder) reassignLost() {
	ranges := b.page.Ranges
	b.page.Ranges = nil
	for at, r := range ranges {
		if !b.mustMove(r) {
			b.page.Ranges = append(b.page.Ranges, r)
			continue
		}
		if later := b.laterLife(r.Owner); later != nil {
			b.page.Ranges = append(b.page.Ranges, b.passOn(r, later))
			continue
		}
		room := b.maxRanges() - len(b.page.Ranges) - len(ranges[at:])
		b.page.Ranges = append(b.page.Ranges, b.spread(r, room)...)
	}
}

// laterLife returns the row of a listed server that runs under a holder's ID at the holder's
// address in its place and may own keys, or nil.
func (b *pageBuilder) laterLife(holder Holder) *serverRow {
	successor := b.latestByAddress[holder.Address]
	if !successor.replaces(holder) || successor.ID != holder.ID || !slices.Contains(b.loads.usable(), successor) {
		return nil
	}
	return successor
}

// passOn gives a range to a later life of its owner. Lives at one address share a bound of
// their grants, so that the earlier one is no prior holder.
func (b *pageBuilder) passOn(r Range, later *serverRow) Range {
	b.loads.moveRate(r.Owner.Incarnation, later.Incarnation(), r)
	r.Owner = b.holder(later)
	return r
}

// mustMove reports whether the owner of a range is draining, gone or unreachable.
func (m *Machine) mustMove(r Range) bool {
	if r.Owner.ID == "" || m.replaced(r.Owner) {
		return true
	}
	row := m.row(r.Owner.Incarnation)
	if !row.listed {
		return m.absent(row)
	}
	return row.Draining || m.unreachable(row) || row.down()
}

// downAfter is how long calls to a server must be refused before its keys are
// reassigned. The new owner still gets them only after the old grant has expired.
const downAfter = 300 * time.Millisecond

// down reports whether a server's process seems to have ended: its address
// refused calls for some time, and it has not confirmed its ID since.
func (r *serverRow) down() bool {
	return r.refusedSince > 0 && r.lastRefusedAt >= r.refusedSince+downAfter && r.unconfirmed
}

// unreachable reports whether a listed server has answered no grant for so long
// that all those which it answered have expired, while most other servers do answer or
// no other VM reaches it either.
func (m *Machine) unreachable(row *serverRow) bool {
	if row.failingSince == 0 || m.now < row.failingSince+max(unreachableAfter, m.maxGrantLifetime()) {
		return false
	}
	return m.isolationRuledOut || !m.Isolated()
}

// Isolated reports whether more than half of the listed servers that were called
// do not answer. The fault is then more likely to be at this VM.
func (m *Machine) Isolated() bool {
	called, failing := 0, 0
	for _, row := range m.servers {
		if !row.listed || !row.grantSent {
			continue
		}
		called++
		if row.failingSince != 0 && m.now >= row.failingSince+unreachableAfter {
			failing++
		}
	}
	return called > 0 && 2*failing > called
}

// unreachableAfter is how long a server's calls must fail before it counts as
// unreachable.
const unreachableAfter = time.Second

// maxSpread is the greatest number of servers among which a lost range is divided.
const maxSpread = 4

// spread divides a range into parts of equal rate and gives them to the servers
// with the least load. room is how many ranges the page may gain. Without a server
// to take it, the range is returned unchanged.
func (b *pageBuilder) spread(r Range, room int) []Range {
	if len(b.loads.usable()) == 0 {
		return []Range{r}
	}
	parts := []Range{r}
	if len(r.Prior) == 0 && r.Size() > minSplitSize && room > 0 {
		parts = b.divide(r, min(maxSpread, room+1, len(b.loads.usable())))
	}
	moved := make([]Range, 0, len(parts))
	for _, part := range parts {
		target := b.loads.leastLoaded(b.Machine.servers[r.Owner.Incarnation])
		if target == nil {
			moved = append(moved, part)
			continue
		}
		moved = append(moved, b.move(r, part, target))
	}
	return moved
}

// maxRanges returns the greatest number of ranges of the page.
func (b *pageBuilder) maxRanges() int { return len(b.loads.rows) * rangesPerServer }

// move returns part, a part of the range old, with target as its owner.
func (b *pageBuilder) move(old, part Range, target *serverRow) Range {
	b.loads.moveRate(old.Owner.Incarnation, target.Incarnation(), part)
	prior := old.Owner
	prior.Fence = b.sentFence(old)
	if prior.ID != "" {
		part.Prior = append(part.Prior[:len(part.Prior):len(part.Prior)], prior)
		key := holderKey{part.From, part.To, prior.Incarnation, prior.Fence}
		b.bounds[key] = b.boundOf(old.Owner)
	}
	part.Owner = b.holder(target)
	return part
}

// minSplitSize is the number of keys up to which a range is not divided.
const minSplitSize = 4

// divide splits a range into parts of about equal rate.
func (b *pageBuilder) divide(r Range, count int) []Range {
	total := b.loads.rangeRate(r)
	var parts []Range
	rest := r
	for left := count; left > 1 && rest.Size() > minSplitSize; left-- {
		cut := b.loads.splitPoint(rest, total/float64(count))
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
