package run

import (
	"time"

	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/peer"
)

// A leader to which most backend servers do not answer gives up the leadership, because
// another VM may reach them. If VMs that led before it have found the same, the servers
// themselves do not answer, for example because another writer listed servers that do not
// exist. The leader then stays and gives their keys to the others.

const (
	// isolationCheckDelay is how long a leader collects its own evidence and the reports
	// of others before it gives up.
	isolationCheckDelay = 1500 * time.Millisecond
	// isolationMemory is how long it counts that a VM gave up.
	isolationMemory = time.Minute
	// isolationWitnesses is the number of other VMs that rule out, by having given up,
	// that the fault is at the leader; fewer if there are not as many.
	isolationWitnesses = 2
)

// checkIsolation processes how many state machines find most of their servers
// unresponsive. It says whether this VM has to give up the leadership.
func (l *loop) checkIsolation(now time.Duration, isolated int) bool {
	if isolated == 0 {
		l.isolationRuledOut = false
		return false
	}
	if now-l.leadingSince < isolationCheckDelay {
		return false
	}
	l.isolationRuledOut = l.isolationRuledOut || l.othersGaveUp(now)
	if l.isolationRuledOut || isolated < len(l.machines) {
		return false
	}
	l.gaveUpAt = now
	l.campaign.SetPriority(l.priority(l.maxCapacity()))
	return true
}

// othersGaveUp says whether enough other VMs gave up the leadership recently, or there
// are none to take over.
func (l *loop) othersGaveUp(now time.Duration) bool {
	others, witnesses := 0, 0
	for vm, m := range l.members {
		if vm == l.self.VM {
			continue
		}
		others++
		if m.gaveUp && now-m.gaveUpAt < isolationMemory {
			witnesses++
		}
	}
	others = max(others, len(l.peersAtElection)-1)
	return witnesses >= min(isolationWitnesses, others)
}

// gaveUpAgo returns when this VM gave up the leadership last, false if it did not recently.
func (l *loop) gaveUpAgo() (ago time.Duration, recently bool) {
	ago = l.clock() - l.gaveUpAt
	return ago, l.gaveUpAt > 0 && ago < isolationMemory
}

// addGiveUp adds to a report when this VM gave up the leadership last.
func (l *loop) addGiveUp(report *peer.Report) {
	if ago, recently := l.gaveUpAgo(); recently {
		report.GaveUp, report.GaveUpAgoMS = true, ago.Milliseconds()
	}
}

// priority returns this VM's priority in the next election. One that gave up the leadership
// leaves it to those that have not tried. maxCapacity is that of hasLowCapacity.
func (l *loop) priority(maxCapacity float64) leader.Priority {
	_, gaveUp := l.gaveUpAgo()
	switch {
	case gaveUp:
		return leader.PriorityLast
	case hasLowCapacity(l.settings.Capacity(), maxCapacity):
		return leader.PriorityLow
	default:
		return leader.PriorityNormal
	}
}
