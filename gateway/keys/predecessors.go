package keys

import (
	"slices"
	"time"
)

// predecessors are the earlier leaders that may have granted keys under the page
// that this leader took over.
type predecessors struct {
	// active are those that may still send grants.
	active []Leader
	// ended holds the incarnations of those that have stopped.
	ended map[string]bool
	// endedBy is the latest arrival of any grant of those that have stopped.
	endedBy time.Duration
	// outvotedBy is the same for those that have lost their majority. Further reports may
	// show that this was earlier.
	outvotedBy time.Duration
	// impaired holds the availability zones that one of them found impaired.
	impaired map[string]bool
}

func newPredecessors() predecessors {
	return predecessors{ended: make(map[string]bool), impaired: make(map[string]bool)}
}

// add records a leader that may still send grants, unless it has stopped.
func (p *predecessors) add(leader Leader) {
	if !p.ended[leader.Incarnation] && !slices.Contains(p.active, leader) {
		p.active = append(p.active, leader)
	}
}

// end records that a leader has stopped and its last grant arrived by then.
func (p *predecessors) end(incarnation string, by time.Duration) {
	p.ended[incarnation] = true
	p.active = slices.DeleteFunc(p.active, func(l Leader) bool { return l.Incarnation == incarnation })
	p.endedBy = max(p.endedBy, by)
}

// foundImpaired says whether an earlier leader may have found a zone impaired. The zone of a
// server that was never listed here is unknown.
func (p *predecessors) foundImpaired(zone string) bool {
	return p.impaired[zone] || zone == "" && len(p.impaired) > 0
}

// Predecessors returns the earlier leaders that may still grant keys.
func (m *Machine) Predecessors() []Leader {
	if !m.leading {
		return nil
	}
	return slices.Clone(m.predecessors.active)
}

// PredecessorEnded records that an earlier leader has stopped for good and that
// all its grants arrived by the given time.
func (m *Machine) PredecessorEnded(incarnation string, by time.Duration) {
	m.predecessors.end(incarnation, by)
}

// PredecessorImpaired records the availability zones that an earlier leader found impaired.
func (m *Machine) PredecessorImpaired(zones []string) {
	for _, zone := range zones {
		m.predecessors.impaired[zone] = true
	}
}

// PredecessorsEnded records the same for all earlier leaders.
func (m *Machine) PredecessorsEnded(by time.Duration) {
	for len(m.predecessors.active) > 0 {
		m.predecessors.end(m.predecessors.active[0].Incarnation, by)
	}
}

// PredecessorsOutvoted records that all earlier leaders have lost their majority, so that
// all their grants arrived by the given time. A later call may name an earlier time.
func (m *Machine) PredecessorsOutvoted(by time.Duration) {
	p := &m.predecessors
	switch {
	case len(p.active) > 0:
		m.PredecessorsEnded(0)
		p.outvotedBy = max(p.outvotedBy, by)
	case p.outvotedBy > 0:
		p.outvotedBy = min(p.outvotedBy, by)
	}
}

// addPredecessors records the leaders that a page names: its writer, and the
// predecessors that the writer did not know to have stopped.
func (m *Machine) addPredecessors(page *Page) {
	for _, leader := range append(slices.Clone(page.Predecessors), page.Writer) {
		if leader != m.options.Self {
			m.predecessors.add(leader)
		}
	}
	m.predecessors.endedBy = max(m.predecessors.endedBy, m.ownCallsEnd()) // This machine may have led before.
	m.predecessors.endedBy = max(m.predecessors.endedBy, m.earlierGrantsArrival(page))
}

// runPredecessors records all earlier leaders as stopped once the time is over
// for which they may go on without the store.
func (m *Machine) runPredecessors() {
	if limit := m.leadingSince + m.options.PredecessorTimeout; m.now >= limit {
		m.PredecessorsEnded(limit)
	}
}

// predecessorBound returns the latest time at which a grant of an earlier leader
// may have arrived; zero if there was none.
func (m *Machine) predecessorBound() time.Duration {
	if len(m.predecessors.active) > 0 {
		return m.leadingSince + m.options.PredecessorTimeout
	}
	return max(m.predecessors.endedBy, m.predecessors.outvotedBy)
}

// predecessorArrival returns the same for one server.
func (m *Machine) predecessorArrival(row *serverRow) time.Duration {
	bound := m.predecessorBound()
	if bound > 0 && m.predecessors.foundImpaired(row.Zone) {
		return bound + impairedTransitTime - transitTime
	}
	return m.adjustArrival(row, bound)
}

// ownCallsEnd returns the latest time at which a grant that this machine has sent until now
// may arrive.
func (m *Machine) ownCallsEnd() time.Duration {
	end := m.now
	if m.calls > 0 {
		end += MaxCallDelay
	}
	for _, row := range m.endpoints {
		end = max(end, row.latestArrival)
	}
	return end
}
