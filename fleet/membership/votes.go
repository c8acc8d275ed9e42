package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"guavacrank.example/event"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

const (
	// singleVoteTTL is how long the vote of one observer alone keeps a VM
	// suspected.
	singleVoteTTL = 4 * time.Second
	// overruledTTL is how long an overruled single vote is ignored.
	overruledTTL = 10 * time.Second
	// observerRecoveryDelay is how long an observer must have been reachable
	// again before its new votes count.
	observerRecoveryDelay = time.Second
	// failedVoteTTL is how long the votes of a failed observer still count.
	failedVoteTTL = 2 * time.Second
	// ownContactTTL is how long a message received by this VM itself overrides
	// earlier votes against the sender.
	ownContactTTL = 3 * time.Second
)

// vote is one observer's accusation against one process of a VM.
type vote struct {
	observer, subject string
	boot              uint64
}

func compareVotes(a, b vote) int {
	if order := strings.Compare(a.subject, b.subject); order != 0 {
		return order
	}
	return strings.Compare(a.observer, b.observer)
}

// evaluate determines which VMs are suspected and which have failed. A vote is
// ignored if this VM itself has received a message from the subject since,
// within the last ownContactTTL.
func (m *Machine) evaluate(now time.Duration) {
	if len(m.accusing) == 0 && len(m.counted) == 0 && len(m.overruled) == 0 && m.suspectedCount == 0 {
		return
	}
	m.collectVotes(now)
	votesBySubject := make(map[string][]vote)
	for _, v := range slices.SortedFunc(maps.Keys(m.counted), compareVotes) {
		votesBySubject[v.subject] = append(votesBySubject[v.subject], v)
	}
	m.suspectedCount = 0
	for _, name := range m.names {
		m.evaluateMember(now, name, votesBySubject[name])
		if m.members[name].suspected {
			m.suspectedCount++
		}
	}
}

// collectVotes adds the new votes of reliable observers. It drops votes that
// were withdrawn, and those of an observer that failed more than failedVoteTTL
// ago.
func (m *Machine) collectVotes(now time.Duration) {
	current := make(map[vote]bool)
	for _, name := range slices.Sorted(maps.Keys(m.accusing)) {
		row := m.members[name]
		for _, accusation := range m.accusationsOf(name, row) {
			v := vote{observer: name, subject: accusation.GetName(), boot: accusation.GetBoot()}
			subject, present := m.members[v.subject]
			if !present || subject.record.GetBoot() != v.boot || v.subject == name {
				continue
			}
			current[v] = true
			if _, counted := m.counted[v]; !counted && m.reliable(now, row) {
				m.counted[v] = now
			}
		}
	}
	maps.DeleteFunc(m.counted, func(v vote, _ time.Duration) bool {
		observer, present := m.members[v.observer]
		expired := !present || (observer.failed && now-observer.failedAt > failedVoteTTL)
		return !current[v] || expired
	})
	maps.DeleteFunc(m.overruled, func(_ vote, until time.Duration) bool { return until <= now })
}

// accusationsOf returns a VM's accusations. This VM's own are taken from its
// watches rather than from its record.
func (m *Machine) accusationsOf(name string, row *member) []*fleetv1.Accusation {
	if name == m.options.Self.Name {
		return m.accusations()
	}
	return row.record.GetAccusations()
}

// reliable reports whether an observer's new votes count. An observer that was
// disconnected itself may return with outdated votes.
func (m *Machine) reliable(now time.Duration, observer *member) bool {
	if observer.vm.Name == m.options.Self.Name {
		return true
	}
	if observer.failed {
		return false
	}
	return observer.recoveredAt == 0 || now-observer.recoveredAt >= observerRecoveryDelay
}

func (m *Machine) evaluateMember(now time.Duration, name string, votes []vote) {
	row := m.members[name]
	if row.hasContact && now-row.lastContact <= ownContactTTL {
		votes = slices.DeleteFunc(votes, func(v vote) bool { return row.lastContact > m.counted[v] })
	}
	needed := 2
	if m.options.Mutations.FailOnSingleVote {
		needed = 1
	}
	failed := len(votes) >= needed
	suspected := failed || (len(votes) == 1 && m.singleVoteCounts(now, votes[0]))
	if failed && !row.failed {
		row.failedAt = now
		m.event(event.MemberFailed, "at least two observers get no messages", "vm", name)
	}
	if !failed && row.failed {
		row.recoveredAt = now
	}
	if suspected && !row.suspected && !failed {
		m.event(event.MemberSuspected, "one observer gets no messages", "vm", name, "observer", votes[0].observer)
	}
	if !suspected && row.suspected {
		m.event(event.MemberReturned, "no observer reports it unreachable", "vm", name)
	}
	if row.failed != failed || row.suspected != suspected {
		row.failed, row.suspected = failed, suspected
		m.markChanged()
	}
}

// singleVoteCounts reports whether the vote of one observer alone makes its
// subject suspected. If other observers exist and none confirms the vote, it
// expires after singleVoteTTL.
func (m *Machine) singleVoteCounts(now time.Duration, v vote) bool {
	if m.otherObservers(v) == 0 {
		return true
	}
	if until, overruled := m.overruled[v]; overruled && now < until {
		m.overruled[v] = now + overruledTTL
		return false
	}
	if now-m.counted[v] <= singleVoteTTL {
		return true
	}
	m.overruled[v] = now + overruledTTL
	m.event(event.SuspicionOverruled, "no second observer confirmed it", "vm", v.subject, "observer", v.observer)
	return false
}

// otherObservers counts the eligible VMs that could confirm a vote.
func (m *Machine) otherObservers(v vote) int {
	count := 0
	for _, name := range m.names {
		eligible := m.members[name].eligible() || name == m.options.Self.Name
		if eligible && name != v.observer && name != v.subject {
			count++
		}
	}
	return count
}
