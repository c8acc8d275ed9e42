package control

import "time"

// runHomes renews this VM's right to send to servers that do not check grants.
//
// The right has no end of its own: it ends by this VM's confirmation (TermReleased, or
// a stop that it confirmed) or by an operator's. It is given to traffic for one
// life of a grant at a time, so that a daemon that was paused reads the page
// again before it sends.
func (m *Machine) runHomes() {
	for _, s := range m.services {
		for _, sv := range s.heldServers {
			if !sv.config.ChecksGrants && sv.config.Address != "" {
				m.renewHome(s, sv)
			}
		}
	}
}

func (m *Machine) renewHome(s *service, sv *server) {
	may := m.holds(s, sv) && s.confirmedSince(m.resumedAt) && !sv.sendsStopped && !m.serverDeclaredLost(sv)
	switch {
	case !may && sv.homeUntil != 0:
		sv.homeUntil = 0
		m.ready.RoutingChanged = true
	case may && sv.homeUntil-m.now <= m.grantTTL()/2:
		sv.homeUntil = m.now + m.grantTTL()
		sv.maxHomeUntil = sv.homeUntil
		m.ready.RoutingChanged = true
	}
}

// stopSends ends the sending to a server that does not check grants, before
// its units may leave it.
func (m *Machine) stopSends(sv *server) {
	if sv.config.ChecksGrants || sv.sendsStopped {
		return
	}
	sv.sendsStopped = true
	sv.sendsIdle = false
	sv.stopGeneration = m.routing.Generation + 1
	sv.homeUntil = 0
	m.ready.RoutingChanged = true
}

func (m *Machine) resumeSends(sv *server) {
	if sv.sendsStopped {
		sv.sendsStopped = false
		m.ready.RoutingChanged = true
	}
}

// sendsLife is how long requests that this VM sent to a server that does not
// check grants may still run, if it sends no more from now on.
func (m *Machine) remainingSendTime(s *service, sv *server) time.Duration {
	end := max(sv.maxHomeUntil+m.longestDeadline(s), m.startedAt+m.maxSendTime(s))
	if sv.sendsIdle {
		return 0
	}
	return max(0, end-m.now)
}
