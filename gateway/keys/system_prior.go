package keys

import (
	"maps"
	"time"
)

// CallTimeout limits a grant call.
const CallTimeout = 500 * time.Millisecond

// holdBound bounds what a prior holder may still hold.
type holdBound struct {
	// arrivedBy is the latest time at which a grant of this leader may have
	// arrived.
	arrivedBy time.Duration
	// lateBy is the same for grants without an answer, which may be applied
	// after a release.
	lateBy time.Duration
	// earlier says that the holder took no grant of this leader, so that those of
	// earlier leaders count too.
	earlier bool
	// pending are the calls that are still under way, by when they began.
	pending map[uint64]time.Duration
}

// hold is how long this leader's grants hold: what the confirmed page says.
func (m *Machine) hold() time.Duration {
	if m.page == nil {
		return m.options.Hold
	}
	return max(m.options.Hold, m.page.Hold)
}

// longestHold is how long a grant of any leader may hold at a server with a slow
// clock.
func (m *Machine) longestHold() time.Duration {
	return m.hold() + m.hold()*clockRate/100 + holdMargin
}

// boundOf returns the bound of an owner's hold on one of its ranges, once no
// further grant of the range will be sent.
func (m *Machine) boundOf(r Range) holdBound {
	row := m.row(r.Owner.Life)
	grant, sent := row.granted[r.From]
	return holdBound{
		arrivedBy: row.arrivedBy,
		lateBy:    row.unansweredBy,
		earlier:   !sent || !grant.answered || grant.fence != r.Owner.Fence,
		pending:   maps.Clone(row.inFlight),
	}
}

// arrived returns the latest time at which any grant may have arrived. What is
// known of earlier leaders may change after the bound was made.
func (m *Machine) arrived(bound holdBound) time.Duration {
	if bound.earlier {
		return max(bound.arrivedBy, m.predecessorBound())
	}
	return bound.arrivedBy
}

// lateBy is the latest time at which a grant without an answer may have arrived
// at a server, one of an earlier leader included.
func (m *Machine) lateBy(row *serverRow) time.Duration {
	return m.arrivedBy(row, max(row.unansweredBy, m.predecessorBound()))
}

// priorEnded says whether a prior holder of a range has ended, and its word of
// hand-over.
func (m *Machine) priorEnded(r Range, prior Holder) (ended bool, handover string) {
	key := endKey{r.From, r.To, prior.Life, prior.Fence}
	bound, known := m.bounds[key]
	if !known {
		bound = holdBound{earlier: true}
	}
	if len(bound.pending) > 0 {
		return false, "" // It could reach a later life at the same address.
	}
	row := m.row(prior.Life)
	arrived, late := m.arrivedBy(row, m.arrived(bound)), m.arrivedBy(row, max(bound.lateBy, m.predecessorBound()))
	if m.replacedSince(prior, max(arrived, late)) {
		return true, ""
	}
	if m.now >= arrived+m.longestHold() {
		return true, ""
	}
	end, released := m.ended[key]
	if !released {
		return false, ""
	}
	return late == 0 || m.now >= late+m.longestHold(), end.handover
}

// replacedLife says whether a later life is listed under the holder's ID or at
// its address: the holder is over and holds nothing.
func (m *Machine) replacedLife(holder Holder) bool {
	return m.latestByID[holder.ID].replaces(holder) || m.latestByAddress[holder.Address].replaces(holder)
}

// replaces says whether a row is a later life than a holder.
func (r *serverRow) replaces(holder Holder) bool { return r != nil && r.Born > holder.Born }

// replacedSince says whether a later life is listed that can't have taken a
// grant meant for the holder, the last of which arrived by the given time.
func (m *Machine) replacedSince(holder Holder, arrivedBy time.Duration) bool {
	there := m.latestByAddress[holder.Address]
	if there.replaces(holder) {
		return arrivedBy < there.seenAt-recordTime
	}
	return m.latestByID[holder.ID].replaces(holder)
}

// mayGrant says whether every prior holder of a range has ended. The hand-over
// is that of a single prior holder.
func (m *Machine) mayGrant(r Range) (handover string, ok bool) {
	for _, prior := range r.Prior {
		ended, word := m.priorEnded(r, prior)
		if !ended {
			return "", false
		}
		handover = word
	}
	if len(r.Prior) > 1 {
		handover = ""
	}
	return handover, true
}

// runReleases asks prior holders for their keys. A holder is not asked while a
// grant to it is under way, which could arrive after the release.
func (m *Machine) runReleases() {
	if m.page == nil {
		return
	}
	for _, r := range m.page.Ranges {
		for _, prior := range r.Prior {
			m.release(r, prior)
		}
	}
}

func (m *Machine) release(r Range, prior Holder) {
	key := endKey{r.From, r.To, prior.Life, prior.Fence}
	if _, running := m.releases[key]; running || len(m.bounds[key].pending) > 0 || m.ended[key].released || m.now < m.retryAt[key] {
		return
	}
	if ended, _ := m.priorEnded(r, prior); ended {
		return
	}
	m.releases[key] = m.now
	order := ReleaseCall{Life: prior.Life, Address: prior.Address}
	order.From, order.To, order.Fence = r.From, r.To, prior.Fence
	m.ready.Releases = append(m.ready.Releases, order)
}
