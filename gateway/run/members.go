package run

import (
	"sort"
	"time"

	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/succession"
)

// This file is what a leader knows of the fleet: the daemons that report to it, and their
// number. Different uses count differently: countMembers those that are active now, fleetSize
// also those that are known but have not reported yet, fleetAtElection those among which
// earlier leaders may have a majority.

// member is a daemon that reports to this leader.
type member struct {
	address    string
	process    string // Its incarnation.
	reportedAt time.Duration
	joinedAt   time.Duration // When this leader heard of it first.
	leftAt     time.Duration // From then on it has not reported to an earlier leader.
	startedAt  time.Duration // Of its process.
	// transit is how long the newest report may have been on its way.
	transit  time.Duration
	zone     string
	capacity float64
	// gaveUp says that it gave up the leadership at gaveUpAt, because most servers did
	// not answer.
	gaveUp   bool
	gaveUpAt time.Duration
}

// reporters returns what decisions on majorities need of the members.
func (l *loop) reporters() []succession.Reporter {
	all := make([]succession.Reporter, 0, len(l.members))
	for _, m := range l.members {
		all = append(all, l.reporter(m))
	}
	return all
}

// reporter returns the same of one member.
func (l *loop) reporter(m member) succession.Reporter {
	return succession.Reporter{ReportedAt: m.reportedAt, Transit: m.transit, StartedAt: m.startedAt, LeftAt: m.leftAt,
		JoinedAt: m.joinedAt, Address: m.address, Recorded: l.fleet.Has(m.address), MayBeRecorded: l.fleet.MayHave(m.address)}
}

// applyReport processes a daemon's report on the leader.
func (l *loop) applyReport(report *peer.Report) {
	now := l.clock()
	left, joined := l.leftAt(report, now), now
	if known, found := l.members[report.VM]; found {
		joined = known.joinedAt
	}
	l.members[report.VM] = member{
		address:    report.Address,
		process:    report.Incarnation,
		reportedAt: now,
		joinedAt:   joined,
		leftAt:     left,
		startedAt:  now - time.Duration(report.UptimeMS)*time.Millisecond,
		transit:    now - l.sentAfter(report),
		zone:       report.Zone,
		capacity:   report.Capacity,
		gaveUp:     report.GaveUp,
		gaveUpAt:   now - time.Duration(report.GaveUpAgoMS)*time.Millisecond,
	}
	for _, observation := range report.Limits {
		l.applyLimitObservation(now, observation)
	}
	l.applySamples(report)
	l.applyLeaving(now, report.Leaving)
	for service, requested := range report.RequestedKeys {
		if machine := l.machines[service]; machine != nil {
			machine.StepRequests(now, requested)
		}
	}
	for _, server := range l.reportsOfListed(report.Servers) {
		for _, machine := range l.machines {
			machine.StepLatency(server.ID, server.Responses, time.Duration(server.MeanMS*float64(time.Millisecond)))
		}
	}
}

// leftAt returns a time from which on the sender of a report, which has arrived now, has not
// reported to an earlier leader.
func (l *loop) leftAt(report *peer.Report, now time.Duration) time.Duration {
	if report.FirstLeader {
		return now - time.Duration(report.UptimeMS)*time.Millisecond
	}
	if known, found := l.members[report.VM]; found && known.reportedAt >= l.leadingSince && known.process == report.Incarnation {
		return known.leftAt
	}
	return now
}

// sentAfter returns a time, by this leader's clock, after which a report was sent: it was
// sent to this leader, and some time after this leader's last response to its sender. The
// reports that a frozen process finds in its buffers may be old.
func (l *loop) sentAfter(report *peer.Report) time.Duration {
	if report.AnsweredAtMS <= 0 {
		return l.leadingSince
	}
	return time.Duration(report.AnsweredAtMS+report.AnsweredAgoMS) * time.Millisecond
}

// reportsOfListed returns the reports of the servers whose present incarnations they are
// about.
func (l *loop) reportsOfListed(reports []peer.ServerReport) []peer.ServerReport {
	var listed []peer.ServerReport
	for _, report := range reports {
		if row := l.servers.rows[report.Incarnation]; row != nil && row.listed {
			listed = append(listed, report)
		}
	}
	return listed
}

// countMembers returns the number of active daemons. Until activeMemberTimeout after
// an election, when some may not have reported yet, it returns at least the number
// known before the election, or zero for unknown if none was known.
func (l *loop) countMembers(now time.Duration) int {
	count := 0
	for vm, m := range l.members {
		if now-m.reportedAt > memberTimeout {
			delete(l.members, vm)
		}
		if now-m.reportedAt <= activeMemberTimeout {
			count++
		}
	}
	if now-l.leadingSince >= activeMemberTimeout {
		return count
	}
	if len(l.peersAtElection) == 0 {
		return 0
	}
	return max(count, len(l.peersAtElection))
}

// memberAddresses returns the sorted addresses of the active daemons.
func (l *loop) memberAddresses() []string {
	addresses := make([]string, 0, len(l.members))
	for _, m := range l.members {
		if l.clock()-m.reportedAt <= activeMemberTimeout {
			addresses = append(addresses, m.address)
		}
	}
	sort.Strings(addresses)
	return addresses
}

// fleetAtElection returns the number of daemons that were known at the election, also by the
// pages of earlier leaders, or zero.
func (l *loop) fleetAtElection() int { return max(l.fleetByDaemons(), l.recordedFleet()) }

// fleetByDaemons returns the number of daemons that any daemon knew at the election, or zero.
func (l *loop) fleetByDaemons() int {
	if l.consultation == nil {
		return len(l.peersAtElection)
	}
	return max(len(l.peersAtElection), l.consultation.fleet)
}

// recordedFleet returns the largest size of the fleet that an ownership page records, or zero.
func (l *loop) recordedFleet() int {
	fleet := 0
	for _, held := range l.pages {
		fleet = max(fleet, held.page.Fleet)
	}
	for _, machine := range l.machines {
		if page := machine.Page(); page != nil {
			fleet = max(fleet, page.Fleet)
		}
	}
	return fleet
}

// fleetToRecord returns the number of daemons for the next page (keys.Machine.SetFleet), and
// whether this leader has led for so long that others count as lost.
func (l *loop) fleetToRecord(now time.Duration) (daemons int, complete bool) {
	if now-l.leadingSince < memberTimeout {
		return max(len(l.members), l.fleetByDaemons()), false
	}
	return len(l.members), true
}

// fleetSize returns the number of daemons, as far as it is known: soon after an election
// few of them have reported to this leader.
func (l *loop) fleetSize() int { return max(len(l.members), int(l.vms.Load())) }
