package control

import "time"

// runHomes renews this VM's permission to send to servers that do not check
// grants.
//
// The permission itself does not expire: it ends when this VM confirms so
// (TermReleased, or a stop that it confirmed) or when an operator declares the
// loss. It is passed to the traffic layer for one grant TTL at a time, so that
// a daemon that was paused reads the page again before it sends.
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

// stopSends stops sending to a server that does not check grants, before its
// units may be moved away.
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

// remainingSendTime is how long requests that this VM sent to a server that
// does not check grants may still run if no more are sent from now on.
func (m *Machine) remainingSendTime(s *service, sv *server) time.Duration {
	end := max(sv.maxHomeUntil+m.longestDeadline(s), m.startedAt+m.maxSendTime(s))
	if sv.sendsIdle {
		return 0
	}
	return max(0, end-m.now)
}
