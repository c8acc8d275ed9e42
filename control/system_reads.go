package control

import (
	"time"

	"guavacrank.example/event"
)

// wantSince asks for a read of the page that is issued at or after a time.
func (m *Machine) wantSince(s *service, t time.Duration) {
	if s.confirmedSince(t) || (s.wantRead && s.wantAt >= t) {
		return
	}
	s.wantRead = true
	s.wantAt = t
}

// runReads issues reads of pages that are wanted or old, one at a time for
// each service, and repeats those that are not answered.
func (m *Machine) runReads() {
	m.members.observe(m.now)
	for _, s := range m.services {
		m.wantSince(s, m.resumedAt)
		if m.now-s.refreshAt >= m.refreshDelay() {
			m.wantSince(s, m.now)
		}
		m.readIfWanted(s)
	}
}

func (m *Machine) refreshDelay() time.Duration {
	return max(refreshInterval, time.Duration(len(m.members.list))*refreshPerMember)
}

func (m *Machine) readIfWanted(s *service) {
	if s.readPending != 0 && m.now-s.readIssued >= readTimeout {
		m.readFailed(s)
	}
	inFlight := s.readPending != 0 && s.readIssued >= s.wantAt
	if !s.wantRead || inFlight || (s.readFails > 0 && m.now < s.readRetryAt) {
		return
	}
	m.requests++
	s.readPending = m.requests
	s.readIssued = m.now
	s.refreshAt = m.now
	m.ready.Reads = append(m.ready.Reads, PageReadRequest{Service: s.name, Request: m.requests})
}

func (m *Machine) readFailed(s *service) {
	s.readPending = 0
	s.readFails++
	if s.readFails == 1 {
		m.emit(event.StoreSilent, "a read of the page was not answered", "service", s.name)
	}
	s.readRetryAt = m.now + min(minBackoff<<min(s.readFails, 6), m.maxBackoff())
}

// readAnswered notes that the store answers.
func (m *Machine) readAnswered(s *service) {
	if s.readFails > 0 {
		m.emit(event.StoreAnswered, "a read of the page was answered", "service", s.name)
	}
	s.readFails = 0
	s.readPending = 0
	s.confirmed = true
	s.confirmedAt = max(s.confirmedAt, s.readIssued)
	if s.wantAt <= s.readIssued {
		s.wantRead = false
	}
}
