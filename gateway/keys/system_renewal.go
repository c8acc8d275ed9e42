package keys

import "time"

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
		if r.Owner.ID == "" || m.writing != nil && m.changing[r.From] {
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

// changedRanges returns the first keys of those ranges of page in which some key
// has another owner in next. They are not granted any more once the write of next
// has begun.
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
	if !m.reachesOwner(row) || m.replaced(r.Owner) {
		return
	}
	grant, known := row.granted[r.From]
	if !known || grant.fence != r.Owner.Fence || grant.to != r.To {
		grant = row.newGrant(r, handover)
	}
	if grant.inFlight || m.now < grant.due {
		return
	}
	grant.inFlight = true
	m.nextCallID++
	row.inFlight[m.nextCallID] = m.now
	grant.due = m.now + m.grantTTL()/renewalsPerTTL
	row.granted[r.From] = grant
	call := GrantCall{Incarnation: r.Owner.Incarnation, Address: r.Owner.Address, ID: m.nextCallID}
	call.From, call.To, call.Fence = r.From, r.To, r.Owner.Fence
	call.TTL, call.Handover = m.grantTTL(), grant.handover
	m.calls++
	m.ready.Grants = append(m.ready.Grants, call)
}

// newGrant returns the state of a range that was not granted with these bounds and
// this fence before. A part of a granted range stays valid until that grant expires
// and is renewed when that grant was due: a server with a long queue is slow to
// answer a call on a new connection.
func (r *serverRow) newGrant(part Range, handover string) grantRow {
	for from, grant := range r.granted {
		if from <= part.From && grant.to >= part.To && grant.fence == part.Owner.Fence && grant.accepted {
			grant.to, grant.inFlight = part.To, false
			return grant
		}
	}
	return grantRow{fence: part.Owner.Fence, to: part.To, handover: handover}
}

// reachesOwner reports whether a call to a server's address reaches that server
// and no later one. The server must be confirmed and either be listed or have
// accepted a grant of this leader and be missing from the list only briefly.
func (m *Machine) reachesOwner(row *serverRow) bool {
	return !row.unconfirmed && (row.listed || row.acceptedGrant && !m.absent(row))
}

// absent reports whether a server is gone: it is not listed although it had time
// to return.
func (m *Machine) absent(row *serverRow) bool {
	return m.listed && !row.listed && m.now >= m.absenceCountsAt
}

// pruneInterval is the time between two removals of unused state.
const pruneInterval = 30 * time.Second

// runPrune removes state that the page does not refer to any more.
func (m *Machine) runPrune() {
	if m.page == nil || m.writing != nil || m.now < m.nextPruneAt {
		return
	}
	m.nextPruneAt = m.now + pruneInterval
	named := make(map[holderKey]bool)
	starts := make(map[uint16]bool)
	for _, r := range m.page.Ranges {
		starts[r.From] = true
		for _, prior := range r.Prior {
			named[holderKey{r.From, r.To, prior.Incarnation, prior.Fence}] = true
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
		for from, grant := range row.granted {
			if !starts[from] && !grant.inFlight {
				delete(row.granted, from)
			}
		}
		if !row.listed && len(row.granted) == 0 && len(row.inFlight) == 0 {
			delete(m.servers, incarnation)
		}
	}
}
