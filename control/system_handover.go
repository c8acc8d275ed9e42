package control

import (
	"cmp"
	"slices"
	"time"

	"guavacrank.example/event"
)

// runHandover asks other VMs to take over this VM's terms: all of them before
// this VM stops, otherwise those for which another VM is better placed. This VM
// keeps renewing until the server refuses its term, so there is no outage.
func (m *Machine) runHandover() {
	stopBlocked := false
	rebalancing := m.now-m.members.rebalancedAt >= rebalanceInterval
	if rebalancing {
		m.members.rebalancedAt = m.now
	}
	for _, s := range m.services {
		stopBlocked = stopBlocked || m.releaseAwaited(s)
		for _, sv := range s.heldServers {
			if !m.holds(s, sv) {
				continue
			}
			switch {
			case m.stopping:
				stopBlocked = stopBlocked || !m.noHandoverNeeded(s, sv)
				m.requestHandover(s, sv, m.handoverCandidates(sv), handoverTimeout)
			case m.possiblyPartitioned(s, sv):
				if !s.entry(sv).Down || rebalancing {
					m.requestHandover(s, sv, m.members.candidates(sv.config, m.options.Self), partitionHandoverTimeout)
				}
			case sv.successor != "" && m.now-sv.successorChosenAt < handoverTimeout:
				m.requestHandover(s, sv, m.betterPlaced(sv), handoverTimeout)
			default:
				sv.successor = ""
				if rebalancing {
					rebalancing = !m.rebalance(s, sv)
				}
			}
		}
	}
	m.ready.TermsReleased = m.ready.TermsReleased || (m.stopping && !stopBlocked)
}

// possiblyPartitioned reports whether a server that has answered before no
// longer does: only the network path from this VM to it may have failed. A VM
// that is asked to take over does so only if the server answers it.
func (m *Machine) possiblyPartitioned(s *service, sv *server) bool {
	return sv.answered && sv.configured && !s.blockedByLoss(sv.name) && !m.serverDeclaredLost(sv) &&
		m.silentFor(sv, 2*m.sendInterval()+resendInterval)
}

// noHandoverNeeded reports whether a server is lost and owns nothing.
func (m *Machine) noHandoverNeeded(s *service, sv *server) bool {
	return len(s.owned[sv.name]) == 0 && len(s.movingFrom[sv.name]) == 0 &&
		(m.silentFor(sv, m.grantTTL()) || !sv.configured) && m.now >= sv.grantsExpireAt
}

// releaseAwaited reports whether the grantor of a server that does not check
// grants still needs a release from this VM before this VM stops.
func (m *Machine) releaseAwaited(s *service) bool {
	return m.stopping && slices.ContainsFunc(s.servers, func(sv *server) bool { return m.awaitsRelease(s, sv) })
}

func (m *Machine) awaitsRelease(s *service, sv *server) bool {
	entry := s.entry(sv)
	if entry == nil || sv.config.ChecksGrants || entry.Grantor == m.options.Self {
		return false
	}
	for _, former := range entry.FormerGrantors {
		if former == m.options.Self && sv.maxHomeUntil != 0 {
			return sv.releasedBelow < entry.Term
		}
	}
	return false
}

// handoverCandidates returns the VMs that may take over a server's term. If
// none has been asked yet, those with the fewest terms, including the handovers
// that this VM has already requested, come first within each tier.
func (m *Machine) handoverCandidates(sv *server) []candidate {
	if sv.successor != "" {
		return m.members.candidates(sv.config, m.options.Self)
	}
	terms := m.termCounts()
	for _, s := range m.services {
		for _, other := range s.heldServers {
			terms[other.successor]++
		}
	}
	candidates := m.members.candidates(sv.config, m.options.Self)
	sortByTerms(candidates, terms)
	return candidates
}

// sortByTerms sorts candidates by tier, then by their number of terms.
func sortByTerms(candidates []candidate, terms map[string]int) {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(terms[a.member.Name], terms[b.member.Name]))
	})
}

// rebalance hands a term over to a VM that is better placed for the server, or
// equally well placed with at least two terms fewer. It reports whether it did.
func (m *Machine) rebalance(s *service, sv *server) bool {
	if !sv.configured || !m.termAccepted(sv) {
		return false
	}
	better := m.betterPlaced(sv)
	if len(better) == 0 {
		return false
	}
	m.requestHandover(s, sv, better, handoverTimeout)
	return true
}

// betterPlaced returns the VMs to which this VM should hand a server's term
// over, sorted by tier and then by number of terms. They have been alive for at
// least rebalanceMinAlive.
func (m *Machine) betterPlaced(sv *server) []candidate {
	tier := tierOf(Member{Region: m.options.Region, Zone: m.options.Zone}, sv.config)
	terms := m.termCounts()
	own := terms[m.options.Self]
	better := slices.DeleteFunc(m.members.candidates(sv.config, m.options.Self), func(c candidate) bool {
		since, alive := m.members.aliveSince[c.member.Name]
		if !alive || m.now-since < rebalanceMinAlive || c.tier > tier {
			return true
		}
		return c.tier == tier && terms[c.member.Name] > own-2
	})
	sortByTerms(better, terms)
	return better
}

// termCounts returns each VM's number of terms in the known pages.
func (m *Machine) termCounts() map[string]int {
	terms := make(map[string]int)
	for _, s := range m.services {
		for _, entry := range s.page.Servers {
			terms[entry.Grantor]++
		}
	}
	return terms
}

// requestHandover asks one of the candidates to take over a term, and the next
// one if the term is not taken within timeout.
func (m *Machine) requestHandover(s *service, sv *server, candidates []candidate, timeout time.Duration) {
	if m.now-sv.successorAskedAt < handoverRequestInterval && sv.successor != "" {
		return
	}
	if len(candidates) == 0 {
		return
	}
	position := rank(candidates, sv.successor)
	if sv.successor == "" || position < 0 {
		m.chooseSuccessor(s, sv, candidates[0])
	} else if m.now-sv.successorChosenAt >= timeout {
		m.chooseSuccessor(s, sv, candidates[(position+1)%len(candidates)])
	}
	sv.successorAskedAt = m.now
	m.send(sv.successor, Message{HandoverRequest: &HandoverRequest{Service: s.name, Server: sv.name, Term: sv.heldTerm}})
}

func (m *Machine) chooseSuccessor(s *service, sv *server, next candidate) {
	sv.successor = next.member.Name
	sv.successorChosenAt = m.now
	m.emit(event.HandoverRequested, "this VM is stopping or another VM is better placed", "service", s.name,
		"server", sv.name, "successor", sv.successor)
}
