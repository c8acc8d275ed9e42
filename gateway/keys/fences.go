package keys

import (
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
)

// A call goes to an address. Between two calls the server's process may end and another
// one start there, even under the same ID and before the list shows it. What ends with the
// process is its connections. So a fence is sent for a key on one connection only: after
// the end of the connection the key is granted with a higher fence, on another one. The
// page reserves the fences, so that this needs no write.

// fenceReserve is the number of fences that a page reserves beyond those taken.
const fenceReserve = 1 << 16

// takeFence returns a fence above all that were ever sent, or false if none is reserved.
func (m *Machine) takeFence() (uint64, bool) {
	if m.page == nil || m.lastFence >= m.page.Fence {
		return 0, false
	}
	m.lastFence++
	return m.lastFence, true
}

// passFences takes no fence that an earlier leader may have taken by the page.
func (m *Machine) passFences() {
	if !m.adopted && m.page != nil {
		m.lastFence = max(m.lastFence, m.page.Fence)
	}
}

// fencesLow reports whether the page has to reserve more fences.
func (m *Machine) fencesLow() bool { return m.page.Fence < m.lastFence+fenceReserve/2 }

// reserveFences extends the fences that the draft reserves.
func (b *pageBuilder) reserveFences() {
	if b.changed || b.Machine.page != nil && b.fencesLow() {
		b.page.Fence = max(b.page.Fence, b.lastFence+fenceReserve)
		b.changed = true
	}
}

// sentFence returns the fence with which the owner of a range was granted it last.
func (m *Machine) sentFence(r Range) uint64 {
	row := m.servers[r.Owner.Incarnation]
	if row == nil {
		return r.Owner.Fence
	}
	grant, _ := row.grantOf(r)
	return max(grant.fence, r.Owner.Fence)
}

// grantRow is the state of one granted range.
type grantRow struct {
	term     uint64 // The owner's fence in the page.
	to       uint16
	due      time.Duration // When to send the next grant.
	inFlight bool
	// fence is that of the last grant, which may be sent again on connection only. Zero
	// means that no grant was sent.
	fence      uint64
	connection port.Connection
	// spent reports that the fence can't be sent any more.
	spent bool
	// accepted reports that the server accepted a grant with this fence.
	accepted bool
	handover string
}

// end records the end of a call that sent the grant.
func (g *grantRow) end(now time.Duration, outcome Outcome, connection port.Connection) {
	g.inFlight = false
	switch {
	case outcome == Accepted:
		g.accepted, g.connection, g.handover = true, connection, ""
	case outcome == ConnectionEnded:
		g.spent, g.due = true, now
	default:
		g.spent = g.spent || outcome.sent() || outcome == OtherServer
		g.due = now + retryDelay
	}
}

// renewFence gives the grant a fence that may be sent, or returns false if there is none.
func (m *Machine) renewFence(g *grantRow) bool {
	if g.fence != 0 && !g.spent {
		return true
	}
	fence, reserved := m.takeFence()
	if !reserved {
		return false
	}
	g.fence, g.connection, g.spent, g.accepted = fence, 0, false, false
	return true
}

// grantOf returns the grant of a range, or of the range that it is a part of.
func (r *serverRow) grantOf(part Range) (grantRow, bool) {
	for from, grant := range r.granted {
		if from <= part.From && grant.to >= part.To && grant.term == part.Owner.Fence {
			return grant, true
		}
	}
	return grantRow{}, false
}

// setPage replaces the page. A part of a granted range stays granted with it; the state of
// ranges that the page does not have is dropped, so that the rows of a server never overlap.
func (m *Machine) setPage(page *Page) {
	m.page = page
	granted := make(map[*serverRow]map[uint16]grantRow, len(m.servers))
	for _, r := range page.Ranges {
		row := m.servers[r.Owner.Incarnation]
		if row == nil {
			continue
		}
		grant, known := row.grantOf(r)
		if !known {
			continue
		}
		if granted[row] == nil {
			granted[row] = make(map[uint16]grantRow)
		}
		grant.to = r.To
		granted[row][r.From] = grant
	}
	for _, row := range m.servers {
		row.granted = granted[row]
		if row.granted == nil {
			row.granted = make(map[uint16]grantRow)
		}
	}
}

// endpoint is an ID at an address. Its calls reach one of the server's lives under that ID.
type endpoint struct{ id, address string }

// endpointRow bounds the arrival of the calls to an endpoint: lives of a server can't be
// told apart there.
type endpointRow struct {
	// latestArrival bounds the arrival of the last grant: the end of the last
	// call that was sent.
	latestArrival time.Duration
	// latestUnanswered is the same for unanswered calls.
	latestUnanswered time.Duration
	inFlight         map[uint64]time.Duration // Start times of calls in flight, by call ID.
}

// endpointOf returns the row of an endpoint, adding one if needed.
func (m *Machine) endpointOf(server model.Incarnation, address string) *endpointRow {
	key := endpoint{server.ID, address}
	row := m.endpoints[key]
	if row == nil {
		row = &endpointRow{inFlight: make(map[uint64]time.Duration)}
		m.endpoints[key] = row
	}
	return row
}
