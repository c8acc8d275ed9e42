package keys

import (
	"time"

	"guavacrank.example/gateway/port"
)

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
	m.lostGrants = m.lostGrants.See(m.now, page)
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
