package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// newLeaderAmongNewcomers returns a loop that leads since 100 s, with a machine that waits
// for earlier leaders, and three daemons that reported at 100.2 s. They have started at
// 95 s and have followed no leader before.
func newLeaderAmongNewcomers(t *testing.T, now *time.Duration) (*loop, *keys.Machine) {
	l := newRestorationLoop(t)
	l.clock = func() time.Duration { return *now }
	*now = 100*time.Second - leader.LeaseTTL // Then the lease of the copy expires.
	l.enterEra(2)
	*now = 100 * time.Second
	l.members, l.knownPeers = make(map[string]member), []string{"a", "b", "c"}
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(*now)
	l.leaseEnd = *now + leader.LeaseTTL
	l.fleet.StepRead(nil, 0, 0) // No leader has recorded the fleet.
	machine := keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: time.Second, PredecessorTimeout: predecessorTimeout})
	l.machines["s"] = machine
	machine.Lead(*now, 2)
	machine.StepServers(*now, []model.Server{{ID: "i-1", Address: "a:1", Slots: 4}}, true)
	machine.StepRead(*now, page(keys.Stamp{Era: 1, Number: 9}), kvstore.Position{Era: 2, Version: 30})
	*now += 200 * time.Millisecond
	for _, vm := range l.knownPeers {
		l.applyReport(&peer.Report{VM: vm, Address: vm, UptimeMS: 5200, FirstLeader: true})
	}
	machine.StepConsulted(*now, keys.Consultation{Predecessors: []keys.Leader{unknownLeader}})
	return l, machine
}

// unknownHolderEndsAfter returns how long after the election the draft of the page has no
// unknown holders any more.
func unknownHolderEndsAfter(l *loop, machine *keys.Machine, now *time.Duration) time.Duration {
	version := kvstore.Version(30)
	for ; *now < l.leadingSince+20*time.Second; *now += 50 * time.Millisecond {
		machine.Tick(*now)
		write := machine.Ready().Write
		if write == nil {
			continue
		}
		if len(write.Page.Ranges[0].Prior) == 0 {
			break
		}
		version++
		machine.StepWritten(*now, write.Page.WriteID, kvstore.Position{Era: 2, Version: version}, nil)
	}
	return *now - l.leadingSince
}

func TestMajorityCountsFromWhenDaemonsLeftTheEarlierLeader(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	l, machine := newLeaderAmongNewcomers(t, &now)
	l.endPredecessorsByMajority(now)
	wait := contactTimeout + keys.MaxCallDelay + time.Second
	g.Expect(unknownHolderEndsAfter(l, machine, &now)).To(And(BeNumerically(">", wait), BeNumerically("<", wait+300*time.Millisecond)))
}

func TestMajorityCountsFromNowOnceALaterLeaderIsPossible(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	l, machine := newLeaderAmongNewcomers(t, &now)
	now = l.leaseEnd + time.Second
	wait := now + majorityWindow + keys.MaxCallDelay + time.Second - l.leadingSince
	l.endPredecessorsByMajority(now)
	g.Expect(unknownHolderEndsAfter(l, machine, &now)).To(BeNumerically(">", wait))
}

func TestMajorityCountsNewcomersThatReportLater(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	l, machine := newLeaderAmongNewcomers(t, &now)
	l.applyReport(&peer.Report{VM: "c", Incarnation: "survivor", Address: "c", UptimeMS: 60000})
	l.endPredecessorsByMajority(now)
	now += 300 * time.Millisecond
	l.applyReport(&peer.Report{VM: "d", Address: "d", UptimeMS: 5500, FirstLeader: true})
	l.endPredecessorsByMajority(now)
	wait := contactTimeout + keys.MaxCallDelay + time.Second
	g.Expect(unknownHolderEndsAfter(l, machine, &now)).To(BeNumerically("<", wait+300*time.Millisecond))
}

func TestMajorityDoesNotCountARestartedProcessFromTheStartOfTheOneBefore(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	l, _ := newLeaderAmongNewcomers(t, &now)
	g.Expect(l.members["a"].leftAt).To(Equal(95 * time.Second))
	now += time.Second
	l.applyReport(&peer.Report{VM: "a", Address: "a", UptimeMS: 6200})
	g.Expect(l.members["a"].leftAt).To(Equal(95*time.Second), "the same process")
	now += time.Second
	l.applyReport(&peer.Report{VM: "a", Incarnation: "later", Address: "a", UptimeMS: 500})
	g.Expect(l.members["a"].leftAt).To(Equal(now), "it may have followed an earlier leader")
}

func TestDaemonThatFollowedAnotherLeaderIsNoNewcomer(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.followLeader(peer.Leadership{Leader: keys.Leader{VM: "next", Incarnation: "next"}, Term: kvstore.Position{Era: 2, Version: 60}})
	g.Expect(l.newStatus().FirstLeader).To(BeTrue())
	l.followLeader(peer.Leadership{Leader: keys.Leader{VM: "later", Incarnation: "later"}, Term: kvstore.Position{Era: 2, Version: 70}})
	g.Expect(l.newStatus().FirstLeader).To(BeFalse())
}

func TestLeaderAfterTheLossOfAllDaemonsTakesTheSizeOfTheFleetFromThePage(t *testing.T) {
	for fleet, majority := range map[int]bool{0: false, 3: true, 4: true, 5: false, 12: false} {
		g := NewWithT(t)
		var now time.Duration
		l, machine := newLeaderAmongNewcomers(t, &now)
		l.peersAtElection, l.consultation.fleet = nil, 0
		stored := page(keys.Stamp{Era: 1, Number: 9})
		stored.Fleet = fleet
		l.applyPage("s", encoded(t, stored))
		l.endPredecessorsByMajority(now)
		wait := predecessorTimeout + time.Second
		if majority {
			wait = contactTimeout + keys.MaxCallDelay + time.Second
		}
		g.Expect(unknownHolderEndsAfter(l, machine, &now)).To(And(BeNumerically(">", wait), BeNumerically("<", wait+500*time.Millisecond)), "three of %d daemons", fleet)
	}
}

func TestLeaderThatHasJustStartedDoesNotCountTheOthersAsLost(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	l, _ := newLeaderAmongNewcomers(t, &now)
	l.peersAtElection = []string{"a", "b", "c", "d", "e", "f"}
	fleet, complete := l.fleetToRecord(now)
	g.Expect(fleet).To(Equal(6))
	g.Expect(complete).To(BeFalse())
	now += memberTimeout
	fleet, complete = l.fleetToRecord(now)
	g.Expect(fleet).To(Equal(3))
	g.Expect(complete).To(BeTrue())
}
