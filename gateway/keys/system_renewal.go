package keys

import (
	"time"

	"guavacrank.example/gateway/model"
)

// runRenewals sends the first grant of each range and renews it in time.
func (m *Machine) runRenewals() {
	if m.page == nil || !m.adopted {
		return
	}
	count := len(m.page.Ranges)
	for at := range count {
		if m.calls >= maxCalls {
			m.nextRange = (m.nextRange + at) % count // The remaining ranges come first next time.
			return
		}
		r := m.page.Ranges[(m.nextRange+at)%count]
		if r.Owner.ID == "" || m.withheld(r) {
			continue
		}
		if handover, ok := m.mayGrant(r); ok {
			m.renew(r, handover)
		}
	}
}

// maxCalls bounds the grant calls in flight. With more, each would be answered
// late and retried.
const maxCalls = 150

// withheld reports whether a range is not granted because a page write that has begun gives
// keys of it to another owner. If the outcome of the write is unknown, which may last as long
// as an outage of the store, the last grant of the present owner is repeated all the same:
// the page would name it as that of a prior holder.
func (m *Machine) withheld(r Range) bool {
	if m.writing == nil || !m.changing[r.From] {
		return false
	}
	return !m.writeUnknown || !m.repeatable(r)
}

// repeatable reports whether the owner of a range accepted its last grant, which may be sent
// again.
func (m *Machine) repeatable(r Range) bool {
	grant := m.row(r.Owner.Incarnation).granted[r.From]
	return grant.term == r.Owner.Fence && grant.to == r.To && grant.accepted && !grant.spent
}

// changedRanges returns the first keys of those ranges of page in which some key
// has another owner in next.
func changedRanges(page, next *Page) map[uint16]bool {
	changed := make(map[uint16]bool)
	if page == nil {
		return changed
	}
	at := 0
	for _, r := range page.Ranges {
		for at < len(next.Ranges) && next.Ranges[at].To < r.From {
			at++
		}
		for i := at; i < len(next.Ranges) && next.Ranges[i].From <= r.To; i++ {
			if next.Ranges[i].Owner != r.Owner {
				changed[r.From] = true
				break
			}
		}
	}
	return changed
}

func (m *Machine) renew(r Range, handover string) {
	row := m.row(r.Owner.Incarnation)
	grant, known := row.granted[r.From]
	if !known || grant.term != r.Owner.Fence || grant.to != r.To {
		grant = grantRow{term: r.Owner.Fence, to: r.To, handover: handover}
	}
	if grant.inFlight || m.now < grant.due || !m.reachesOwner(row) || m.replaced(r.Owner) || m.fencingInFlight(r.Owner.endpoint()) {
		return
	}
	if !m.renewFence(&grant) {
		return
	}
	grant.inFlight = true
	grant.due = m.now + m.grantTTL()/renewalsPerTTL
	if m.releaseMayArrive(r) {
		grant.due = m.now + retryDelay
	}
	row.granted[r.From] = grant
	m.sendGrant(r, grant)
}

// sendGrant asks for a grant call.
func (m *Machine) sendGrant(r Range, grant grantRow) {
	m.nextCallID++
	call := GrantCall{Incarnation: r.Owner.Incarnation, Address: r.Owner.Address, ID: m.nextCallID, First: !grant.accepted}
	call.Server, call.Connection = r.Owner.ID, grant.connection
	call.From, call.To, call.Fence = r.From, r.To, grant.fence
	call.TTL, call.Handover = m.grantTTL(), grant.handover
	m.endpointOf(call.Incarnation.ID, call.Address).inFlight[call.ID] = m.now
	m.calls++
	m.ready.Grants = append(m.ready.Grants, call)
}

// reachesOwner reports whether calls to a server's address are expected to reach it. The
// server must be confirmed and either be listed or have accepted a grant of this leader and
// be missing from the list only briefly.
func (m *Machine) reachesOwner(row *serverRow) bool {
	return !row.unconfirmed && (row.listed || row.acceptedGrant && !m.absent(row))
}

// absent reports whether a server is gone: it is not listed although it had time
// to return.
func (m *Machine) absent(row *serverRow) bool {
	return m.listed && !row.listed && m.now >= m.absenceCountsAt
}

// pruneInterval is the time between two removals of unused state. It is longer than any
// grant is valid.
const pruneInterval = 30 * time.Second

// runPrune removes state that the page does not refer to any more.
func (m *Machine) runPrune() {
	if m.page == nil || m.writing != nil || m.now < m.nextPruneAt {
		return
	}
	m.nextPruneAt = m.now + pruneInterval
	named := make(map[holderKey]bool)
	holders := make(map[model.Incarnation]bool)
	for _, r := range m.page.Ranges {
		for _, prior := range r.Prior {
			named[holderKey{r.From, r.To, prior.Incarnation, prior.Fence}] = true
			holders[prior.Incarnation] = true
		}
	}
	for key := range m.released {
		if !named[key] {
			delete(m.released, key)
		}
	}
	for key := range m.bounds {
		if !named[key] {
			delete(m.bounds, key)
		}
	}
	for key := range m.retryReleaseAt {
		if !named[key] {
			delete(m.retryReleaseAt, key)
		}
	}
	for incarnation, row := range m.servers {
		if !row.listed && len(row.granted) == 0 && !holders[incarnation] {
			delete(m.servers, incarnation)
		}
	}
	for to, sent := range m.sentReleases {
		m.sentReleases.set(to, sent, m.now)
	}
	for key, row := range m.endpoints {
		if len(row.inFlight) == 0 && m.now >= row.latestArrival+pruneInterval {
			delete(m.endpoints, key)
		}
	}
}
