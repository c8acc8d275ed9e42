package run

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
)

const (
	// minReportInterval is the minimum interval between two reports to the leader.
	// The interval is reportIntervalPerVM for each daemon if that is longer, so that
	// the leader's load does not grow with the fleet.
	minReportInterval   = 400 * time.Millisecond
	reportIntervalPerVM = 8 * time.Millisecond
	// latencyIntervalPerVM is the same for the response times of the servers, whose
	// size in a report grows with the number of servers.
	latencyIntervalPerVM = 33 * time.Millisecond
	// maxDelayDoublings is how often the delay doubles after failed reports.
	maxDelayDoublings = 3
	// maxReportDelay limits the delay after failed reports, unless the regular
	// interval is longer.
	maxReportDelay = 1500 * time.Millisecond
)

// maxVMs limits the number of daemons that a leader may report.
const maxVMs = 1 << 16

// report sends a report to the leader if one is due. The leader processes its own
// report directly.
func (l *loop) report(now time.Duration) {
	if now < l.nextReport || l.reportPending {
		return
	}
	l.nextReport = now + l.reportDelay()
	address := l.reportTarget()
	if address == "" {
		return // Keys are collected until there is a leader.
	}
	report := l.newReport()
	if l.leading {
		if !l.settled(now) {
			l.nextReport = now + minReportInterval
		}
		l.applyReport(report)
		l.setVMs(l.countMembers(now))
		l.setKnownPeers(l.memberAddresses())
		l.chooseStoreFollowers()
		l.applyAllotments(l.allocator.Allotments(now, l.reportInterval()))
		l.applyEstimates(l.estimate())
		return
	}
	l.reportPending, l.reportSentAt = true, now
	go func() {
		response, err := l.peers.Report(l.ctx, address, report)
		l.deliver(reportDone{response, err})
	}()
}

// reportInterval returns the regular interval between two reports.
func (l *loop) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(l.vms.Load())*reportIntervalPerVM)
}

// reportDelay returns the time until the next report. It contains random jitter and
// grows after several reports without a response, so that an overloaded leader does not
// get the reports of all daemons at the same time again and again. A daemon that responds
// without leading is not overloaded: it may be about to lead.
func (l *loop) reportDelay() time.Duration {
	delay := l.reportInterval()
	if doublings := l.reporting.unanswered - staleThreshold; doublings > 0 {
		delay = max(delay, min(delay<<min(doublings, maxDelayDoublings), maxReportDelay))
	}
	return delay + rand.N(delay/4)
}

// reportTarget returns the leader's address. At startup and while the store is
// unreachable it may return the address of a seed, which may know the leader or have
// the data that this VM lacks. It returns "" if there is no target.
func (l *loop) reportTarget() string {
	leader, starting := l.knownLeader.Leader.Address, l.starting()
	useSeed := leader == "" && (starting || l.storeHealth.lost) || starting && l.reporting.failures%2 == 1
	if l.leading || !useSeed || len(l.settings.Seeds) == 0 {
		return leader
	}
	l.nextSeed++
	if seed := l.settings.Seeds[l.nextSeed%len(l.settings.Seeds)]; seed != l.self.Address {
		return seed
	}
	return ""
}

// newReport creates a report with the observations since the last one.
func (l *loop) newReport() *peer.Report {
	report := l.newStatus()
	report.Leader = l.knownLeader
	if l.answered.clockMS > 0 {
		report.AnsweredAtMS, report.AnsweredAgoMS = l.answered.clockMS, (l.clock() - l.answered.arrivedAt).Milliseconds()
	}
	report.RequestedKeys = l.requestedKeys.take()
	report.Servers = l.serverReports()
	report.Samples, report.WantEstimates = l.takeSamples(), l.wantsEstimates()
	report.Limits = l.takeLimitObservations()
	report.Leaving = l.leavingServers()
	return report
}

// newStatus creates a report without observations.
func (l *loop) newStatus() *peer.Report {
	report := &peer.Report{
		VM:           l.self.VM,
		Incarnation:  l.self.Incarnation,
		UptimeMS:     (l.clock() - l.startedAt).Milliseconds(),
		FirstLeader:  !l.followedAnother,
		Address:      l.self.Address,
		Zone:         l.settings.Zone,
		Capacity:     l.settings.Capacity(),
		Pages:        l.pageStamps(),
		MemberCount:  len(l.knownPeers),
		ListBase:     l.list.Base(),
		FollowsStore: l.followsStore,
		Distribution: fingerprint(l.distribution),
	}
	if l.configuration != nil {
		report.ConfigurationVersion = l.configuration.Version
	}
	l.addGiveUp(report)
	report.WantConfiguration = l.configuration == nil || l.reporting.staleResponses > staleThreshold
	return report
}

// pageStamps returns the stamps of this VM's ownership pages.
func (l *loop) pageStamps() map[string]keys.Stamp {
	stamps := make(map[string]keys.Stamp, len(l.pages))
	for service, page := range l.pages {
		stamps[service] = page.page.Stamp
	}
	return stamps
}

// serverReports summarizes the responses of the servers of partitioned services.
func (l *loop) serverReports() []peer.ServerReport {
	now := l.clock()
	if now < l.nextLatencyReport {
		return nil
	}
	l.nextLatencyReport = now + time.Duration(l.vms.Load())*latencyIntervalPerVM
	var reports []peer.ServerReport
	for _, row := range l.servers.rows {
		if row.target == nil || l.configuration == nil || !l.configuration.Services[row.Service].Partitioned {
			continue
		}
		count, total := row.target.TakeResponseTimes()
		if count > 0 {
			mean := total / time.Duration(count)
			reports = append(reports, peer.ServerReport{Incarnation: row.Incarnation(), Responses: count, MeanMS: float64(mean.Microseconds()) / 1000})
		}
	}
	return reports
}

// leaderAnswer is when a leader's last response was sent, by the leader's clock, and when
// it arrived.
type leaderAnswer struct {
	clockMS   int64
	arrivedAt time.Duration
}

// setVMs sets the number of active daemons. Zero means unknown and is ignored.
func (l *loop) setVMs(vms int) {
	vms = min(vms, maxVMs)
	if vms > 0 && l.vms.Swap(int64(vms)) != int64(vms) {
		l.budget.SetVMs(vms)
		l.viewOutdated = true
	}
}

func (r reportReceived) apply(l *loop) {
	if r.report.ToFollower {
		r.reply <- l.followerResponse(r.report)
		return
	}
	if !l.leading {
		r.reply <- l.startupResponse(r.report)
		return
	}
	if r.report.Leader != l.knownLeader {
		r.reply <- peer.ReportResponse{KnownLeader: l.knownLeader, ConfirmedAgeMS: neverConfirmed}
		return
	}
	l.applyReport(r.report)
	l.learnNewerVersion(r.report)
	l.consultSender(r.report)
	r.reply <- l.leaderResponse(r.report)
}

func (r reportDone) apply(l *loop) {
	l.reportPending = false
	if r.err != nil {
		l.reporting.unanswered++
		l.reportFailed(r.err.Error())
		return
	}
	l.reporting.unanswered = 0
	switch {
	case !r.response.Leading:
		l.applyOtherResponse(r.response)
	case r.response.KnownLeader.Term.Before(l.knownLeader.Term):
		// The sender has followed a later leader since; the report to it is due.
	default:
		l.reporting.failures = 0
		l.applyLeaderResponse(r.response)
	}
}

// applyOtherResponse processes the response of a daemon that does not lead in the term
// for which the report was meant.
func (l *loop) applyOtherResponse(response *peer.ReportResponse) {
	followed := l.followLeader(response.KnownLeader)
	l.applyStartupResponse(response)
	l.confirmByPeer(response, l.reportSentAt)
	if followed {
		l.reportWhileStarting()
		return
	}
	l.reportFailed("the daemon at the leader's address is not the leader")
}

// reportFailed counts a report without a response of a leader.
func (l *loop) reportFailed(cause string) {
	l.log.Event(event.PeerUnreachable, cause, zap.String("leader", l.knownLeader.Leader.VM))
	if l.reporting.failures++; l.reporting.failures >= staleThreshold {
		l.relistLeader(l.clock())
	}
	l.askFollower()
	if l.starting() {
		l.scheduleReport()
		l.reportWhileStarting()
	}
}

func (tick) apply(l *loop) {
	l.noteAvailability(l.clock())
	l.report(l.clock())
	l.refreshList(l.clock())
	l.updateWatchers()
	l.servers.closeIdle(time.Now())
}
