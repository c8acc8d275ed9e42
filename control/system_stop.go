package control

import (
	"slices"
	"strconv"
	"time"

	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// runStopConfirmation finds the units whose previous owner has stopped,
// notifies the grantors of the new owners, and clears Previous in the page.
func (m *Machine) runStopConfirmation() {
	for _, s := range m.services {
		if len(s.movingFrom) == 0 {
			continue
		}
		for _, sv := range s.heldServers {
			if m.holds(s, sv) {
				m.confirmStops(s, sv)
			}
		}
		m.clearStopped(s)
	}
}

func (m *Machine) confirmStops(s *service, sv *server) {
	for _, id := range s.movingFrom[sv.name] {
		unit := s.page.Unit(id)
		notice := s.stopNotices[id]
		if notice.epoch != unit.Epoch {
			if !m.unitStopped(s, sv, id) {
				continue
			}
			notice = stopNotice{epoch: unit.Epoch, firstSentAt: m.now}
			m.emit(event.UnitStopped, "the previous owner no longer serves it", "service", s.name,
				"unit", strconv.Itoa(int(id)), "server", sv.name)
		} else if m.now-notice.lastSentAt < resendInterval {
			continue
		}
		notice.lastSentAt = m.now
		s.stopNotices[id] = notice
		m.markStopped(s, id, unit.Epoch)
		m.send(s.grantorOf(unit.Owner), Message{UnitStopped: &UnitStopped{
			Service: s.name, Unit: id, Epoch: unit.Epoch, Server: sv.name,
		}})
	}
}

// markStopped records that a unit may be granted to its owner at an epoch.
func (m *Machine) markStopped(s *service, id ownership.UnitID, epoch ownership.Epoch) {
	if s.stoppedEpochs[id] >= epoch {
		return
	}
	s.stoppedEpochs[id] = epoch
	if unit := s.page.Unit(id); unit != nil {
		if owner := s.server(unit.Owner); owner != nil {
			owner.cachedGrants.valid = false
		}
	}
	m.ready.RoutingChanged = true
}

// unitStopped reports whether a server is proven to no longer serve a unit.
func (m *Machine) unitStopped(s *service, sv *server, id ownership.UnitID) bool {
	if m.serverDeclaredLost(sv) {
		return m.now >= sv.grantsExpireAt
	}
	if !sv.config.ChecksGrants {
		return m.sendsEnded(s, sv, id)
	}
	leaving := s.departures[id]
	accepted := sv.accepted
	if accepted.term != sv.heldTerm || accepted.boot != sv.boot || accepted.version < leaving.version || sv.unconfirmed {
		return false
	}
	return !m.finishingUnit(s, sv, id)
}

// finishingUnit reports whether the server may still run a request for a key of
// the unit: under the unit itself, under the shard that the override's key was
// isolated from, or under an override that was merged into the shard.
func (m *Machine) finishingUnit(s *service, sv *server, id ownership.UnitID) bool {
	for _, running := range sv.finishing {
		other := ownership.UnitID(running)
		if other == id || s.page.Unit(other) == nil {
			return true
		}
		if uint32(id) >= s.page.Shards && uint32(other) < s.page.Shards && s.shardOfUnit(id) == other {
			return true
		}
	}
	return false
}

// shardOfUnit returns the shard that an override's key hashes to.
func (s *service) shardOfUnit(id ownership.UnitID) ownership.UnitID {
	i := slices.IndexFunc(s.page.Overrides, func(o ownership.Override) bool { return o.Unit == id })
	if i < 0 {
		return id
	}
	return ownership.ShardOf(s.page.Overrides[i].Key, s.page.Shards)
}

// clearStopped records in the page, in one write for several units, that their
// previous owners have stopped.
func (m *Machine) clearStopped(s *service) {
	due := false
	for id, notice := range s.stopNotices {
		due = due || (notice.epoch == s.page.Unit(id).Epoch && m.now-notice.firstSentAt >= cleanupDelay)
	}
	if !due {
		return
	}
	d := m.editPage(s, "previous owners have stopped")
	if d == nil {
		return
	}
	for i := range d.page.Units {
		unit := &d.page.Units[i]
		if unit.Previous != "" && s.stoppedEpochs[unit.ID] >= unit.Epoch {
			unit.Previous = ""
		}
	}
}

// sendsEnded reports whether no request that this VM or a former home sent for
// a unit can still run at a server that does not check grants.
func (m *Machine) sendsEnded(s *service, sv *server, id ownership.UnitID) bool {
	releasesExpiry, allReleased := m.releasesExpireAt(s, sv, m.maxSendTime(s))
	if !allReleased || m.now < releasesExpiry || sv.heldTerm == 0 {
		return false
	}
	leaving := s.departures[id]
	if leaving.idle {
		return true
	}
	since := max(leaving.at, sv.heldSince)
	return m.now >= since+m.maxSendTime(s)
}

// maxSendTime is the longest time from the last confirmation of a home's
// permission to send to the end of the last request sent under it.
func (m *Machine) maxSendTime(s *service) time.Duration {
	return m.maxGrantLifetime() + m.longestDeadline(s)
}

// longestDeadline is the longest time for which a request of the service may
// run.
func (m *Machine) longestDeadline(s *service) time.Duration {
	longest := time.Duration(0)
	for _, class := range s.config.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
