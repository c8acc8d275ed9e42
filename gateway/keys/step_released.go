package keys

import "time"

// ReleaseOutcome is the result of a release call.
type ReleaseOutcome uint8

// Outcomes of a release call.
const (
	// ReleaseUnanswered means that no response came.
	ReleaseUnanswered ReleaseOutcome = iota
	// ReleaseNoListener means that no process listens at the address.
	ReleaseNoListener
	// Released means that the process at the address has released the keys.
	Released
	// HolderEnded means that another server runs at the address.
	HolderEnded
	// ReleasedByOne means that the process at the address has answered one call of a relayed
	// release. The others may still arrive.
	ReleasedByOne
	// ReleaseRefused means that a process at the address, of which it is not known which
	// server it is, refused the release.
	ReleaseRefused
)

// StepReleased takes the outcome of a release call and the handover token.
func (m *Machine) StepReleased(now time.Duration, call ReleaseCall, outcome ReleaseOutcome, handover string) {
	m.now = now
	m.endRelease(call, outcome)
	if call.Fencing {
		m.stepFenced(call, outcome)
		return
	}
	key := holderKey{call.From, call.To, call.Incarnation, call.Held}
	row := m.row(call.Incarnation)
	startedAt := m.releasing[key]
	delete(m.releasing, key)
	m.repeatGrants(call)
	switch outcome {
	case ReleaseUnanswered:
		row.releaseFailed = true
		m.retryReleaseAt[key] = startedAt + fencingTimeout // No pause after a timeout: a cut may have healed.
	case ReleaseRefused:
		row.releaseFailed = true
		m.retryReleaseAt[key] = now + retryDelay
	case ReleaseNoListener:
		row.noteRefused(now)
		m.retryReleaseAt[key] = now + retryDelay
	case Released:
		row.refusedSince, row.releaseFailed = 0, false
		m.released[key] = releaseResult{done: true, handover: handover}
	case HolderEnded:
		row.noteRefused(now)
		if now < m.predecessorBound() {
			m.retryReleaseAt[key] = now + probeInterval // A later life may still get a grant.
			return
		}
		m.released[key] = releaseResult{done: true, ended: true}
	}
}

// repeatGrants repeats the grants of keys that were released by a server which owns them
// again: the release may have been held up and have come after these grants.
func (m *Machine) repeatGrants(call ReleaseCall) {
	if m.page == nil {
		return
	}
	for _, r := range m.page.Ranges {
		if r.To < call.From || call.To < r.From || r.Owner.ID != call.Server || r.Owner.Address != call.Address {
			continue
		}
		row := m.row(r.Owner.Incarnation)
		if grant, granted := row.granted[r.From]; granted {
			grant.due = m.now
			row.granted[r.From] = grant
		}
	}
}
