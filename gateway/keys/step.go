package keys

import (
	"math"
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// StepServers takes the list of servers of the service. fresh says that the
// store answered without an interruption before.
func (m *Machine) StepServers(now time.Duration, servers []model.Server, uninterrupted bool) {
	m.now = now
	if !uninterrupted {
		m.trustAbsent = now + returnTime
	}
	if !m.listed {
		m.trustAbsent = max(m.trustAbsent, now+returnTime)
	}
	m.listed = true
	for _, row := range m.servers {
		row.listed = false
	}
	for _, server := range servers {
		row := m.row(server.Life())
		if !row.listed && row.seenAt == 0 {
			row.seenAt = now
		}
		row.Server, row.listed = server, true
		if row.unsure && row.namedAt != 0 && now >= row.namedAt+recordTime {
			row.unsure, row.failingSince = false, 0
		}
	}
	m.indexServers()
	if len(servers) > 0 && m.firstSeen == 0 {
		m.firstSeen = now
	}
}

// indexServers finds the listed server that started last for each ID and each
// address.
func (m *Machine) indexServers() {
	m.latestByID = make(map[string]*serverRow, len(m.servers))
	m.latestByAddress = make(map[string]*serverRow, len(m.servers))
	for _, row := range m.servers {
		if !row.listed {
			continue
		}
		if held := m.latestByID[row.ID]; held == nil || held.Born < row.Born {
			m.latestByID[row.ID] = row
		}
		if held := m.latestByAddress[row.Address]; held == nil || held.Born < row.Born {
			m.latestByAddress[row.Address] = row
		}
	}
}

// row returns the row of a life, a new one if needed.
func (m *Machine) row(life model.Life) *serverRow {
	row := m.servers[life]
	if row == nil {
		row = &serverRow{granted: make(map[uint16]grantRow), inFlight: make(map[uint64]time.Duration)}
		row.ID, row.Born = life.ID, life.Born
		m.servers[life] = row
	}
	return row
}

// StepRead takes the stored page; nil says that there is none.
func (m *Machine) StepRead(now time.Duration, page *Page, version kvstore.Version) {
	m.now = now
	m.reading = false
	if !m.leading {
		return
	}
	if m.writing != nil && !m.unsettled {
		return
	}
	written := m.writing
	m.unsettled, m.writing = false, nil
	m.pageKnown, m.version = true, version
	if page == nil {
		m.page = nil
		return
	}
	if written != nil && page.WriteID == written.WriteID && page.Writer == written.Writer {
		m.page = page
		m.adopted = true
		return
	}
	if m.page == nil || page.Writer != m.options.Self {
		m.adopted = m.adopted && page.Writer == m.options.Self
	}
	m.page = page
	m.takePredecessors(page)
}

// StepReadFailed says that the page could not be read.
func (m *Machine) StepReadFailed(now time.Duration) {
	m.now = now
	m.reading = false
	m.retryWrite = now + retryAfter
}

// StepWritten takes the outcome of a write.
func (m *Machine) StepWritten(now time.Duration, version kvstore.Version, err error) {
	m.now = now
	if m.writing == nil || !m.leading {
		return
	}
	switch {
	case err == nil:
		m.page, m.version = m.writing, version
		m.writing, m.adopted = nil, true
	case kvstore.IsKind(err, kvstore.KindConflict):
		m.writing, m.pageKnown = nil, false
	case kvstore.IsUnknown(err):
		m.unsettled, m.pageKnown = true, false
		m.retryWrite = now + retryAfter
	default:
		m.writing = nil
		m.retryWrite = now + retryAfter
	}
}

// Outcome is how a grant call ended.
type Outcome uint8

// Outcomes of a grant call.
const (
	// Disconnected: the connection ended without an answer. The grant may be
	// applied, late.
	Disconnected Outcome = iota
	// TimedOut: no answer came in time. The grant may be on its way and be applied,
	// late.
	TimedOut
	// Accepted grants hold.
	Accepted
	// FenceRefused: the server has seen a higher fence.
	FenceRefused
	// NotSent: no connection carried it.
	NotSent
	// Unreachable: it was not sent, since no connection could be made.
	Unreachable
	// NoListener: it was not sent, since no process listens at the address.
	NoListener
)

// sent says whether the server may have seen the grant.
func (o Outcome) sent() bool { return o != NotSent && o != Unreachable && o != NoListener }

// answered says whether the server answered.
func (o Outcome) answered() bool { return o == Accepted || o == FenceRefused }

// StepGranted takes the end of a grant call.
func (m *Machine) StepGranted(now time.Duration, order GrantCall, outcome Outcome) {
	m.now = now
	row := m.row(order.Life)
	row.everSent = true
	if _, under := row.inFlight[order.ID]; under {
		m.calls--
	}
	delete(row.inFlight, order.ID)
	if outcome.sent() {
		row.arrivedBy = max(row.arrivedBy, arrival(now, outcome))
	}
	switch outcome {
	case Accepted:
		row.took = true
	case Disconnected, TimedOut:
		row.unansweredBy = max(row.unansweredBy, arrival(now, outcome))
	case Unreachable:
		row.doubt(now)
	case NoListener:
		row.doubt(now)
		row.refused(now)
	}
	m.settleBounds(order, outcome)
	m.settleGrant(row, order, outcome == Accepted)
	switch {
	case !outcome.answered():
		if row.failingSince == 0 {
			row.failingSince = now
		}
		row.mute = outcome == TimedOut || outcome == NotSent || outcome == Unreachable
		m.noteZone(row.Zone)
	default:
		row.failingSince, row.refusedAt, row.mute = 0, 0, false
	}
	if outcome != FenceRefused || !m.leading {
		return
	}
	switch {
	case m.extended:
		m.leading = false // Another leader acts, and the store can't be asked.
	case m.writing == nil:
		m.pageKnown = false // Another leader may have written: look.
	}
}

// arrival is the latest time at which a call that has ended now may arrive.
func arrival(now time.Duration, outcome Outcome) time.Duration {
	if outcome == TimedOut {
		return now + transitTime
	}
	return now
}

// doubt notes that another process may run at the server's address by now.
func (r *serverRow) doubt(now time.Duration) {
	r.unsure, r.namedAt, r.probeAt = true, 0, now+probeEvery
}

// refused notes that no process took a call at the server's address.
func (r *serverRow) refused(now time.Duration) {
	if r.refusedAt == 0 {
		r.refusedAt = now
	}
	r.refusedLast = now
}

// settleBounds takes the end of a call into the bounds of prior holders.
func (m *Machine) settleBounds(order GrantCall, outcome Outcome) {
	for key, bound := range m.bounds {
		if _, under := bound.pending[order.ID]; key.life != order.Life || !under {
			continue
		}
		delete(bound.pending, order.ID)
		if outcome.sent() {
			bound.arrivedBy = max(bound.arrivedBy, arrival(m.now, outcome))
		}
		if !outcome.answered() && outcome.sent() {
			bound.lateBy = max(bound.lateBy, arrival(m.now, outcome))
		}
		m.bounds[key] = bound
	}
}

// settleGrant notes the end of a call in the granted range's row.
func (m *Machine) settleGrant(row *serverRow, order GrantCall, taken bool) {
	grant, held := row.granted[order.From]
	if !held {
		return
	}
	grant.inFlight = false
	switch {
	case !taken:
		grant.due = m.now + retryAfter
	case grant.fence == order.Fence && grant.to == order.To:
		grant.answered = true
		grant.handover = ""
	}
	row.granted[order.From] = grant
}

// StepProbed takes the ID that the server at an address gave; empty if none
// came. noListener says that no process listens at the address.
func (m *Machine) StepProbed(now time.Duration, order ProbeCall, id string, noListener bool) {
	m.now = now
	row := m.row(order.Life)
	row.probing = false
	switch {
	case noListener:
		row.refused(now)
	case id == order.Life.ID:
		row.refusedAt = 0
		if row.unsure {
			row.namedAt = now
		}
	}
}

// StepReleased takes the end of a release call. noListener says that no process
// listens at the address.
func (m *Machine) StepReleased(now time.Duration, order ReleaseCall, answered bool, handover string, noListener bool) {
	m.now = now
	key := endKey{order.From, order.To, order.Life, order.Fence}
	if row := m.row(order.Life); noListener {
		row.refused(now)
	} else if answered {
		row.refusedAt = 0
	}
	delete(m.releases, key)
	if !answered {
		m.retryAt[key] = now + retryAfter
		return
	}
	m.ended[key] = ending{released: true, handover: handover}
}

// StepHeat takes keys that requests asked for, and how servers answered.
func (m *Machine) StepHeat(now time.Duration, asked []uint16) {
	m.heat.add(now, asked)
}

// StepLatency takes how long a server took for some answers on average. Only
// answers of a server that is not busy tell how fast it works.
func (m *Machine) StepLatency(id string, answers int, mean time.Duration) {
	row := m.latestByID[id]
	if row == nil || row.busy > calmBusy || answers == 0 {
		return
	}
	if row.latency == 0 {
		row.latency = mean.Seconds()
	}
	weight := 1 - math.Pow(1-latencyWeight, float64(answers))
	row.latency += weight * (mean.Seconds() - row.latency)
}
