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
	// reportEvery is the least time between two reports to the leader, and
	// reportEach what each daemon of the fleet adds to it, so that the leader's
	// work does not grow with the fleet.
	reportEvery = 400 * time.Millisecond
	reportEach  = 8 * time.Millisecond
	// latencyEach is the same for what each report says of the servers' times,
	// which grows with their number.
	latencyEach = 33 * time.Millisecond
	// mostDoublings is how often the pause doubles after reports that failed.
	mostDoublings = 3
	// longestPause bounds the pause after failures, unless reports are rarer anyway.
	longestPause = 1500 * time.Millisecond
)

// mostAsked bounds the keys that one report lists for a service.
const mostAsked = 4000

// askedKeys gathers the keys that requests name. It is safe for concurrent use.
type askedKeys struct {
	mu        sync.Mutex
	byService map[string][]uint16
}

func newAskedKeys() *askedKeys { return &askedKeys{byService: make(map[string][]uint16)} }

// add notes one key.
func (a *askedKeys) add(service string, key uint16) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.byService[service]) < mostAsked {
		a.byService[service] = append(a.byService[service], key)
	}
}

// take returns the keys since the last call.
func (a *askedKeys) take() map[string][]uint16 {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.byService
	a.byService = make(map[string][]uint16)
	return taken
}

// report tells the leader what this VM saw; a leader tells itself.
func (l *loop) report(now time.Duration) {
	if now < l.reportAt || l.reporting {
		return
	}
	l.reportAt = now + l.reportPause()
	address := l.reportTo()
	if address == "" {
		return // Keys stay gathered until there is a leader.
	}
	report := l.makeReport()
	if l.leading {
		l.takeReport(report)
		l.takeVMs(l.countMembers(now))
		l.peersKnown = l.memberAddresses()
		l.chooseWatchers()
		return
	}
	l.reporting = true
	go func() {
		answer, err := l.peers.Report(l.ctx, address, report)
		l.deliver(reportAnswered{answer, err})
	}()
}

// reportInterval is the time between two reports.
func (l *loop) reportInterval() time.Duration {
	return max(reportEvery, time.Duration(l.vms.Load())*reportEach)
}

// reportPause is the time until the next report: spread among daemons, and longer
// after several failures, so that a leader that can't take them all at once is not
// asked by all at once again and again.
func (l *loop) reportPause() time.Duration {
	pause := l.reportInterval()
	if doublings := l.relay.failures - staleAnswers; doublings > 0 {
		pause = max(pause, min(pause<<min(doublings, mostDoublings), longestPause))
	}
	return pause + rand.N(pause/4)
}

// reportTo returns the leader's address, or that of a seed that may know it or
// have what this VM lacks: while the store is out of reach, and at the start.
func (l *loop) reportTo() string {
	leader, starting := l.leaderNow.Leader.Address, l.starting()
	ask := leader == "" && (starting || l.storeHealth.lost) || starting && l.relay.failures%2 == 1
	if l.leading || !ask || len(l.settings.Seeds) == 0 {
		return leader
	}
	l.seedNext++
	if seed := l.settings.Seeds[l.seedNext%len(l.settings.Seeds)]; seed != l.self.Address {
		return seed
	}
	return ""
}

// makeReport gathers what this VM saw since the last report.
func (l *loop) makeReport() *peer.Report {
	report := &peer.Report{
		VM:            l.self.VM,
		Incarnation:   l.self.Incarnation,
		Address:       l.self.Address,
		Zone:          l.settings.Zone,
		Capacity:      l.settings.Capacity(),
		Pages:         l.pageVersions(),
		MemberCount:   len(l.peersKnown),
		RequestedKeys: l.asked.take(),
		Servers:       l.serverReports(),
		Source:        l.relay.source,
		Revision:      l.relay.seen,
	}
	if l.configuration != nil {
		report.ConfigurationVersion = l.configuration.Version
	}
	report.WantConfiguration = l.configuration == nil || l.relay.stale > staleAnswers
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
	if now < l.latenciesAt {
		return nil
	}
	l.latenciesAt = now + time.Duration(l.vms.Load())*latencyEach
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

// takeReport takes a daemon's report while this VM leads.
func (l *loop) takeReport(report *peer.Report) {
	now := l.clock()
	l.members[report.VM] = member{report.Address, now, report.Zone, report.Capacity}
	for service, asked := range report.RequestedKeys {
		if machine := l.machines[service]; machine != nil {
			machine.StepRequests(now, asked)
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
		if now-m.at > fleetLife {
			delete(l.members, vm)
		}
		if now-m.at <= membersLife {
			count++
		}
	}
	if now-l.ledAt >= membersLife {
		return count
	}
	if len(l.fleetBefore) == 0 {
		return 0
	}
	return max(count, len(l.fleetBefore))
}

// memberAddresses returns the addresses of the daemons that reported lately.
func (l *loop) memberAddresses() []string {
	addresses := make([]string, 0, len(l.members))
	for _, m := range l.members {
		if l.clock()-m.at <= membersLife {
			addresses = append(addresses, m.address)
		}
	}
	sort.Strings(addresses)
	return addresses
}

// takeVMs takes the number of daemons of the fleet.
func (l *loop) takeVMs(vms int) {
	if vms > 0 && l.vms.Swap(int64(vms)) != int64(vms) {
		l.budget.SetVMs(vms)
		l.changed = true
	}
}

func (r reported) apply(l *loop) {
	if !l.leading {
		r.reply <- l.answerStarting(r.report)
		return
	}
	l.takeReport(r.report)
	r.reply <- l.answerReport(r.report)
}

func (r reportAnswered) apply(l *loop) {
	l.reporting = false
	if r.err == nil && r.answer.Leading {
		l.relay.failures = 0
		l.takeAnswer(r.answer)
		return
	}
	cause := "it does not lead any more"
	if r.err != nil {
		cause = r.err.Error()
	} else {
		l.follow(r.answer.KnownLeader)
		l.takeFromPeer(r.answer)
	}
	l.book.Event(event.PeerOutOfReach, cause, zap.String("leader", l.leaderNow.Leader.VM))
	if l.relay.failures++; l.relay.failures >= staleAnswers {
		l.nudgeLeader(l.clock())
	}
	if l.starting() {
		l.reportSoon()
		l.askWhileStarting()
	}
}

func (ticked) apply(l *loop) {
	l.report(l.clock())
	l.followStore()
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
	p.deliver(reported{report, reply})
	select {
	case answer := <-reply:
		return &answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errStopping
	}
}

// Follow implements peer.Service.
func (p peerService) Follow(_ context.Context, follow *peer.Leadership) (*peer.FollowResponse, error) {
	p.deliver(followAsked{*follow})
	return &peer.FollowResponse{}, nil
}

// Yield implements peer.Service.
func (p peerService) Yield(ctx context.Context, yield *peer.YieldRequest) (*peer.YieldResponse, error) {
	done := make(chan struct{})
	p.deliver(yieldAsked{yield.Incarnation, done})
	select {
	case <-done:
		return &peer.YieldResponse{Incarnation: p.self.Incarnation}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errStopping
	}
}
