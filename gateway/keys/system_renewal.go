package keys

import "time"

// runRenewals grants ranges to their owners and renews the grants in time.
func (m *Machine) runRenewals() {
	if m.page == nil || !m.adopted {
		return
	}
	count := len(m.page.Ranges)
	for at := range count {
		if m.calls >= mostCalls {
			m.nextRange = (m.nextRange + at) % count // The others come first next time.
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

// mostCalls is the number of grant calls under way at most: more would each be
// answered late, and tried again.
const mostCalls = 150

// changedRanges returns the first keys of the ranges of one page of whose keys
// some have another owner in the next page: they are not granted any more once
// the next page is being written.
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
	row := m.row(r.Owner.Life)
	if !m.reachesOwner(row) || m.replacedLife(r.Owner) {
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
	m.nextCall++
	row.inFlight[m.nextCall] = m.now
	grant.due = m.now + m.hold()/renewShare
	row.granted[r.From] = grant
	order := GrantCall{Life: r.Owner.Life, Address: r.Owner.Address, ID: m.nextCall}
	order.From, order.To, order.Fence = r.From, r.To, r.Owner.Fence
	order.Hold, order.Handover = m.hold(), grant.handover
	m.calls++
	m.ready.Grants = append(m.ready.Grants, order)
}

// newGrant returns the state of a range that was not granted as it is now. A part
// of a granted range is held until that grant runs out, and renewed when that
// was due: a server with a long queue answers a call on a new connection late.
func (r *serverRow) newGrant(part Range, handover string) grantRow {
	for from, grant := range r.granted {
		if from <= part.From && grant.to >= part.To && grant.fence == part.Owner.Fence && grant.answered {
			grant.to, grant.inFlight = part.To, false
			return grant
		}
	}
	return grantRow{fence: part.Owner.Fence, to: part.To, handover: handover}
}

// reachesOwner says whether a grant sent to a server's address reaches that
// server and no later one: it is listed and sure, or it was there since leading
// began and may only be missing from the list for a moment.
func (m *Machine) reachesOwner(row *serverRow) bool {
	return !row.unsure && (row.listed || row.took && !m.absent(row))
}

// absent says whether a server is gone: it is not listed although it had time
// to return.
func (m *Machine) absent(row *serverRow) bool {
	return m.listed && !row.listed && m.now >= m.trustAbsent
}

// forgetAfter is how long the bounds and ends of prior holders are kept.
const forgetAfter = 30 * time.Second

// runForget drops what no page names any more.
func (m *Machine) runForget() {
	if m.page == nil || m.writing != nil || m.now < m.forgetAt {
		return
	}
	m.forgetAt = m.now + forgetAfter
	named := make(map[endKey]bool)
	starts := make(map[uint16]bool)
	for _, r := range m.page.Ranges {
		starts[r.From] = true
		for _, prior := range r.Prior {
			named[endKey{r.From, r.To, prior.Life, prior.Fence}] = true
		}
	}
	for key := range m.ended {
		if !named[key] {
			delete(m.ended, key)
		}
	}
	for key := range m.bounds {
		if !named[key] {
			delete(m.bounds, key)
		}
	}
	for key := range m.retryAt {
		if !named[key] {
			delete(m.retryAt, key)
		}
	}
	for life, row := range m.servers {
		for from, grant := range row.granted {
			if !starts[from] && !grant.inFlight {
				delete(row.granted, from)
			}
		}
		if !row.listed && len(row.granted) == 0 && len(row.inFlight) == 0 {
			delete(m.servers, life)
		}
	}
}
