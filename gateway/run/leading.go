package run

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
)

// yieldEvery is the time between two questions to an earlier leader.
const yieldEvery = 300 * time.Millisecond

// lead follows the campaign and carries out what the machines want.
func (l *loop) lead() {
	now := l.clock()
	state := l.campaign.State()
	silent := now - state.LastContact
	switch {
	case state.Held && state.Term > l.term && silent < contactLife:
		l.term = state.Term
		l.startLeading(now)
	case l.leading && !state.Held:
		l.stopLeading("the leader's key is not held any more")
	case l.leading && silent > predecessorLife:
		l.stopLeading("the store was silent for too long")
	case l.leading && silent > contactLife && !l.hasMost(now):
		l.stopLeading("the store is silent and most daemons do not report")
	}
	if !l.leading {
		return
	}
	l.addMachines(now)
	l.sendLacking(now)
	l.outvotePredecessor(now)
	isolated := 0
	for service, machine := range l.machines {
		machine.SetRenewOnly(silent > contactLife)
		machine.Tick(now)
		l.carryOut(service, machine)
		l.askPredecessors(machine)
		if machine.Isolated() {
			isolated++
		}
	}
	if isolated > 0 && isolated == len(l.machines) && silent < contactLife {
		l.stopLeading("most backend servers are out of reach")
		go l.resign(false)
	}
}

// hasMost says whether more than half of the daemons reported within the
// window, this one included.
func (l *loop) hasMost(now time.Duration) bool {
	recent, all := 1, 1
	for vm, m := range l.members {
		if vm == l.self.VM || now-m.at > fleetLife {
			continue
		}
		all++
		if now-m.at <= reportWindow {
			recent++
		}
	}
	return 2*recent > all
}

// outvotePredecessor finds an earlier leader over when more than two thirds of
// the daemons that it knew have reported to this one: they do not report to an
// earlier leader any more, which then stops within its window.
func (l *loop) outvotePredecessor(now time.Duration) {
	reported := 0
	for _, m := range l.members {
		if m.at >= l.ledAt {
			reported++
		}
	}
	if len(l.fleetBefore) == 0 || 3*reported <= 2*len(l.fleetBefore) {
		return
	}
	for service, machine := range l.machines {
		if len(machine.Predecessors()) > 0 {
			machine.PredecessorsEnded(now + reportWindow + keys.CallTimeout)
			l.book.Event(event.PredecessorStopped, "most daemons report to this leader", zap.String("service", service), zap.Int("reported", reported))
		}
	}
}

func (l *loop) startLeading(now time.Duration) {
	l.leading, l.ledAt = true, now
	l.fleetBefore = l.peersKnown
	clear(l.members)
	l.lackRecord.clear()
	l.lackServers.clear()
	l.lackPages.clear()
	l.leadingNow.Store(true)
	l.leaderNow = peer.Leadership{Leader: l.self, Term: uint64(l.term)}
	l.book.Event(event.LeadershipWon, "", zap.Uint64("term", uint64(l.term)))
	l.followStore()
	l.announce()
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
	l.book.Event(event.LeadershipLost, cause, zap.Uint64("term", uint64(l.term)))
}

// announce tells all known daemons who leads: some may not hear it from the
// store.
func (l *loop) announce() {
	told := map[string]bool{l.self.Address: true}
	message := l.leaderNow
	for _, address := range append(slices.Clone(l.peersKnown), l.settings.Seeds...) {
		if told[address] {
			continue
		}
		told[address] = true
		go func() {
			if _, err := l.peers.Follow(l.ctx, address, &message); err != nil {
				l.book.Event(event.PeerOutOfReach, err.Error(), zap.String("peer", address))
			}
		}()
	}
}

func (f followAsked) apply(l *loop) { l.follow(f.follow) }

// resign gives the lease back. A failure is logged; the lease then runs out.
func (l *loop) resign(barred bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.campaign.Resign(ctx, barred); err != nil {
		l.book.Event(event.GatewayStoreLost, err.Error(), zap.String("calls", "resign"))
	}
}

// addMachines makes a machine for each service that is divided by key.
func (l *loop) addMachines(now time.Duration) {
	if l.configuration == nil {
		return
	}
	for name, service := range l.configuration.Services {
		if !service.Partitioned || l.machines[name] != nil {
			continue
		}
		machine := keys.NewMachine(keys.Options{Service: name, Self: l.self, GrantTTL: min(hold, l.settings.Bounds.MaxGrantTTL), MaxGrantTTL: min(mostHold, l.settings.Bounds.MaxGrantTTL), PredecessorTimeout: predecessorLife})
		machine.Lead(now)
		l.machines[name] = machine
		if l.servers.known {
			machine.StepServers(now, l.servers.of(name), false)
		}
	}
}

// askPredecessors asks the leaders that had the pages before to stop, until an
// answer proves that they have. One question serves all services.
func (l *loop) askPredecessors(machine *keys.Machine) {
	for _, leader := range machine.Predecessors() {
		if l.asking[leader.Incarnation] {
			continue
		}
		l.asking[leader.Incarnation] = true
		go func() {
			answer, err := l.peers.Yield(l.ctx, leader.Address, &peer.YieldRequest{Incarnation: leader.Incarnation})
			if err != nil {
				sleep(l.ctx, yieldEvery)
			}
			l.deliver(yielded{leader, answer, err})
		}()
	}
}

func (y yielded) apply(l *loop) {
	delete(l.asking, y.asked.Incarnation)
	if y.err != nil {
		return
	}
	cause, until := "it is over: another process answers there", l.clock()
	if y.answer.Incarnation == y.asked.Incarnation {
		// Calls that it had under way may still arrive.
		cause, until = "it was asked to stop", until+keys.CallTimeout
	}
	for _, machine := range l.machines {
		machine.PredecessorEnded(y.asked.Incarnation, until)
	}
	l.book.Event(event.PredecessorStopped, cause, zap.String("vm", y.asked.VM))
}

func (y yieldAsked) apply(l *loop) {
	if l.leading && y.incarnation == l.self.Incarnation {
		l.stopLeading("a later leader asked this one to stop")
	}
	close(y.done)
}

// A leader that the store does not answer renews on until the process ends:
// nobody else can be elected meanwhile.
func (s stopped) apply(l *loop) {
	l.stopping = true
	if l.ready.Swap(false) {
		l.book.Event(event.GatewayNotReady, "the process stops")
	}
	if l.leading && (s.last || l.clock()-l.campaign.State().LastContact <= contactLife) {
		l.stopLeading("the process stops")
		go l.resign(true)
	}
	close(s.done)
}
