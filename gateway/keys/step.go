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
		row := m.row(server.Life())
		if !row.listed && row.firstListedAt == 0 {
			row.firstListedAt = now
		}
		row.Server, row.listed = server, true
		if row.unconfirmed && row.identifiedAt != 0 && now >= row.identifiedAt+registrationDelay {
			row.unconfirmed, row.failingSince = false, 0
		}
	}
	m.indexServers()
	if len(servers) > 0 && m.firstServerAt == 0 {
		m.firstServerAt = now
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
		if latest := m.latestByID[row.ID]; latest == nil || latest.Born < row.Born {
			m.latestByID[row.ID] = row
		}
		if latest := m.latestByAddress[row.Address]; latest == nil || latest.Born < row.Born {
			m.latestByAddress[row.Address] = row
		}
	}
}

// row returns the row of a life, a new one if needed.
func (m *Machine) row(incarnation model.Life) *serverRow {
	row := m.servers[incarnation]
	if row == nil {
		row = &serverRow{granted: make(map[uint16]grantRow), inFlight: make(map[uint64]time.Duration)}
		row.ID, row.Born = incarnation.ID, incarnation.Born
		m.servers[incarnation] = row
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
	if m.writing != nil && !m.writeUnknown {
		return
	}
	written := m.writing
	m.writeUnknown, m.writing = false, nil
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
	m.addPredecessors(page)
}

// StepReadFailed says that the page could not be read.
func (m *Machine) StepReadFailed(now time.Duration) {
	m.now = now
	m.reading = false
	m.retryStoreAt = now + retryDelay
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
		m.writeUnknown, m.pageKnown = true, false
		m.retryStoreAt = now + retryDelay
	default:
		m.writing = nil
		m.retryStoreAt = now + retryDelay
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
func (m *Machine) StepGranted(now time.Duration, call GrantCall, outcome Outcome) {
	m.now = now
	row := m.row(call.Incarnation)
	row.grantSent = true
	if _, pending := row.inFlight[call.ID]; pending {
		m.calls--
	}
	delete(row.inFlight, call.ID)
	if outcome.sent() {
		row.latestArrival = max(row.latestArrival, arrival(now, outcome))
	}
	switch outcome {
	case Accepted:
		row.acceptedGrant = true
	case Disconnected, TimedOut:
		row.latestUnanswered = max(row.latestUnanswered, arrival(now, outcome))
	case Unreachable:
		row.markUnconfirmed(now)
	case NoListener:
		row.markUnconfirmed(now)
		row.noteRefused(now)
	}
	m.resolveBounds(call, outcome)
	m.resolveGrant(row, call, outcome == Accepted)
	switch {
	case !outcome.answered():
		if row.failingSince == 0 {
			row.failingSince = now
		}
		row.unresponsive = outcome == TimedOut || outcome == NotSent || outcome == Unreachable
		m.updateZone(row.Zone)
	default:
		row.failingSince, row.refusedSince, row.unresponsive = 0, 0, false
	}
	if outcome != FenceRefused || !m.leading {
		return
	}
	switch {
	case m.renewOnly:
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
func (r *serverRow) markUnconfirmed(now time.Duration) {
	r.unconfirmed, r.identifiedAt, r.nextProbeAt = true, 0, now+probeInterval
}

// refused notes that no process took a call at the server's address.
func (r *serverRow) noteRefused(now time.Duration) {
	if r.refusedSince == 0 {
		r.refusedSince = now
	}
	r.lastRefusedAt = now
}

// settleBounds takes the end of a call into the bounds of prior holders.
func (m *Machine) resolveBounds(call GrantCall, outcome Outcome) {
	for key, bound := range m.bounds {
		if _, pending := bound.pending[call.ID]; key.incarnation != call.Incarnation || !pending {
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

// settleGrant notes the end of a call in the granted range's row.
func (m *Machine) resolveGrant(row *serverRow, call GrantCall, accepted bool) {
	grant, held := row.granted[call.From]
	if !held {
		return
	}
	grant.inFlight = false
	switch {
	case !accepted:
		grant.due = m.now + retryDelay
	case grant.fence == call.Fence && grant.to == call.To:
		grant.answered = true
		grant.handover = ""
	}
	row.granted[call.From] = grant
}

// StepProbed takes the ID that the server at an address gave; empty if none
// came. noListener says that no process listens at the address.
func (m *Machine) StepProbed(now time.Duration, call ProbeCall, id string, noListener bool) {
	m.now = now
	row := m.row(call.Incarnation)
	row.probing = false
	switch {
	case noListener:
		row.noteRefused(now)
	case id == call.Incarnation.ID:
		row.refusedSince = 0
		if row.unconfirmed {
			row.identifiedAt = now
		}
	}
}

// StepReleased takes the end of a release call. noListener says that no process
// listens at the address.
func (m *Machine) StepReleased(now time.Duration, call ReleaseCall, answered bool, handover string, noListener bool) {
	m.now = now
	key := holderKey{call.From, call.To, call.Incarnation, call.Fence}
	if row := m.row(call.Incarnation); noListener {
		row.noteRefused(now)
	} else if answered {
		row.refusedSince = 0
	}
	delete(m.releasing, key)
	if !answered {
		m.retryReleaseAt[key] = now + retryDelay
		return
	}
	m.released[key] = releaseResult{done: true, handover: handover}
}

// StepRequests takes keys that requests asked for, and how servers answered.
func (m *Machine) StepRequests(now time.Duration, requested []uint16) {
	m.rates.add(now, requested)
}

// StepLatency takes how long a server took for some answers on average. Only
// answers of a server that is not busy tell how fast it works.
func (m *Machine) StepLatency(id string, answers int, mean time.Duration) {
	row := m.latestByID[id]
	if row == nil || row.utilization > maxSampledUtilization || answers == 0 {
		return
	}
	if row.latency == 0 {
		row.latency = mean.Seconds()
	}
	weight := 1 - math.Pow(1-latencyWeight, float64(answers))
	row.latency += weight * (mean.Seconds() - row.latency)
}
