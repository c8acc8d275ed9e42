package keys

import "time"

const (
	// transitTime is how long the bytes of a call that was given up may still be
	// on their way.
	transitTime = 700 * time.Millisecond
	// jamTime is the same for a server in an availability zone that is in trouble:
	// its links may be full or lose packets, which are sent again after growing
	// pauses.
	impairedTransitTime = 3 * time.Second
	// troubledServers is the least number of servers from which nothing must come
	// back for their zone to be in trouble.
	minUnresponsive = 2
)

// troubledZones holds when most calls to an availability zone failed last. One
// server that does not answer is likely over; many that stand together are
// likely behind a way that is jammed.
type impairedZones map[string]time.Duration

// noteZone looks at the servers of a zone after a call to one of them failed.
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

// arrivedBy corrects the latest time at which a call to a server may have
// arrived, if its zone was in trouble at that time.
func (m *Machine) adjustArrival(row *serverRow, by time.Duration) time.Duration {
	at, impaired := m.impaired[row.Zone]
	if by == 0 || !impaired || at+transitTime < by-CallTimeout {
		return by
	}
	return by + impairedTransitTime - transitTime
}
