package keys

import "time"

// LostGrants describes the grants by pages that were lost with a restoration of the store:
// those of the unknown holders.
type LostGrants struct {
	// Recorder is the incarnation of the leader that recorded them, and WriteID its write.
	// A later restoration makes another record.
	Recorder string `json:"recorder"`
	WriteID  uint64 `json:"draft"`
	// ArriveWithin bounds how long after the writing of the page they arrive, in
	// milliseconds.
	ArriveWithin int64 `json:"arrive_within"`
	// Ended says that all leaders that may have sent them have stopped.
	Ended bool `json:"ended,omitempty"`
}

// sameRecord says whether two pages describe the same grants.
func (g LostGrants) sameRecord(other LostGrants) bool {
	return g.Recorder == other.Recorder && g.WriteID == other.WriteID
}

// LostGrantsBound is what one VM knows of the arrival of lost grants, by its own clock. A
// leader counts from when its VM first saw them described, not from its election.
type LostGrantsBound struct {
	grants  LostGrants
	arrival time.Duration
}

// See returns the bound after the VM has seen a page. The page was written before.
func (b LostGrantsBound) See(now time.Duration, page *Page) LostGrantsBound {
	if page.LostGrants == (LostGrants{}) {
		return LostGrantsBound{}
	}
	arrival := now + time.Duration(page.LostGrants.ArriveWithin)*time.Millisecond
	if b.grants.sameRecord(page.LostGrants) {
		arrival = min(arrival, b.arrival)
	}
	return LostGrantsBound{page.LostGrants, arrival}
}

// KnowLostGrants takes what the VM knows of lost grants.
func (m *Machine) KnowLostGrants(bound LostGrantsBound) { m.lostGrants = bound }

// lostGrantsArrival returns the latest time at which a lost grant may have arrived.
func (m *Machine) lostGrantsArrival() time.Duration {
	arrival := m.predecessorBound()
	for _, row := range m.servers {
		arrival = max(arrival, m.predecessorArrival(row))
	}
	if m.recordsLostGrants || m.settlement != settled || !m.knowsLostGrants() {
		return arrival
	}
	// The writer of the page may not have known that a zone was impaired.
	noted := m.lostGrants.arrival + impairedTransitTime - transitTime
	if m.lostGrants.grants.Ended {
		return noted // The page does not name the leaders that have stopped.
	}
	return min(max(arrival, m.leadingSince+MaxCallDelay), noted)
}

// knowsLostGrants reports whether the VM has seen the record of lost grants in the page.
func (m *Machine) knowsLostGrants() bool {
	return m.lostGrants != LostGrantsBound{} && m.lostGrants.grants.sameRecord(m.page.LostGrants)
}

// describeLostGrants tells later leaders how long they have to wait for lost grants.
func (b *pageBuilder) describeLostGrants() {
	if !b.page.hasUnknownHolders() {
		b.page.LostGrants = LostGrants{}
		return
	}
	if b.settlement != settled {
		b.page.LostGrants = LostGrants{Recorder: b.options.Self.Incarnation, WriteID: b.nextWriteID}
	}
	within := max(0, b.lostGrantsArrival()-b.now)
	b.page.LostGrants.ArriveWithin = within.Milliseconds() + 1
	b.page.LostGrants.Ended = b.page.LostGrants.Ended || len(b.predecessors.active) == 0
}
