package keys

import (
	"maps"
	"slices"
	"time"
)

const (
	// transitTime is how long a call that timed out may still be in transit.
	transitTime = 700 * time.Millisecond
	// impairedTransitTime is the same for a server in an impaired availability
	// zone: its links may be congested or lose packets, which are retransmitted
	// after growing delays.
	impairedTransitTime = 3 * time.Second
	// minUnresponsive is the least number of unresponsive servers in an impaired
	// zone.
	minUnresponsive = 2
)

// impairedZones holds when each availability zone was last found impaired: most
// calls to it failed. A single unresponsive server has likely ended; many in one
// zone are likely behind a congested link.
type impairedZones map[string]time.Duration

// updateZone checks whether a zone is impaired after a call to it failed.
func (m *Machine) updateZone(zone string) {
	called, unresponsive := 0, 0
	for _, row := range m.servers {
		if row.Zone != zone || !row.listed || !row.grantSent {
			continue
		}
		called++
		if row.unresponsive {
			unresponsive++
		}
	}
	if unresponsive >= minUnresponsive && 2*unresponsive >= called {
		m.impaired[zone] = m.now
	}
}

// adjustArrival corrects the latest time at which a call to a server may have
// arrived if its zone was impaired at that time.
func (m *Machine) adjustArrival(row *serverRow, latest time.Duration) time.Duration {
	at, impaired := m.impaired[row.Zone]
	if latest == 0 || !impaired || at+transitTime < latest-CallTimeout {
		return latest
	}
	return latest + impairedTransitTime - transitTime
}

// ImpairedZones returns the availability zones in which a grant of this leader, or of an
// earlier one, may arrive later than MaxCallDelay after its start.
func (m *Machine) ImpairedZones(now time.Duration) []string {
	late := make(map[string]time.Duration)
	for zone := range m.predecessors.impaired {
		late[zone] = m.predecessorBound() + impairedTransitTime - transitTime
	}
	for zone, at := range m.impaired {
		late[zone] = max(late[zone], at+CallTimeout+impairedTransitTime)
	}
	maps.DeleteFunc(late, func(_ string, by time.Duration) bool { return by < now })
	return slices.Sorted(maps.Keys(late))
}
