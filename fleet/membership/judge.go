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
	// loneVoteLife is how long one observer alone keeps a VM suspected.
	loneVoteLife = 4 * time.Second
	// overruledLife is how long a lone vote that was overruled has no weight.
	overruledLife = 10 * time.Second
	// observerClear is how long an observer must have been in good standing
	// before a new vote of it counts.
	observerClear = time.Second
	// condemnedVoteLife is how long the votes of a condemned observer count.
	condemnedVoteLife = 2 * time.Second
	// hearingLife is how long this VM's own hearing outweighs earlier votes.
	hearingLife = 3 * time.Second
)

// vote is one observer's accusation of one process of a VM.
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

// judge works out who is suspected and who is condemned. A vote has no weight
// here while this VM itself has heard the subject since.
func (m *Machine) judge(now time.Duration) {
	if len(m.accusing) == 0 && len(m.counted) == 0 && len(m.overruled) == 0 && m.doubted == 0 {
		return
	}
	m.countVotes(now)
	tally := make(map[string][]vote)
	for _, v := range slices.SortedFunc(maps.Keys(m.counted), compareVotes) {
		tally[v.subject] = append(tally[v.subject], v)
	}
	m.doubted = 0
	for _, name := range m.names {
		m.judgeMember(now, name, tally[name])
		if m.members[name].suspected {
			m.doubted++
		}
	}
}

// countVotes takes the new votes of observers in good standing, and drops the
// withdrawn ones and those of observers that are condemned themselves.
func (m *Machine) countVotes(now time.Duration) {
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
			if _, counted := m.counted[v]; !counted && m.inGoodStanding(now, row) {
				m.counted[v] = now
			}
		}
	}
	maps.DeleteFunc(m.counted, func(v vote, _ time.Duration) bool {
		observer, present := m.members[v.observer]
		lapsed := !present || (observer.condemned && now-observer.condemnedAt > condemnedVoteLife)
		return !current[v] || lapsed
	})
	maps.DeleteFunc(m.overruled, func(_ vote, until time.Duration) bool { return until <= now })
}

// accusationsOf returns a VM's accusations; this VM's own need no record.
func (m *Machine) accusationsOf(name string, row *member) []*fleetv1.Accusation {
	if name == m.options.Self.Name {
		return m.accusations()
	}
	return row.record.GetAccusations()
}

// inGoodStanding reports whether an observer's new vote counts. Observers that
// were cut off themselves bring old votes when they return.
func (m *Machine) inGoodStanding(now time.Duration, observer *member) bool {
	if observer.vm.Name == m.options.Self.Name {
		return true
	}
	if observer.condemned {
		return false
	}
	return observer.clearedAt == 0 || now-observer.clearedAt >= observerClear
}

func (m *Machine) judgeMember(now time.Duration, name string, votes []vote) {
	row := m.members[name]
	if row.heard && now-row.heardAt <= hearingLife {
		votes = slices.DeleteFunc(votes, func(v vote) bool { return row.heardAt > m.counted[v] })
	}
	needed := 2
	if m.options.Mutations.FailOnSingleVote {
		needed = 1
	}
	condemned := len(votes) >= needed
	suspected := condemned || (len(votes) == 1 && m.loneVoteCounts(now, votes[0]))
	if condemned && !row.condemned {
		row.condemnedAt = now
		m.event(event.MemberCondemned, "two observers hear nothing", "vm", name)
	}
	if !condemned && row.condemned {
		row.clearedAt = now
	}
	if suspected && !row.suspected && !condemned {
		m.event(event.MemberSuspected, "one observer hears nothing", "vm", name, "observer", votes[0].observer)
	}
	if !suspected && row.suspected {
		m.event(event.MemberReturned, "no observer accuses it", "vm", name)
	}
	if row.condemned != condemned || row.suspected != suspected {
		row.condemned, row.suspected = condemned, suspected
		m.changed()
	}
}

// loneVoteCounts reports whether one observer alone suspects: only for a
// while, if others could have joined it.
func (m *Machine) loneVoteCounts(now time.Duration, v vote) bool {
	if m.otherObservers(v) == 0 {
		return true
	}
	if until, overruled := m.overruled[v]; overruled && now < until {
		m.overruled[v] = now + overruledLife
		return false
	}
	if now-m.counted[v] <= loneVoteLife {
		return true
	}
	m.overruled[v] = now + overruledLife
	m.event(event.SuspicionOverruled, "no second observer joined", "vm", v.subject, "observer", v.observer)
	return false
}

// otherObservers counts the usable VMs that could confirm a vote.
func (m *Machine) otherObservers(v vote) int {
	count := 0
	for _, name := range m.names {
		usable := m.members[name].usable() || name == m.options.Self.Name
		if usable && name != v.observer && name != v.subject {
			count++
		}
	}
	return count
}
