package keys

import (
	"time"

	"guavacrank.example/gateway/capacity"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// StepServers takes the listed servers of the service. uninterrupted reports
// whether the store has answered without interruption since the previous list.
func (m *Machine) StepServers(now time.Duration, servers []model.Server, uninterrupted bool) {
	m.now = now
	if !uninterrupted {
		m.absenceCountsAt = now + absenceGrace
	}
	if !m.listed {
		m.absenceCountsAt = max(m.absenceCountsAt, now+absenceGrace)
	}
	m.listed = true
	for _, row := range m.servers {
		row.listed = false
	}
	for _, server := range servers {
		row := m.row(server.Incarnation())
		row.Server, row.listed = server, true
	}
	m.indexServers()
	if len(servers) > 0 && m.firstServerAt == 0 {
		m.firstServerAt = now
	}
}

// indexServers finds the listed server that started last for each ID and for each
// address.
func (m *Machine) indexServers() {
	m.latestByID = make(map[string]*serverRow, len(m.servers))
	m.latestByAddress = make(map[string]*serverRow, len(m.servers))
	for _, row := range m.servers {
		if !row.listed {
			continue
		}
		if latest := m.latestByID[row.ID]; latest == nil || latest.Born < row.Born {
			m.latestByID[row.ID] = row
		}
		if latest := m.latestByAddress[row.Address]; latest == nil || latest.Born < row.Born {
			m.latestByAddress[row.Address] = row
		}
	}
}

// row returns the row of an incarnation, adding one if needed.
func (m *Machine) row(incarnation model.Incarnation) *serverRow {
	row := m.servers[incarnation]
	if row == nil {
		row = &serverRow{granted: make(map[uint16]grantRow)}
		row.ID, row.Born = incarnation.ID, incarnation.Born
		m.servers[incarnation] = row
	}
	return row
}

// StepRead takes the stored page, or nil if there is none, and the position at which it
// was written, as read in the era of the position.
func (m *Machine) StepRead(now time.Duration, page *Page, position kvstore.Position) {
	m.now = now
	m.reading = false
	if !m.leading || position.Era != m.era {
		return
	}
	if m.writing != nil && !m.writeUnknown {
		return
	}
	m.version = position.Version
	if m.needsConsultation(page) {
		m.consult(page)
		return
	}
	written := m.writing
	m.writeUnknown, m.writing = false, nil
	m.pageKnown = true
	switch {
	case m.consulted && (page == nil || page.Era < m.era):
		m.takeNewest(page, written) // The VMs know newer pages than the store.
	case page == nil:
		m.page = nil
	case written != nil && page.sameWrite(written):
		m.takePage(page)
		m.adopted = true
	default:
		m.adopted = m.adopted && page.Writer == m.options.Self
		m.takePage(page)
		m.addPredecessors(page)
	}
	m.passFences()
}

// StepReadFailed takes a failure to read the page.
func (m *Machine) StepReadFailed(now time.Duration) {
	m.now = now
	m.reading = false
	m.retryStoreAt = now + retryDelay
}

// StepWritten takes the outcome of the write with an ID.
func (m *Machine) StepWritten(now time.Duration, writeID uint64, position kvstore.Position, err error) {
	m.now = now
	if !m.leading || m.writing == nil || m.writing.WriteID != writeID || m.writeUnknown {
		return
	}
	switch {
	case err == nil && position.Era != m.era:
		m.writeUnknown, m.pageKnown = true, false // The store was restored meanwhile.
	case err == nil:
		m.announceTTL(m.writing)
		m.setPage(m.writing)
		m.version = position.Version
		m.writing, m.adopted = nil, true
		if len(m.page.Ranges) > 0 {
			m.settlement = settled // The page names the unknown holders.
		}
	case kvstore.IsKind(err, kvstore.KindConflict):
		m.writing, m.pageKnown = nil, false
	case kvstore.IsUnknown(err):
		m.writeUnknown, m.pageKnown = true, false
		m.retryStoreAt = now + retryDelay
	default:
		m.writing = nil
		m.retryStoreAt = now + retryDelay
	}
}

// Outcome is the result of a grant call.
type Outcome uint8

// Outcomes of a grant call.
const (
	// Disconnected means that the connection ended without a response. The grant
	// may still be applied later.
	Disconnected Outcome = iota
	// TimedOut means that no response came in time. The grant may still be in
	// transit and be applied later.
	TimedOut
	// Accepted means that the server accepted the grant.
	Accepted
	// FenceRefused means that the server has seen a higher fence.
	FenceRefused
	// NotSent means that the call was never written to a connection.
	NotSent
	// Unreachable means that it was not sent because connecting failed.
	Unreachable
	// NoListener means that it was not sent because no process listens at the
	// address.
	NoListener
	// ConnectionEnded means that it was not sent because its connection has ended.
	ConnectionEnded
	// OtherServer means that another server runs at the address and refused it.
	OtherServer
)

// sent reports whether the called server may have received the grant.
func (o Outcome) sent() bool {
	switch o {
	case NotSent, Unreachable, NoListener, ConnectionEnded, OtherServer:
		return false
	}
	return true
}

// answered reports whether the server answered.
func (o Outcome) answered() bool { return o == Accepted || o == FenceRefused }

// StepGranted takes the outcome of a grant call and the connection on which it was sent.
func (m *Machine) StepGranted(now time.Duration, call GrantCall, outcome Outcome, connection port.Connection) {
	m.now = now
	row := m.row(call.Incarnation)
	row.grantSent = true
	m.endCall(m.endpointOf(call.Incarnation.ID, call.Address), call, outcome)
	m.resolveBounds(call, outcome)
	current := m.resolveGrant(row, call, outcome, connection)
	switch outcome {
	case Accepted:
		row.acceptedGrant = true
	case Unreachable:
		row.markUnconfirmed(now)
	case NoListener, OtherServer:
		row.markUnconfirmed(now)
		row.noteRefused(now)
	}
	m.noteResponse(row, outcome)
	if outcome != FenceRefused || !current || !m.leading {
		return
	}
	switch {
	case m.renewOnly:
		m.adopted, m.pageKnown = false, false // Another leader is active: read the page before anything else.
	case m.writing == nil:
		m.pageKnown = false // Another leader may have written the page: read it.
	}
}

// endCall records the end of a call to an endpoint.
func (m *Machine) endCall(row *endpointRow, call GrantCall, outcome Outcome) {
	if _, pending := row.inFlight[call.ID]; pending {
		m.calls--
	}
	delete(row.inFlight, call.ID)
	if !outcome.sent() {
		return
	}
	row.latestArrival = max(row.latestArrival, arrival(m.now, outcome))
	if !outcome.answered() {
		row.latestUnanswered = max(row.latestUnanswered, arrival(m.now, outcome))
	}
}

// noteResponse records whether the server answered a call. The end of a connection between
// two calls says nothing about it.
func (m *Machine) noteResponse(row *serverRow, outcome Outcome) {
	switch {
	case outcome == ConnectionEnded:
	case outcome.answered():
		row.failingSince, row.refusedSince, row.unresponsive = 0, 0, false
	default:
		if row.failingSince == 0 {
			row.failingSince = m.now
		}
		row.unresponsive = outcome == TimedOut || outcome == NotSent || outcome == Unreachable
		m.updateZone(row.Zone)
	}
}

// arrival returns the latest time at which a call that ended now may arrive.
func arrival(now time.Duration, outcome Outcome) time.Duration {
	if outcome == TimedOut {
		return now + transitTime
	}
	return now
}

// markUnconfirmed records that the server may have ended.
func (r *serverRow) markUnconfirmed(now time.Duration) {
	r.unconfirmed, r.nextProbeAt = true, now+probeInterval
}

// noteRefused records that the server did not accept a call at its address: no process or
// another server did.
func (r *serverRow) noteRefused(now time.Duration) {
	if r.refusedSince == 0 {
		r.refusedSince = now
	}
	r.lastRefusedAt = now
}

// resolveBounds applies the end of a call to the bounds of prior holders.
func (m *Machine) resolveBounds(call GrantCall, outcome Outcome) {
	for key, bound := range m.bounds {
		if _, pending := bound.pending[call.ID]; !pending {
			continue
		}
		delete(bound.pending, call.ID)
		if outcome.sent() {
			bound.latestArrival = max(bound.latestArrival, arrival(m.now, outcome))
		}
		if !outcome.answered() && outcome.sent() {
			bound.latestUnanswered = max(bound.latestUnanswered, arrival(m.now, outcome))
		}
		m.bounds[key] = bound
	}
}

// resolveGrant records the end of a call in the rows of its range, or of its parts if it
// was divided meanwhile. It returns false if no range of the page is granted with the
// call's fence any more.
func (m *Machine) resolveGrant(row *serverRow, call GrantCall, outcome Outcome, connection port.Connection) (current bool) {
	for from, grant := range row.granted {
		if grant.fence == call.Fence && call.From <= from && grant.to <= call.To {
			grant.end(m.now, outcome, connection)
			row.granted[from] = grant
			current = true
		}
	}
	return current
}

// StepProbed takes the ID that the server at an address returned; empty without
// a response. noListener reports that no process listens at the address.
func (m *Machine) StepProbed(now time.Duration, call ProbeCall, id string, noListener bool) {
	m.now = now
	row := m.row(call.Incarnation)
	row.probing = false
	switch {
	case id == call.Incarnation.ID:
		row.unconfirmed, row.failingSince, row.refusedSince = false, 0, 0
	case noListener || id != "":
		row.noteRefused(now)
	}
}

// StepRequests takes the keys of recent requests.
func (m *Machine) StepRequests(now time.Duration, requested []uint16) {
	m.rates.add(now, requested)
}

// SetWarmUpRate sets the number of requests per second that a cold server takes from all
// VMs together, or zero for no limit. Keys that it may not serve move to other servers.
func (m *Machine) SetWarmUpRate(requestsPerSecond float64) { m.warmUpRate = requestsPerSecond }

// limitTTL is how long a server's limit counts after it was observed last.
const limitTTL = 10 * time.Second

// StepLimit takes the limit on requests per second that a server names for all VMs
// together, or that it names none. Keys that it may not serve move to other servers.
func (m *Machine) StepLimit(now time.Duration, server model.Incarnation, limited bool, requestsPerSecond float64) {
	row := m.servers[server]
	if row == nil {
		return
	}
	row.maxRate, row.limitedUntil = requestsPerSecond, 0
	if limited {
		row.limitedUntil = now + limitTTL
	}
}

// StepLatency takes the mean latency of some responses of a server.
func (m *Machine) StepLatency(id string, responses int, mean time.Duration) {
	row := m.latestByID[id]
	if row == nil || responses <= 0 || mean <= 0 {
		return
	}
	row.responses.add(m.now, float64(responses))
	rate := row.responses.value(m.now) / countPerRate
	row.service.add(capacity.UnqueuedTime(mean.Seconds(), rate, row.Slots), responses)
}
