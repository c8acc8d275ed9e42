package control

import (
	"slices"
	"time"

	"guavacrank.example/event"
)

// requestReadSince requests a read of the page that is issued at or after t.
func (m *Machine) requestReadSince(s *service, t time.Duration) {
	if s.confirmedSince(t) || (s.readWanted && s.readWantedSince >= t) {
		return
	}
	s.readWanted = true
	s.readWantedSince = t
}

// runReads issues the reads of pages that were requested or are due. It keeps
// one read in flight for each service and repeats a read that is not answered.
func (m *Machine) runReads() {
	m.members.observe(m.now)
	for _, s := range m.services {
		m.requestReadSince(s, m.resumedAt)
		if m.now-s.lastReadAt >= m.refreshDelay() {
			m.requestReadSince(s, m.now)
		}
		m.readIfWanted(s)
	}
}

func (m *Machine) refreshDelay() time.Duration {
	return max(refreshInterval, time.Duration(len(m.members.list))*refreshPerMember)
}

// readIfWanted issues a read unless a suitable one is in flight. A slow read is
// repeated without abandoning the first one, since a slow store still answers.
func (m *Machine) readIfWanted(s *service) {
	m.dropTimedOutReads(s)
	if !s.readWanted || s.readUnderWay(m.now) || (s.readFails > 0 && m.now < s.readRetryAt) {
		return
	}
	m.lastReadRequest++
	s.reads = append(s.reads, outstandingRead{request: m.lastReadRequest, issuedAt: m.now})
	s.lastReadAt = m.now
	m.ready.Reads = append(m.ready.Reads, PageReadRequest{Service: s.name, Request: m.lastReadRequest})
}

// readUnderWay reports whether a recent read that was issued at or after
// readWantedSince is still unanswered.
func (s *service) readUnderWay(now time.Duration) bool {
	if len(s.reads) == 0 {
		return false
	}
	newest := s.reads[len(s.reads)-1].issuedAt
	return newest >= s.readWantedSince && now-newest < readRepeatInterval
}

// dropTimedOutReads abandons reads that the store did not answer in time.
func (m *Machine) dropTimedOutReads(s *service) {
	for len(s.reads) > 0 && m.now-s.reads[0].issuedAt >= readTimeout {
		s.reads = s.reads[1:]
		m.recordReadTimeout(s)
	}
}

func (m *Machine) recordReadTimeout(s *service) {
	s.readFails++
	if s.readFails == 1 {
		m.emit(event.StoreSilent, "a read of the page was not answered", "service", s.name)
	}
	s.readRetryAt = m.now + min(minRetryDelay<<min(s.readFails, 6), m.retryDelayLimit())
}

// recordReadAnswer records that the store answered. The answer confirms the
// page as of the time at which the read was issued, and makes earlier reads
// obsolete.
func (m *Machine) recordReadAnswer(s *service, request uint64) {
	i := slices.IndexFunc(s.reads, func(read outstandingRead) bool { return read.request == request })
	if i < 0 {
		return
	}
	issued := s.reads[i].issuedAt
	s.reads = slices.Delete(s.reads, 0, i+1)
	if s.readFails > 0 {
		m.emit(event.StoreAnswered, "a read of the page was answered", "service", s.name)
	}
	s.readFails = 0
	s.answeredAt = m.now
	s.confirmed = true
	s.confirmedAt = max(s.confirmedAt, issued)
	if s.readWantedSince <= issued {
		s.readWanted = false
	}
}

// storeResponsive reports whether the store answered recently.
func (s *service) storeResponsive(now time.Duration) bool {
	return s.confirmed && now-s.answeredAt < storeAnswerMaxAge
}
