package keys

import (
	"slices"
	"time"
)

// A release that was not answered may reach its server after a later grant of the same keys,
// and takes them away until they are granted again.

// sentRelease is a release that may not have arrived yet.
type sentRelease struct {
	call ReleaseCall
	// arrival bounds its arrival; zero while the call is in flight.
	arrival time.Duration
}

// endRelease records the end of a release call.
func (m *Machine) endRelease(call ReleaseCall, outcome ReleaseOutcome) {
	at := slices.IndexFunc(m.sentReleases, func(s sentRelease) bool { return s.call == call && s.arrival == 0 })
	if at >= 0 && (outcome == ReleaseUnanswered || outcome == ReleasedByOne) {
		m.sentReleases[at].arrival = m.adjustArrival(m.row(call.Incarnation), m.now+transitTime)
	} else if at >= 0 {
		m.sentReleases = slices.Delete(m.sentReleases, at, at+1)
	}
	m.sentReleases = slices.DeleteFunc(m.sentReleases, func(s sentRelease) bool { return s.arrival != 0 && m.now >= s.arrival })
}

// releaseMayArrive reports whether a release of keys of a range may still reach its owner.
func (m *Machine) releaseMayArrive(r Range) bool {
	return slices.ContainsFunc(m.sentReleases, func(s sentRelease) bool {
		overlap := s.call.From <= r.To && r.From <= s.call.To
		toOwner := s.call.Server == r.Owner.ID && s.call.Address == r.Owner.Address
		return overlap && toOwner && (s.arrival == 0 || m.now < s.arrival)
	})
}
