package keys

import (
	"maps"
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

// ended reports that the release can't arrive any more.
func (s sentRelease) ended(now time.Duration) bool { return s.arrival != 0 && now >= s.arrival }

// sentReleases are the releases that may not have arrived yet, by where they were sent.
type sentReleases map[endpoint][]sentRelease

func (s sentReleases) add(call ReleaseCall) {
	to := call.endpoint()
	s[to] = append(s[to], sentRelease{call: call})
}

// set replaces the releases to one endpoint by those that may still arrive.
func (s sentReleases) set(to endpoint, sent []sentRelease, now time.Duration) {
	s[to] = slices.DeleteFunc(sent, func(r sentRelease) bool { return r.ended(now) })
	if len(s[to]) == 0 {
		delete(s, to)
	}
}

// endpoint returns where the call goes.
func (c ReleaseCall) endpoint() endpoint { return endpoint{c.Server, c.Address} }

func (s sentReleases) clone() sentReleases {
	copied := maps.Clone(s)
	for to, releases := range copied {
		copied[to] = slices.Clone(releases)
	}
	return copied
}

// endRelease records the end of a release call.
func (m *Machine) endRelease(call ReleaseCall, outcome ReleaseOutcome) {
	to := call.endpoint()
	sent := m.sentReleases[to]
	at := slices.IndexFunc(sent, func(s sentRelease) bool { return s.call == call && s.arrival == 0 })
	if at >= 0 && (outcome == ReleaseUnanswered || outcome == ReleasedByOne) {
		sent[at].arrival = m.adjustArrival(m.row(call.Incarnation), m.now+transitTime)
	} else if at >= 0 {
		sent = slices.Delete(sent, at, at+1)
	}
	m.sentReleases.set(to, sent, m.now)
}

// releaseMayArrive reports whether a release of keys of a range may still reach its owner.
func (m *Machine) releaseMayArrive(r Range) bool {
	return slices.ContainsFunc(m.sentReleases[r.Owner.endpoint()], func(s sentRelease) bool {
		overlap := s.call.From <= r.To && r.From <= s.call.To
		return overlap && !s.ended(m.now)
	})
}
