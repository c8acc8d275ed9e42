package control

import (
	"slices"
	"time"

	"guavacrank.example/event"
)

// wantSince asks for a read of the page that is issued at or after a time.
func (m *Machine) requestReadSince(s *service, t time.Duration) {
	if s.confirmedSince(t) || (s.readWanted && s.readWantedSince >= t) {
		return
	}
	s.readWanted = true
	s.readWantedSince = t
}

// runReads issues reads of pages that are wanted or old, one at a time for
// each service, and repeats those that are not answered.
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

// readIfWanted issues a read unless one that serves is under way. A read that
// takes long is repeated without giving it up: a slow store still answers.
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

// readUnderWay reports whether a read that is recent, and was issued when it
// was wanted or later, is not answered yet.
func (s *service) readUnderWay(now time.Duration) bool {
	if len(s.reads) == 0 {
		return false
	}
	newest := s.reads[len(s.reads)-1].issuedAt
	return newest >= s.readWantedSince && now-newest < readRepeatInterval
}

// expireReads gives up reads that the store did not answer in time.
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

// readAnswered notes that the store answers. The answer of a read confirms the
// page as of the time at which it was issued, and makes earlier reads needless.
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

// storeAnswers reports whether an answer of the store arrived a short time ago.
func (s *service) storeResponsive(now time.Duration) bool {
	return s.confirmed && now-s.answeredAt < storeAnswerMaxAge
}
