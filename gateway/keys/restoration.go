package keys

import (
	"slices"
	"time"

	"guavacrank.example/kvstore"
)

// The store may be restored from an earlier copy. It then returns an old page, and the
// grants by the pages that it has lost may still be valid. The leader of the new era
// therefore asks the VMs for the newest page that any of them knows. A leader that led
// before the restoration goes on renewing its grants meanwhile. If nobody can confirm
// that no later page existed, every server may hold any key until the grants by the lost
// pages have expired.

// Consultation is the response to Ready.Consult.
type Consultation struct {
	// Page is the newest page that any VM knows, or nil if none knows one.
	Page *Page
	// Confirmed says that no keys were granted by a later page than Page and the
	// stored one.
	Confirmed bool
	// Predecessors are leaders, besides those that the pages name, that may still send
	// grants.
	Predecessors []Leader
}

// settlement says whether the grants by pages that were lost with a restoration are
// known to have expired.
type settlement uint8

const (
	// settled means that no such grants may be valid.
	settled settlement = iota
	// unsettled means that such grants may be valid for the TTL of the newest page.
	unsettled
	// unsettledWithLongestTTL means that they may have any TTL, since no VM knows a
	// page of the time before the restoration.
	unsettledWithLongestTTL
)

// fenceBitsPerEra is the number of bits of a fence that count the changes within an era
// of the store. maxFenceEra keeps fences within the integers that a 64-bit floating-point
// number represents.
const (
	fenceBitsPerEra = 32
	maxFenceEra     = 1<<20 - 1
)

// firstFence returns a fence above all that leaders of earlier eras may have taken, also
// by pages that were lost.
func firstFence(era kvstore.Era) uint64 { return uint64(min(era, maxFenceEra)) << fenceBitsPerEra }

// continueInEra makes a leading machine the leader of a later era. It goes on renewing
// its grants by the page that it knows, and changes nothing until StepConsulted.
func (m *Machine) continueInEra(era kvstore.Era) {
	m.era, m.consulting, m.consulted = era, false, false
	m.pageKnown, m.reading, m.retryStoreAt = false, false, m.now
	m.writeUnknown = m.writing != nil
	m.predecessors.ended = make(map[string]bool) // They may have led again since.
}

// needsConsultation says whether a stored page may be older than pages by which keys were
// granted.
func (m *Machine) needsConsultation(stored *Page) bool {
	return !m.consulted && m.era > 0 && (stored == nil || stored.Era < m.era)
}

// consult asks for the newest page that any VM knows.
func (m *Machine) consult(stored *Page) {
	m.stored, m.consulting = stored, true
	m.ready.Consult = true
}

// StepConsulted takes the response to Ready.Consult.
func (m *Machine) StepConsulted(now time.Duration, c Consultation) {
	m.now = now
	if !m.leading || !m.consulting {
		return
	}
	written := m.writing
	m.writing, m.writeUnknown = nil, false
	m.consulting, m.consulted, m.pageKnown = false, true, true
	m.takeNewest(m.stored, written)
	m.takeNewest(c.Page, written)
	m.stored = nil
	if c.Confirmed {
		return
	}
	m.adopted = false
	m.leadingSince = now
	for _, leader := range c.Predecessors {
		m.predecessors.add(leader)
	}
	m.settlement, m.recordsLostGrants = unsettled, true
	if m.page == nil || c.Page == nil && m.page.Writer != m.options.Self {
		m.settlement = unsettledWithLongestTTL
	}
	// This machine may have sent grants until now.
	m.predecessors.endedBy = max(m.predecessors.endedBy, now+MaxCallDelay)
}

// takeNewest makes a page the current one if it is newer. written is a write of this
// machine whose outcome was unknown, or nil.
func (m *Machine) takeNewest(page, written *Page) {
	if page == nil || m.page != nil && !m.page.Stamp.Before(page.Stamp) {
		return
	}
	m.announceTTL(page)
	m.adopted = written != nil && page.sameWrite(written)
	m.takePage(page)
	if m.adopted {
		return
	}
	m.leadingSince = m.now
	m.passFences()
	m.addPredecessors(page)
}

// sameWrite says whether two pages come from the same write of the same leader.
func (p *Page) sameWrite(other *Page) bool {
	return p.Writer == other.Writer && p.WriteID == other.WriteID
}

// stampDraft gives the draft its place in the order of pages.
func (b *pageBuilder) stampDraft() {
	if b.page.Era < b.era {
		b.page.Era = b.era
		b.changed = b.changed || len(b.page.Ranges) > 0
	}
}

// recordUnknownHolders lists in every range that any server may hold its keys by a lost
// page.
func (b *pageBuilder) recordUnknownHolders() {
	if b.settlement == settled {
		return
	}
	for at := range b.page.Ranges {
		r := &b.page.Ranges[at]
		if !slices.Contains(r.Prior, unknownHolder) {
			r.Prior = append(r.Prior[:len(r.Prior):len(r.Prior)], unknownHolder)
			b.changed = true
		}
	}
	if b.settlement == unsettledWithLongestTTL {
		b.page.MaxGrantTTL = max(b.page.MaxGrantTTL, b.options.MaxGrantTTL)
	}
}

// unknownHoldersEnded reports whether all grants by lost pages have expired.
func (m *Machine) unknownHoldersEnded() bool {
	return m.now >= m.lostGrantsArrival()+m.maxGrantLifetime()
}

// hasUnknownHolders reports whether a range names an unknown holder.
func (p *Page) hasUnknownHolders() bool {
	return slices.ContainsFunc(p.Ranges, func(r Range) bool { return slices.Contains(r.Prior, unknownHolder) })
}
