package control

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// pageEdit is the next version of a service's page while the systems of one
// tick change it.
type pageEdit struct {
	page   ownership.Page
	causes []string
	// lostServers are the servers whose units this edit moves away because they
	// have stopped.
	lostServers []string
}

// pendingWrite is a page write whose outcome is unresolved.
//
// It is resolved once the page's version is known to be above the expected one.
// Until then the write may still be on its way to the store, even if a read
// shows the page unchanged. The same page is then written again.
type pendingWrite struct {
	page          ownership.Page
	expected      uint64
	lostServers   []string
	issuedAt      time.Duration
	firstIssuedAt time.Duration
	unknown       bool // No answer, or one that leaves the outcome open.
	conflict      bool // Another VM wrote first; the page is being read.
}

// editPage returns the edit of the service's next page, or nil while an earlier
// write is unresolved or the page is not confirmed. Call it only to change the
// page.
func (m *Machine) editPage(s *service, cause string) *pageEdit {
	if !m.canEdit(s) {
		return nil
	}
	if s.pageEdit == nil {
		s.pageEdit = &pageEdit{page: s.page.Clone()}
	}
	if !slices.Contains(s.pageEdit.causes, cause) {
		s.pageEdit.causes = append(s.pageEdit.causes, cause)
	}
	return s.pageEdit
}

// canEdit reports whether a change of the page can be written now.
func (m *Machine) canEdit(s *service) bool {
	return s.pending == nil && s.pageError == "" && s.confirmedSince(m.resumedAt) && m.now >= s.writeRetryAt
}

// blockedByLoss reports whether a write that moves a server's units away after
// a loss is prepared or unresolved. The server must not get orders until then.
func (s *service) blockedByLoss(name string) bool {
	if s.pending != nil && slices.Contains(s.pending.lostServers, name) {
		return true
	}
	return s.pageEdit != nil && slices.Contains(s.pageEdit.lostServers, name)
}

// runWrites issues the edits of this tick and retries unresolved writes.
func (m *Machine) runWrites() {
	for _, s := range m.services {
		if s.pending != nil {
			m.retryWrite(s)
			continue
		}
		if s.pageEdit != nil {
			m.issueWrite(s)
		}
	}
}

func (m *Machine) issueWrite(s *service) {
	d := s.pageEdit
	s.pageEdit = nil
	m.lastChangeNumber++
	d.page.ChangeID = m.options.Self + "/" + m.options.Incarnation + "/" + strconv.FormatUint(m.lastChangeNumber, 10)
	d.page.ChangedBy = m.options.Self
	d.page.Cause = strings.Join(d.causes, "; ")
	if !m.validSuccessor(s, &d.page) {
		s.writeRetryAt = m.now + m.retryDelayLimit()
		return
	}
	s.pending = &pendingWrite{
		page: d.page, expected: s.version, lostServers: d.lostServers,
		issuedAt: m.now, firstIssuedAt: m.now,
	}
	m.sendWrite(s)
}

// validSuccessor asserts that a page that is about to be written is valid.
func (m *Machine) validSuccessor(s *service, page *ownership.Page) bool {
	err := page.Check()
	if err == nil && s.version != 0 {
		err = s.page.CheckSuccessor(page)
	}
	if err != nil {
		m.emit(event.InvariantViolated, err.Error(), "service", s.name)
	}
	return err == nil
}

func (m *Machine) sendWrite(s *service) {
	s.pending.issuedAt = m.now
	s.pending.unknown = false
	m.ready.Writes = append(m.ready.Writes, PageWrite{
		Service: s.name, Expected: s.pending.expected, Page: s.pending.page.Clone(),
	})
}

// retryWrite retries a write of unknown outcome with increasing delay.
func (m *Machine) retryWrite(s *service) {
	if s.pending.conflict {
		return
	}
	if !s.pending.unknown && m.now-s.pending.issuedAt >= writeTimeout {
		m.markOutcomeUnknown(s)
	}
	if s.pending.unknown && m.now >= s.writeRetryAt {
		m.sendWrite(s)
	}
}

func (m *Machine) markOutcomeUnknown(s *service) {
	s.pending.unknown = true
	s.writeBackoff = min(max(2*s.writeBackoff, minRetryDelay), m.retryDelayLimit())
	s.writeRetryAt = m.now + s.writeBackoff
	m.requestReadSince(s, m.now)
	if m.disabledRules.readBack {
		s.pending = nil
	}
}

func (m *Machine) handleWriteResult(in PageWritten) {
	s := m.service(in.Service)
	if s == nil || s.pending == nil || s.pending.page.ChangeID != in.ChangeID {
		return
	}
	switch in.Outcome {
	case WriteApplied:
		s.confirmed = true
		s.confirmedAt = max(s.confirmedAt, s.pending.issuedAt)
		s.writeBackoff = 0
		if in.Version > s.version {
			m.adoptPage(s, in.Version, s.pending.page)
		}
	case WriteConflict:
		s.pending.conflict = true
		m.requestReadSince(s, m.now)
	case WriteFailed:
		m.dropFailedWrite(s)
	default:
		m.markOutcomeUnknown(s)
	}
}

// dropFailedWrite drops a write that is known not to have been applied, unless
// an earlier attempt of the same write may still be.
func (m *Machine) dropFailedWrite(s *service) {
	if s.pending.firstIssuedAt != s.pending.issuedAt {
		m.markOutcomeUnknown(s)
		return
	}
	s.pending = nil
	s.writeBackoff = min(max(2*s.writeBackoff, minRetryDelay), m.retryDelayLimit())
	s.writeRetryAt = m.now + s.writeBackoff
}

// resolvePendingWrite ends a pending write when a newer page shows its outcome.
func (m *Machine) resolvePendingWrite(s *service, previous *ownership.Page) {
	if s.pending == nil || s.version <= s.pending.expected {
		return
	}
	applied := s.page.ChangeID == s.pending.page.ChangeID
	s.pending = nil
	s.writeRetryAt = 0
	if applied {
		m.notifyGrantors(s, previous)
	}
}

// notifyGrantors notifies the grantors that are affected by a confirmed change.
func (m *Machine) notifyGrantors(s *service, previous *ownership.Page) {
	var recipients []string
	moved := 0
	for i := range s.page.Units {
		unit := &s.page.Units[i]
		before := previous.Unit(unit.ID)
		if before != nil && *before == *unit {
			continue
		}
		if before == nil || before.Owner != unit.Owner {
			moved++
		}
		recipients = append(recipients, s.grantorOf(unit.Owner), s.grantorOf(unit.Previous))
	}
	for i := range s.page.Servers {
		entry := &s.page.Servers[i]
		before := previous.Server(entry.Name)
		if before == nil || before.Term != entry.Term {
			recipients = append(recipients, entry.Grantor)
		}
		if before != nil && before.Term != entry.Term {
			recipients = append(recipients, before.Grantor)
		}
	}
	slices.Sort(recipients)
	for _, vm := range slices.Compact(recipients) {
		m.send(vm, Message{PageNotice: &PageNotice{Service: s.name, Version: s.version}})
	}
	if moved > 0 {
		m.emit(event.UnitsMoved, s.page.Cause, "service", s.name, "units", strconv.Itoa(moved),
			"version", strconv.FormatUint(s.version, 10))
	}
}

// grantorOf returns the VM that holds a server's term, or "".
func (s *service) grantorOf(name string) string {
	if entry := s.page.Server(name); entry != nil {
		return entry.Grantor
	}
	return ""
}
