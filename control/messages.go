package control

import "guavacrank.example/control/ownership"

// handleHandoverRequest records a request to take over a term.
func (m *Machine) handleHandoverRequest(from string, request *HandoverRequest) {
	s := m.service(request.Service)
	if s == nil || s.version == 0 {
		return
	}
	sv := s.server(request.Server)
	if sv == nil {
		return
	}
	entry := s.entry(sv)
	if entry == nil || entry.Grantor != from || entry.Term != request.Term {
		if entry == nil || entry.Term < request.Term {
			m.requestReadSince(s, m.now)
		}
		return
	}
	sv.handoverTerm = request.Term
	sv.handoverRequestedAt = m.now
	s.handoverPending = true
}

// handleMessage dispatches a message from the machine of another VM.
func (m *Machine) handleMessage(in MessageReceived) {
	message := in.Message
	switch {
	case message.Heartbeat != nil:
		m.members.lastHeartbeats[in.From] = heartbeatRecord{at: m.now, final: message.Heartbeat.Final}
	case message.UnitStopped != nil:
		m.handleUnitStopped(message.UnitStopped)
	case message.TermQuery != nil:
		m.answerTermQuery(in.From, message.TermQuery)
	case message.TermReleased != nil:
		m.recordRelease(in.From, message.TermReleased)
	case message.HandoverRequest != nil:
		m.handleHandoverRequest(in.From, message.HandoverRequest)
	case message.PageNotice != nil:
		if s := m.service(message.PageNotice.Service); s != nil && message.PageNotice.Version > s.version {
			m.requestReadSince(s, m.now)
		}
	case message.LoadQuery != nil:
		m.reportLoad(in.From, message.LoadQuery)
	case message.Load != nil:
		m.addFleetLoad(message.Load)
	}
}

func (m *Machine) handleUnitStopped(stopped *UnitStopped) {
	s := m.service(stopped.Service)
	if s == nil {
		return
	}
	unit := s.page.Unit(stopped.Unit)
	if s.version == 0 || unit == nil || unit.Epoch < stopped.Epoch {
		// The page that contains the move has not arrived yet; the sender
		// repeats the message.
		m.requestReadSince(s, m.now)
		s.earlyStops[stopped.Unit] = max(s.earlyStops[stopped.Unit], stopped.Epoch)
		return
	}
	if unit.Epoch == stopped.Epoch && unit.Previous == stopped.Server {
		m.markStopped(s, stopped.Unit, stopped.Epoch)
	}
}

// applyEarlyStops applies UnitStopped messages that arrived before the page
// that they refer to.
func (m *Machine) applyEarlyStops(s *service) {
	for id, epoch := range s.earlyStops {
		unit := s.page.Unit(id)
		if unit == nil || unit.Epoch < epoch {
			continue
		}
		if unit.Epoch == epoch && unit.Previous != "" {
			m.markStopped(s, id, epoch)
		}
		delete(s.earlyStops, id)
	}
	if len(s.earlyStops) > maxEarlyStops {
		s.earlyStops = make(map[ownership.UnitID]ownership.Epoch)
	}
}
