package keys

import (
	"maps"
	"time"
)

// CallTimeout limits a grant call.
const CallTimeout = 500 * time.Millisecond

// holdBound bounds what a prior holder may still hold.
type holderBound struct {
	// arrivedBy is the latest time at which a grant of this leader may have
	// arrived.
	latestArrival time.Duration
	// lateBy is the same for grants without an answer, which may be applied
	// after a release.
	latestUnanswered time.Duration
	// earlier says that the holder took no grant of this leader, so that those of
	// earlier leaders count too.
	fromPredecessors bool
	// pending are the calls that are still under way, by when they began.
	pending map[uint64]time.Duration
}

// hold is how long this leader's grants hold: what the confirmed page says.
func (m *Machine) grantTTL() time.Duration {
	if m.page == nil {
		return m.options.GrantTTL
	}
	return max(m.options.GrantTTL, m.page.MaxGrantTTL)
}

// longestHold is how long a grant of any leader may hold at a server with a slow
// clock.
func (m *Machine) maxGrantLifetime() time.Duration {
	return m.grantTTL() + m.grantTTL()*clockDriftPercent/100 + expiryMargin
}

// boundOf returns the bound of an owner's hold on one of its ranges, once no
// further grant of the range will be sent.
func (m *Machine) boundOf(r Range) holderBound {
	row := m.row(r.Owner.Life)
	grant, sent := row.granted[r.From]
	return holderBound{
		latestArrival:    row.latestArrival,
		latestUnanswered: row.latestUnanswered,
		fromPredecessors: !sent || !grant.answered || grant.fence != r.Owner.Fence,
		pending:          maps.Clone(row.inFlight),
	}
}

// arrived returns the latest time at which any grant may have arrived. What is
// known of earlier leaders may change after the bound was made.
func (m *Machine) latestArrival(bound holderBound) time.Duration {
	if bound.fromPredecessors {
		return max(bound.latestArrival, m.predecessorBound())
	}
	return bound.latestArrival
}

// lateBy is the latest time at which a grant without an answer may have arrived
// at a server, one of an earlier leader included.
func (m *Machine) latestUnanswered(row *serverRow) time.Duration {
	return m.adjustArrival(row, max(row.latestUnanswered, m.predecessorBound()))
}

// priorEnded says whether a prior holder of a range has ended, and its word of
// hand-over.
func (m *Machine) priorEnded(r Range, prior Holder) (ended bool, handover string) {
	key := holderKey{r.From, r.To, prior.Life, prior.Fence}
	bound, known := m.bounds[key]
	if !known {
		bound = holderBound{fromPredecessors: true}
	}
	if len(bound.pending) > 0 {
		return false, "" // It could reach a later life at the same address.
	}
	row := m.row(prior.Life)
	arrived, late := m.adjustArrival(row, m.latestArrival(bound)), m.adjustArrival(row, max(bound.latestUnanswered, m.predecessorBound()))
	if m.safelyReplaced(prior, max(arrived, late)) {
		return true, ""
	}
	if m.now >= arrived+m.maxGrantLifetime() {
		return true, ""
	}
	result, released := m.released[key]
	if !released {
		return false, ""
	}
	return late == 0 || m.now >= late+m.maxGrantLifetime(), result.handover
}

// replacedLife says whether a later life is listed under the holder's ID or at
// its address: the holder is over and holds nothing.
func (m *Machine) replaced(holder Holder) bool {
	return m.latestByID[holder.ID].replaces(holder) || m.latestByAddress[holder.Address].replaces(holder)
}

// replaces says whether a row is a later life than a holder.
func (r *serverRow) replaces(holder Holder) bool { return r != nil && r.Born > holder.Born }

// replacedSince says whether a later life is listed that can't have taken a
// grant meant for the holder, the last of which arrived by the given time.
func (m *Machine) safelyReplaced(holder Holder, latestArrival time.Duration) bool {
	there := m.latestByAddress[holder.Address]
	if there.replaces(holder) {
		return latestArrival < there.firstListedAt-registrationDelay
	}
	return m.latestByID[holder.ID].replaces(holder)
}

// mayGrant says whether every prior holder of a range has ended. The hand-over
// is that of a single prior holder.
func (m *Machine) mayGrant(r Range) (handover string, ok bool) {
	for _, prior := range r.Prior {
		ended, priorHandover := m.priorEnded(r, prior)
		if !ended {
			return "", false
		}
		handover = priorHandover
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
	key := holderKey{r.From, r.To, prior.Life, prior.Fence}
	if _, releasing := m.releasing[key]; releasing || len(m.bounds[key].pending) > 0 || m.released[key].done || m.now < m.retryReleaseAt[key] {
		return
	}
	if ended, _ := m.priorEnded(r, prior); ended {
		return
	}
	m.releasing[key] = m.now
	call := ReleaseCall{Incarnation: prior.Life, Address: prior.Address}
	call.From, call.To, call.Fence = r.From, r.To, prior.Fence
	m.ready.Releases = append(m.ready.Releases, call)
}
