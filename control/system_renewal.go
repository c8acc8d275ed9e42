package control

import (
	"slices"
	"strconv"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// runRenewal sends orders to the servers that this VM is the grantor of.
func (m *Machine) runRenewal() {
	for _, s := range m.services {
		for _, sv := range s.heldServers {
			if m.holds(s, sv) {
				m.renew(s, sv)
			}
		}
	}
}

func (m *Machine) renew(s *service, sv *server) {
	if s.blockedByLoss(sv.name) || sv.config.Address == "" {
		return
	}
	if !m.mayGrant(s, sv) {
		m.sendHello(s, sv, m.helloIntervalOf(s, sv))
		return
	}
	set := s.grantableUnits(sv, m.disabledRules.previousOwner)
	order := sentOrder{boot: sv.boot, term: sv.heldTerm, version: s.version, digest: set.digest}
	if !m.orderDue(s, sv, order) {
		return
	}
	m.sendOrder(s, sv, order, set)
}

// mayGrant reports whether an order to a server may contain a grant. After a
// restart of the server, the page must have been confirmed since: the server's
// previous process may have accepted a higher term, which the new one does not
// know.
func (m *Machine) mayGrant(s *service, sv *server) bool {
	if !sv.config.ChecksGrants || sv.boot == "" || sv.unconfirmed || m.serverDeclaredLost(sv) {
		return false
	}
	if m.needsNewTerm(sv) {
		m.requestReadSince(s, sv.clockAt)
		return false
	}
	if !m.disabledRules.confirmPage && !s.confirmedSince(sv.bootAt) {
		m.requestReadSince(s, sv.bootAt)
		return false
	}
	expires := sv.clockAt + m.grantTTL()
	return m.now < expires
}

// needsNewTerm reports whether the server knows a higher term than this VM's,
// or knows this VM's term from an earlier process of this VM, so that it would
// refuse this process's orders.
func (m *Machine) needsNewTerm(sv *server) bool {
	if sv.highestTerm > sv.heldTerm {
		return true
	}
	return sv.highestTerm == sv.heldTerm && sv.accepted.term != sv.heldTerm && sv.grantsExpireAt == 0
}

func (m *Machine) helloIntervalOf(s *service, sv *server) time.Duration {
	entry := s.entry(sv)
	switch {
	case entry != nil && entry.Down:
		return downHelloInterval
	case !sv.config.ChecksGrants:
		return m.sendInterval()
	default:
		return helloInterval
	}
}

// orderDue reports whether an order must be sent now: at the interval, or
// immediately if its content is new.
func (m *Machine) orderDue(s *service, sv *server, order sentOrder) bool {
	if !sv.sent {
		return true
	}
	elapsed := m.now - sv.lastSent
	if elapsed >= m.sendInterval() {
		return true
	}
	awaited := len(s.movingFrom[sv.name]) > 0 && sv.accepted.version < order.version
	if sameGrants(sv.accepted, order) && !awaited {
		return false
	}
	last := sv.lastOrder()
	if last == nil || last.hello || !sameGrants(*last, order) || (awaited && last.version < order.version) {
		return true
	}
	return elapsed >= resendInterval
}

// sameGrants reports whether two orders grant the same set to the same server
// process under the same term. The page versions may differ.
func sameGrants(a, b sentOrder) bool {
	return a.boot == b.boot && a.term == b.term && a.digest == b.digest
}

func (sv *server) lastOrder() *sentOrder {
	if len(sv.orders) == 0 {
		return nil
	}
	return &sv.orders[len(sv.orders)-1]
}

func (m *Machine) sendOrder(s *service, sv *server, order sentOrder, set *grantSet) {
	full := !sameGrants(sv.accepted, order)
	message := backend.GrantOrder{
		Term: uint64(order.term), PageVersion: order.version, Boot: order.boot,
		ExpiresAt: sv.clock + m.grantTTL().Milliseconds(),
		Full:      full, Digest: set.digest,
	}
	if full {
		message.Units = slices.Clone(set.units)
	}
	sv.grantsExpireAt = max(sv.grantsExpireAt, sv.clockAt+m.maxGrantLifetime())
	m.queueOrder(sv, order, message)
}

// sendHello asks a server for its clock and boot ID without granting anything.
func (m *Machine) sendHello(s *service, sv *server, interval time.Duration) {
	if sv.config.Address == "" || (sv.sent && m.now-sv.lastSent < interval) {
		return
	}
	var term ownership.Term
	if entry := s.entry(sv); entry != nil {
		term = entry.Term
	}
	m.queueOrder(sv, sentOrder{hello: true, term: term}, backend.GrantOrder{})
}

func (m *Machine) queueOrder(sv *server, order sentOrder, message backend.GrantOrder) {
	sv.sequence++
	order.sequence = sv.sequence
	message.Sequence = sv.sequence
	message.Grantor = m.options.Self
	sv.orders = append(sv.orders, order)
	if len(sv.orders) > maxOrders {
		sv.orders = slices.Delete(sv.orders, 0, len(sv.orders)-maxOrders)
	}
	sv.sent = true
	sv.lastSent = m.now
	m.ready.Grants = append(m.ready.Grants, GrantRequest{
		Server: sv.name, Address: sv.config.Address, ChecksGrants: sv.config.ChecksGrants, Order: message,
	})
}

// grantableUnits returns the units that may be granted to a server under the
// current page.
func (s *service) grantableUnits(sv *server, ignorePrevious bool) *grantSet {
	if sv.cachedGrants.valid {
		return &sv.cachedGrants
	}
	units := make([]backend.UnitGrant, 0, len(s.owned[sv.name]))
	for _, id := range s.owned[sv.name] {
		if sv.drainTimedOut {
			break
		}
		unit := s.page.Unit(id)
		if unit.Previous == "" || s.stoppedEpochs[id] >= unit.Epoch || ignorePrevious {
			units = append(units, backend.UnitGrant{Unit: uint32(id), Epoch: uint64(unit.Epoch)})
		}
	}
	sv.cachedGrants = grantSet{valid: true, units: units, digest: backend.Digest(units)}
	return &sv.cachedGrants
}

// handleGrantAnswer applies a server's answer to an order or a hello.
func (m *Machine) handleGrantAnswer(in GrantAnswered) {
	if !in.Reached {
		return
	}
	for _, s := range m.services {
		if sv := s.server(in.Server); sv != nil && sv.sent {
			m.acceptGrantAnswer(s, sv, in)
		}
	}
}

func (m *Machine) acceptGrantAnswer(s *service, sv *server, in GrantAnswered) {
	sv.lastAnswer = m.now
	sv.answered = true
	if !sv.config.ChecksGrants {
		return
	}
	m.recordServerClock(sv, in.Answer)
	order, known := sv.removeOrder(in.Sequence)
	switch in.Answer.Result {
	case backend.GrantAccepted:
		if known && !order.hello && order.sequence > sv.accepted.sequence {
			sv.accepted = order
			sv.finishing = slices.Clone(in.Answer.Finishing)
		}
	case backend.GrantStaleTerm:
		m.requestReadSince(s, m.now)
	case backend.GrantNeedFull, backend.GrantWrongBoot:
		sv.accepted.digest = 0
		sv.accepted.boot = ""
	}
	m.reportReturn(s, sv)
}

// recordServerClock records the clock, the boot ID and the highest term from an
// answer.
func (m *Machine) recordServerClock(sv *server, answer backend.GrantAnswer) {
	if answer.Boot == "" {
		return
	}
	if answer.Boot != sv.boot {
		sv.boot = answer.Boot
		sv.bootAt = m.now
		sv.clock = 0
		sv.highestTerm = 0
		sv.accepted.boot = ""
	}
	sv.unconfirmed = false
	if answer.Clock > sv.clock {
		sv.clock = answer.Clock
		sv.clockAt = m.now
	}
	sv.highestTerm = max(sv.highestTerm, ownership.Term(answer.HighestTerm))
}

func (sv *server) removeOrder(sequence uint64) (sentOrder, bool) {
	for i, order := range sv.orders {
		if order.sequence == sequence {
			sv.orders = slices.Delete(sv.orders, i, i+1)
			return order, true
		}
	}
	return sentOrder{}, false
}

// reportReturn reports that a server that was marked down answers again.
func (m *Machine) reportReturn(s *service, sv *server) {
	entry := s.entry(sv)
	if entry != nil && entry.Down && sv.heldTerm != 0 && !sv.returnReported {
		sv.returnReported = true
		m.emit(event.ServerReturned, "the server answers again", "service", s.name, "server", sv.name,
			"boot", sv.boot, "term", strconv.FormatUint(uint64(sv.heldTerm), 10))
	}
}
