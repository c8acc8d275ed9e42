package run

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/limit"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/succession"
)

// yieldRetryDelay is the delay before a failed Yield call is repeated.
const yieldRetryDelay = 300 * time.Millisecond

// lead tracks the state of the leader election and, on the leader, runs the state
// machines and starts the calls that they request.
func (l *loop) lead() {
	now := l.clock()
	state := l.campaign.State()
	l.leaseEnd, l.leaseTTL = state.LeaseEnd, state.LeaseEnd-state.LastContact
	silence := now - state.LastContact
	switch {
	case state.Held && l.term.Before(state.Term) && silence < contactTimeout:
		l.term = state.Term
		l.startLeading(now)
	case !l.leading && state.Held && l.term == state.Term && silence < contactTimeout:
		go l.resign(false) // It stopped leading, but its lease lives on: the next leader needs the key.
	case l.leading && !state.Held:
		l.stopLeading("the lease on the leader's key was lost")
	case l.leading && silence > predecessorTimeout:
		l.stopLeading("the store was unreachable for too long")
	case l.leading && silence > contactTimeout && !l.hasMajority(now):
		l.stopLeading("the store is unreachable and fewer than half of the daemons report to this leader")
	}
	if !l.leading {
		return
	}
	if state.Term == l.term {
		l.lastContact = state.LastContact
	}
	l.addMachines(now)
	l.sendBatches(now)
	l.keepFleetRecord(now, silence < contactTimeout)
	l.endPredecessorsByMajority(now)
	l.decideConsultation(now)
	isolated := 0
	fleet, complete := l.fleetToRecord(now)
	for service, machine := range l.machines {
		machine.SetRenewOnly(silence > contactTimeout || l.term.Era < l.era)
		machine.SetIsolationRuledOut(l.isolationRuledOut)
		machine.SetFleet(fleet, complete)
		machine.Tick(now)
		l.startCalls(service, machine, now)
		l.stopPredecessors(machine)
		if machine.Isolated() {
			isolated++
		}
	}
	if silence < contactTimeout && l.checkIsolation(now, isolated) {
		l.stopLeading("most backend servers are unreachable from this VM")
		go l.resign(false)
	}
}

// hasMajority says whether enough daemons report to this leader to go on without the store.
func (l *loop) hasMajority(now time.Duration) bool {
	var others []succession.Reporter
	for vm, m := range l.members {
		if vm != l.self.VM {
			others = append(others, l.reporter(m))
		}
	}
	return succession.HasMajority(now, l.leaseEnd, others)
}

// endPredecessorsByMajority marks earlier leaders as ended once more than two thirds of the
// daemons that they may count have reported to this leader. Daemons report to one leader
// only, so an earlier leader has lost its majority and stops within majorityWindow, or once
// its last contact to the store, which was before the election, is contactTimeout ago.
func (l *loop) endPredecessorsByMajority(now time.Duration) {
	if now-l.leadingSince > predecessorTimeout && !l.awaitsPredecessors() {
		return
	}
	election, known := l.election()
	left, reported, majority := election.Left(l.reporters())
	if !known || !majority {
		return
	}
	for service, machine := range l.machines {
		stopped := election.StoppedBy(now, left, contactTimeout, l.leadsLast(service, now))
		if len(machine.Predecessors()) > 0 {
			l.log.Event(event.PredecessorStopped, "more than two thirds of the daemons report to this leader", zap.String("service", service), zap.Int("reported", reported))
		}
		machine.PredecessorsOutvoted(stopped + keys.MaxCallDelay)
	}
}

// awaitsPredecessors reports whether earlier leaders may still send grants.
func (l *loop) awaitsPredecessors() bool {
	for _, machine := range l.machines {
		if len(machine.Predecessors()) > 0 {
			return true
		}
	}
	return false
}

// election returns what is known of the own election, and false until the fleet record was
// read. Where earlier leaders may have counted by another record than the one that was read,
// since there is none or the store was restored since, all daemons count.
func (l *loop) election() (election succession.Election, known bool) {
	election = succession.Election{At: l.leadingSince, LostLeasesEnd: l.lostLeasesEnd(), Fleet: l.fleetAtElection()}
	if l.fleet.Size() > 0 && l.fleet.Era() == l.term.Era && l.term.Era == l.era {
		election.Fleet, election.Recorded = l.fleet.Size(), true
	}
	return election, l.fleet.Known()
}

// lostLeasesEnd returns when all leases that were lost with a restoration of the store
// would have ended. They were renewed for the last time before it.
func (l *loop) lostLeasesEnd() time.Duration {
	return l.eraKnownSince + max(leader.LeaseTTL, l.leaseTTL)
}

// leadsLast reports that no later leader can have been elected and have written the page.
func (l *loop) leadsLast(service string, now time.Duration) bool {
	page := l.pages[service]
	return now <= l.leaseEnd && l.term.Era == l.era && (page == nil || page.page.Era <= l.term.Era)
}

// startLeading begins a term. A leader whose term ended with a restoration of the store
// goes on with what it knows.
func (l *loop) startLeading(now time.Duration) {
	l.enterEra(l.term.Era)
	l.knewPagesAtEnd = l.knewNewestPages()
	l.leadingSince, l.peersAtElection, l.isolationRuledOut = now, l.knownPeers, false
	l.fleet.Begin()
	if !l.leading {
		l.resetFleet(now)
	}
	l.leading, l.lastContact = true, 0
	l.witness(l.term)
	l.leadingNow.Store(true)
	l.setKnownLeader(peer.Leadership{Leader: l.self, Term: l.term})
	l.log.Event(event.LeadershipWon, "", zap.Uint64("era", uint64(l.term.Era)), zap.Uint64("term", uint64(l.term.Version)))
	l.updateWatchers()
	l.startConsultation(now)
	for service, machine := range l.machines {
		machine.KnowLostGrants(l.lostGrants(service))
		machine.KnowPriorGrants(l.priorGrants(service))
		machine.Lead(now, l.term.Era)
	}
	l.noteImpairedZones(l.leadersImpaired)
	l.addMachines(now)
	l.beginAnnouncements()
}

// resetFleet forgets what an earlier leadership of this process knew of the fleet.
func (l *loop) resetFleet(now time.Duration) {
	l.nextReport = now
	clear(l.members)
	l.recordBatch.clear()
	l.serverListBatch.clear()
	l.pageBatch.clear()
	l.allocator = limit.NewAllocator()
	l.learning.start(now)
	l.plan = distributionPlan{}
}

func (l *loop) stopLeading(cause string) {
	l.knewPagesAtEnd = l.knewNewestPages()
	l.leading = false
	l.leadingNow.Store(false)
	l.leadersImpaired = l.impairedZones()
	for _, machine := range l.machines {
		machine.Stop()
	}
	l.log.Event(event.LeadershipLost, cause, zap.Uint64("era", uint64(l.term.Era)), zap.Uint64("term", uint64(l.term.Version)))
}

// resign gives up the lease. If that fails, the lease expires by itself.
func (l *loop) resign(barred bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.campaign.Resign(ctx, barred); err != nil {
		l.log.Event(event.GatewayStoreLost, err.Error(), zap.String("calls", "resign"))
	}
}

// addMachines creates a state machine for each partitioned service.
func (l *loop) addMachines(now time.Duration) {
	if l.configuration == nil {
		return
	}
	for name, service := range l.configuration.Services {
		if !service.Partitioned || l.machines[name] != nil {
			continue
		}
		machine := keys.NewMachine(keys.Options{Service: name, Self: l.self, GrantTTL: min(grantTTL, l.settings.Bounds.MaxGrantTTL), MaxGrantTTL: min(maxGrantTTL, l.settings.Bounds.MaxGrantTTL), PredecessorTimeout: predecessorTimeout})
		machine.KnowLostGrants(l.lostGrants(name))
		machine.KnowPriorGrants(l.priorGrants(name))
		machine.Lead(now, l.term.Era)
		machine.PredecessorImpaired(l.leadersImpaired)
		l.machines[name] = machine
		if l.servers.known {
			machine.SetWarmUpRate(service.WarmUpRate)
			machine.StepServers(now, l.possibleOwners(name), false)
		}
	}
}

// stopPredecessors asks earlier leaders to stop, until a response proves that they
// have. One call covers all services.
func (l *loop) stopPredecessors(machine *keys.Machine) {
	for _, leader := range machine.Predecessors() {
		l.askToYield(leader)
	}
}

// askToYield asks an earlier leader to stop, unless a call to it is pending or its address
// is unknown.
func (l *loop) askToYield(leader keys.Leader) {
	if l.yieldPending[leader.Incarnation] || leader.Address == "" {
		return
	}
	l.yieldPending[leader.Incarnation] = true
	request := &peer.YieldRequest{Incarnation: leader.Incarnation, Successor: peer.Leadership{Leader: l.self, Term: l.term}, Pages: l.pageStamps()}
	go func() {
		response, err := l.peers.Yield(l.ctx, leader.Address, request)
		done := yieldDone{leader, request.Successor.Term, response, err}
		if !done.resolved() {
			sleep(l.ctx, yieldRetryDelay)
		}
		l.deliver(done)
	}()
}

// resolved says whether the call need not be repeated.
func (y yieldDone) resolved() bool {
	return y.err == nil && (y.response.Refused || y.proof() != succession.ProofNone)
}

// proof returns what the response proves.
func (y yieldDone) proof() succession.Proof {
	return succession.ProofOf(y.predecessor, y.response.VM, y.response.Incarnation)
}

func (y yieldDone) apply(l *loop) {
	delete(l.yieldPending, y.predecessor.Incarnation)
	if y.err != nil {
		return
	}
	l.followLeader(y.response.KnownLeader)
	if y.response.Refused {
		return
	}
	l.applyPages(y.response.Pages)
	if y.term != l.term {
		return // The predecessor may have led again since.
	}
	if proof := y.proof(); proof != succession.ProofNone {
		l.noteImpairedZones(y.response.ImpairedZones)
		l.endPredecessor(y.predecessor, proof, y.lastArrival(l.clock()))
	}
	l.noteYield(y)
}

// lastArrival returns the time by which all calls of the earlier leader have arrived.
func (y yieldDone) lastArrival(now time.Duration) time.Duration {
	return y.proof().LastArrival(now, time.Duration(y.response.UptimeMS)*time.Millisecond)
}

// noteImpairedZones records the zones that an earlier leader found impaired.
func (l *loop) noteImpairedZones(zones []string) {
	for _, machine := range l.machines {
		machine.PredecessorImpaired(zones)
	}
}

// impairedZones returns the zones that any service's machine has found impaired.
func (l *loop) impairedZones() []string {
	var zones []string
	for _, machine := range l.machines {
		zones = append(zones, machine.ImpairedZones(l.clock())...)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// endPredecessor records that an earlier leader sends no more grants, and that its last
// one arrives by the given time.
func (l *loop) endPredecessor(leader keys.Leader, proof succession.Proof, by time.Duration) {
	for _, machine := range l.machines {
		machine.PredecessorEnded(leader.Incarnation, by)
	}
	l.log.Event(event.PredecessorStopped, string(proof), zap.String("vm", leader.VM))
}

func (y yieldReceived) apply(l *loop) {
	response := peer.YieldResponse{
		VM:          l.self.VM,
		Incarnation: l.self.Incarnation,
		UptimeMS:    (l.clock() - l.startedAt).Milliseconds(),
		KnownLeader: l.knownLeader,
	}
	response.Refused = l.leading && y.request.Successor.Term.Before(l.term)
	if y.request.Incarnation == l.self.Incarnation && !response.Refused {
		l.yield(y.request, &response)
	}
	y.reply <- response
}

// yield stops leading and tells the successor what it may not know.
func (l *loop) yield(request *peer.YieldRequest, response *peer.YieldResponse) {
	response.FormerLeader = l.leaderBefore(request.Successor.Term.Era)
	response.NewestPages = l.knewNewestPages() && response.FormerLeader.Leader == l.self
	response.ImpairedZones = l.impairedZones()
	response.Pages, response.Members = l.pagesFor(request.Pages), l.memberAddresses()
	if l.leading {
		l.stopLeading("a later leader asked this one to stop leading")
	}
	l.followLeader(request.Successor)
}

// A leader without contact to the store keeps renewing grants until the process
// ends, since no other leader can be elected meanwhile.
func (s stopRequested) apply(l *loop) {
	l.stopping = true
	if l.ready.Swap(false) {
		l.log.Event(event.GatewayNotReady, "the process is stopping")
	}
	if l.leading && (s.last || l.clock()-l.campaign.State().LastContact <= contactTimeout) {
		l.stopLeading("the process is stopping")
		go l.resign(true)
	}
	close(s.done)
}
