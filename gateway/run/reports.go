package run

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/peer"
)

const (
	// minReportInterval is the least time between two reports to the leader, and
	// reportIntervalPerVM what each daemon of the fleet adds to it, so that the leader's
	// work does not grow with the fleet.
	minReportInterval   = 400 * time.Millisecond
	reportIntervalPerVM = 8 * time.Millisecond
	// latencyIntervalPerVM is the same for what each report says of the servers' times,
	// which grows with their number.
	latencyIntervalPerVM = 33 * time.Millisecond
	// maxDelayDoublings is how often the pause doubles after reports that failed.
	maxDelayDoublings = 3
	// maxReportDelay bounds the pause after failures, unless reports are rarer anyway.
	maxReportDelay = 1500 * time.Millisecond
)

// maxRequestedKeys bounds the keys that one report lists for a service.
const maxRequestedKeys = 4000

// requestedKeys gathers the keys that requests name. It is safe for concurrent use.
type requestedKeys struct {
	mu        sync.Mutex
	byService map[string][]uint16
}

func newRequestedKeys() *requestedKeys { return &requestedKeys{byService: make(map[string][]uint16)} }

// add notes one key.
func (a *requestedKeys) add(service string, key uint16) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.byService[service]) < maxRequestedKeys {
		a.byService[service] = append(a.byService[service], key)
	}
}

// take returns the keys since the last call.
func (a *requestedKeys) take() map[string][]uint16 {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.byService
	a.byService = make(map[string][]uint16)
	return taken
}

// report tells the leader what this VM saw; a leader tells itself.
func (l *loop) report(now time.Duration) {
	if now < l.nextReport || l.reportPending {
		return
	}
	l.nextReport = now + l.reportDelay()
	address := l.reportTarget()
	if address == "" {
		return // Keys stay gathered until there is a leader.
	}
	report := l.newReport()
	if l.leading {
		l.applyReport(report)
		l.setVMs(l.countMembers(now))
		l.knownPeers = l.memberAddresses()
		l.chooseStoreFollowers()
		return
	}
	l.reportPending = true
	go func() {
		response, err := l.peers.Report(l.ctx, address, report)
		l.deliver(reportDone{response, err})
	}()
}

// reportInterval is the time between two reports.
func (l *loop) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(l.vms.Load())*reportIntervalPerVM)
}

// reportDelay is the time until the next report: spread among daemons, and longer
// after several failures, so that a leader that can't take them all at once is not
// asked by all at once again and again.
func (l *loop) reportDelay() time.Duration {
	pause := l.reportInterval()
	if doublings := l.relay.reportFailures - staleThreshold; doublings > 0 {
		pause = max(pause, min(pause<<min(doublings, maxDelayDoublings), maxReportDelay))
	}
	return pause + rand.N(pause/4)
}

// reportTarget returns the leader's address, or that of a seed that may know it or
// have what this VM lacks: while the store is out of reach, and at the start.
func (l *loop) reportTarget() string {
	leader, starting := l.knownLeader.Leader.Address, l.starting()
	ask := leader == "" && (starting || l.storeHealth.lost) || starting && l.relay.reportFailures%2 == 1
	if l.leading || !ask || len(l.settings.Seeds) == 0 {
		return leader
	}
	l.nextSeed++
	if seed := l.settings.Seeds[l.nextSeed%len(l.settings.Seeds)]; seed != l.self.Address {
		return seed
	}
	return ""
}

// newReport gathers what this VM saw since the last report.
func (l *loop) newReport() *peer.Report {
	report := &peer.Report{
		VM:            l.self.VM,
		Incarnation:   l.self.Incarnation,
		Address:       l.self.Address,
		Zone:          l.settings.Zone,
		Capacity:      l.settings.Capacity(),
		Pages:         l.pageVersions(),
		MemberCount:   len(l.knownPeers),
		RequestedKeys: l.requestedKeys.take(),
		Servers:       l.serverReports(),
		Source:        l.relay.source,
		Revision:      l.relay.seenRevision,
	}
	if l.configuration != nil {
		report.ConfigurationVersion = l.configuration.Version
	}
	report.WantConfiguration = l.configuration == nil || l.relay.staleResponses > staleThreshold
	return report
}

// pageVersions returns the versions of the pages that this VM has.
func (l *loop) pageVersions() map[string]uint64 {
	versions := make(map[string]uint64, len(l.pages))
	for service, seen := range l.pages {
		versions[service] = uint64(seen.version)
	}
	return versions
}

// serverReports tells how the servers of services divided by key answered.
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
			reports = append(reports, peer.ServerReport{ID: row.ID, Responses: count, MeanMS: float64(mean.Microseconds()) / 1000})
		}
	}
	return reports
}

// applyReport takes a daemon's report while this VM leads.
func (l *loop) applyReport(report *peer.Report) {
	now := l.clock()
	l.members[report.VM] = member{report.Address, now, report.Zone, report.Capacity}
	for service, requestedKeys := range report.RequestedKeys {
		if machine := l.machines[service]; machine != nil {
			machine.StepRequests(now, requestedKeys)
		}
	}
	for _, server := range report.Servers {
		for _, machine := range l.machines {
			machine.StepLatency(server.ID, server.Responses, time.Duration(server.MeanMS*float64(time.Millisecond)))
		}
	}
}

// countMembers returns the number of daemons that reported lately. Shortly after
// leading began not all have had the time: then it is not below what was known
// before, and zero, for unknown, if nothing was.
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

// memberAddresses returns the addresses of the daemons that reported lately.
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

// setVMs takes the number of daemons of the fleet.
func (l *loop) setVMs(vms int) {
	if vms > 0 && l.vms.Swap(int64(vms)) != int64(vms) {
		l.budget.SetVMs(vms)
		l.viewOutdated = true
	}
}

func (r reportReceived) apply(l *loop) {
	if !l.leading {
		r.reply <- l.startupResponse(r.report)
		return
	}
	l.applyReport(r.report)
	r.reply <- l.leaderResponse(r.report)
}

func (r reportDone) apply(l *loop) {
	l.reportPending = false
	if r.err == nil && r.response.Leading {
		l.relay.reportFailures = 0
		l.applyLeaderResponse(r.response)
		return
	}
	cause := "it does not lead any more"
	if r.err != nil {
		cause = r.err.Error()
	} else {
		l.followLeader(r.response.KnownLeader)
		l.applyStartupResponse(r.response)
	}
	l.log.Event(event.PeerOutOfReach, cause, zap.String("leader", l.knownLeader.Leader.VM))
	if l.relay.reportFailures++; l.relay.reportFailures >= staleThreshold {
		l.relistLeader(l.clock())
	}
	if l.starting() {
		l.scheduleReport()
		l.reportWhileStarting()
	}
}

func (tick) apply(l *loop) {
	l.report(l.clock())
	l.updateWatchers()
	l.servers.closeIdle(time.Now())
}

// errStopping refuses peers' calls while the process stops.
var errStopping = errors.New("the process stops")

// peerService answers peers' calls through the loop.
type peerService struct{ *loop }

var _ peer.Service = peerService{}

// Report implements peer.Service.
func (p peerService) Report(ctx context.Context, report *peer.Report) (*peer.ReportResponse, error) {
	reply := make(chan peer.ReportResponse, 1)
	p.deliver(reportReceived{report, reply})
	select {
	case response := <-reply:
		return &response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errStopping
	}
}

// Follow implements peer.Service.
func (p peerService) Follow(_ context.Context, leadership *peer.Leadership) (*peer.FollowResponse, error) {
	p.deliver(leaderAnnounced{*leadership})
	return &peer.FollowResponse{}, nil
}

// Yield implements peer.Service.
func (p peerService) Yield(ctx context.Context, yield *peer.YieldRequest) (*peer.YieldResponse, error) {
	done := make(chan struct{})
	p.deliver(yieldReceived{yield.Incarnation, done})
	select {
	case <-done:
		return &peer.YieldResponse{Incarnation: p.self.Incarnation}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errStopping
	}
}
