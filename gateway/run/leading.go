package run

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/limit"
	"guavacrank.example/gateway/peer"
)

// yieldRetryDelay is the delay before a failed Yield call is repeated.
const yieldRetryDelay = 300 * time.Millisecond

// lead tracks the state of the leader election and, on the leader, runs the state
// machines and starts the calls that they request.
func (l *loop) lead() {
	now := l.clock()
	state := l.campaign.State()
	silence := now - state.LastContact
	switch {
	case state.Held && state.Term > l.term && silence < contactTimeout:
		l.term = state.Term
		l.startLeading(now)
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
	l.addMachines(now)
	l.sendBatches(now)
	l.endPredecessorsByMajority(now)
	isolated := 0
	for service, machine := range l.machines {
		machine.SetRenewOnly(silence > contactTimeout)
		machine.SetIsolationRuledOut(l.isolationRuledOut)
		machine.Tick(now)
		l.startCalls(service, machine)
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

// hasMajority says whether more than half of the daemons, including this one, have
// reported within majorityWindow.
func (l *loop) hasMajority(now time.Duration) bool {
	recent, all := 1, 1
	for vm, m := range l.members {
		if vm == l.self.VM || now-m.reportedAt > memberTimeout {
			continue
		}
		all++
		if now-m.reportedAt <= majorityWindow {
			recent++
		}
	}
	return 2*recent > all
}

// endPredecessorsByMajority marks earlier leaders as ended once more than two
// thirds of the daemons that were known at the election have reported to this
// leader. Daemons report to one leader only, so an earlier leader has lost its
// majority and stops within majorityWindow.
func (l *loop) endPredecessorsByMajority(now time.Duration) {
	reported := 0
	for _, m := range l.members {
		if m.reportedAt >= l.leadingSince {
			reported++
		}
	}
	if len(l.peersAtElection) == 0 || 3*reported <= 2*len(l.peersAtElection) {
		return
	}
	for service, machine := range l.machines {
		if len(machine.Predecessors()) > 0 {
			machine.PredecessorsEnded(now + majorityWindow + keys.CallTimeout)
			l.log.Event(event.PredecessorStopped, "more than two thirds of the daemons report to this leader", zap.String("service", service), zap.Int("reported", reported))
		}
	}
}

func (l *loop) startLeading(now time.Duration) {
	l.leading, l.leadingSince, l.isolationRuledOut = true, now, false
	l.peersAtElection = l.knownPeers
	clear(l.members)
	l.recordBatch.clear()
	l.serverListBatch.clear()
	l.pageBatch.clear()
	l.allocator = limit.NewAllocator()
	l.plan = distributionPlan{}
	l.nextReport = now
	l.leadingNow.Store(true)
	l.knownLeader = peer.Leadership{Leader: l.self, Term: uint64(l.term)}
	l.log.Event(event.LeadershipWon, "", zap.Uint64("term", uint64(l.term)))
	l.updateWatchers()
	l.announceLeadership()
	for _, machine := range l.machines {
		machine.Lead(now)
	}
	l.addMachines(now)
}

func (l *loop) stopLeading(cause string) {
	l.leading = false
	l.leadingNow.Store(false)
	for _, machine := range l.machines {
		machine.Stop()
	}
	l.log.Event(event.LeadershipLost, cause, zap.Uint64("term", uint64(l.term)))
}

// announceLeadership tells all known daemons that this one leads, because some of
// them may not learn it from the store.
func (l *loop) announceLeadership() {
	notified := map[string]bool{l.self.Address: true}
	message := l.knownLeader
	for _, address := range append(slices.Clone(l.knownPeers), l.settings.Seeds...) {
		if notified[address] {
			continue
		}
		notified[address] = true
		go func() {
			if _, err := l.peers.Follow(l.ctx, address, &message); err != nil {
				l.log.Event(event.PeerUnreachable, err.Error(), zap.String("peer", address))
			}
		}()
	}
}

func (a leaderAnnounced) apply(l *loop) { l.followLeader(a.leadership) }

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
		machine.Lead(now)
		l.machines[name] = machine
		if l.servers.known {
			machine.StepServers(now, l.servers.ofService(name), false)
		}
	}
}

// stopPredecessors asks earlier leaders to stop, until a response proves that they
// have. One call covers all services.
func (l *loop) stopPredecessors(machine *keys.Machine) {
	for _, leader := range machine.Predecessors() {
		if l.yieldPending[leader.Incarnation] {
			continue
		}
		l.yieldPending[leader.Incarnation] = true
		go func() {
			response, err := l.peers.Yield(l.ctx, leader.Address, &peer.YieldRequest{Incarnation: leader.Incarnation})
			if err != nil {
				sleep(l.ctx, yieldRetryDelay)
			}
			l.deliver(yieldDone{leader, response, err})
		}()
	}
}

func (y yieldDone) apply(l *loop) {
	delete(l.yieldPending, y.predecessor.Incarnation)
	if y.err != nil {
		return
	}
	cause, until := "the process has ended: another one responds at its address", l.clock()
	if y.response.Incarnation == y.predecessor.Incarnation {
		// Calls that it has already sent may still arrive.
		cause, until = "it confirmed that it has stopped", until+keys.CallTimeout
	}
	for _, machine := range l.machines {
		machine.PredecessorEnded(y.predecessor.Incarnation, until)
	}
	l.log.Event(event.PredecessorStopped, cause, zap.String("vm", y.predecessor.VM))
}

func (y yieldReceived) apply(l *loop) {
	if l.leading && y.incarnation == l.self.Incarnation {
		l.stopLeading("a later leader asked this one to stop leading")
	}
	close(y.done)
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
