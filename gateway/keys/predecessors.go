package keys

import (
	"slices"
	"time"
)

// predecessors are the earlier leaders that may have granted keys under the
// page that a leader took over.
type predecessors struct {
	// running are those that may still grant.
	active []Leader
	// ended holds the incarnations of those that do not.
	ended map[string]bool
	// endedBy is when the last grant of those that ended has arrived.
	endedBy time.Duration
}

// add notes a leader that may still grant, unless it is known to have ended.
func (p *predecessors) add(leader Leader) {
	if !p.ended[leader.Incarnation] && !slices.Contains(p.active, leader) {
		p.active = append(p.active, leader)
	}
}

// end notes that the grants of a leader have all arrived at the given time.
func (p *predecessors) end(incarnation string, by time.Duration) {
	p.ended[incarnation] = true
	p.active = slices.DeleteFunc(p.active, func(l Leader) bool { return l.Incarnation == incarnation })
	p.endedBy = max(p.endedBy, by)
}

// Predecessors returns the earlier leaders that may still grant keys.
func (m *Machine) Predecessors() []Leader {
	if !m.leading {
		return nil
	}
	return slices.Clone(m.predecessors.active)
}

// PredecessorEnded says that an earlier leader has stopped for good, and that
// its last grant has arrived at the given time.
func (m *Machine) PredecessorEnded(incarnation string, by time.Duration) {
	m.predecessors.end(incarnation, by)
}

// PredecessorsEnded says so of all earlier leaders.
func (m *Machine) PredecessorsEnded(by time.Duration) {
	for len(m.predecessors.active) > 0 {
		m.predecessors.end(m.predecessors.active[0].Incarnation, by)
	}
}

// takePredecessors takes the leaders that a page of another writer names: the
// writer, and those before it of whose end it did not know.
func (m *Machine) addPredecessors(page *Page) {
	for _, leader := range append(slices.Clone(page.Predecessors), page.Writer) {
		if leader != m.options.Self {
			m.predecessors.add(leader)
		}
	}
	if len(m.predecessors.active) == 0 {
		m.predecessors.endedBy = max(m.predecessors.endedBy, m.now) // Only this process has granted.
	}
}

// runPredecessors finds earlier leaders over that had to stop by now without
// the store.
func (m *Machine) runPredecessors() {
	if limit := m.leadingSince + m.options.PredecessorTimeout; m.now >= limit {
		m.PredecessorsEnded(limit)
	}
}

// predecessorBound is the latest time at which a grant of an earlier leader may
// have arrived; zero if there was none.
func (m *Machine) predecessorBound() time.Duration {
	if len(m.predecessors.active) > 0 {
		return m.leadingSince + m.options.PredecessorTimeout
	}
	return m.predecessors.endedBy
}
