package run

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// leaseStore grants a lease and a key. While it is paused it does not answer, and the
// lease does not expire.
type leaseStore struct {
	port.Store
	mu     sync.Mutex
	paused bool
}

func (s *leaseStore) GrantLease(context.Context, time.Duration) (kvstore.Lease, error) {
	return kvstore.Lease{ID: 7, TTL: time.Second, Era: 1}, nil
}

func (s *leaseStore) CompareAndSwap(context.Context, string, kvstore.Version, []byte, kvstore.LeaseID) (kvstore.Position, error) {
	return kvstore.Position{Era: 1, Version: 50}, nil
}

func (s *leaseStore) KeepAlive(context.Context, kvstore.LeaseID) (kvstore.Era, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused {
		return 0, &kvstore.Error{Kind: kvstore.KindUnavailable}
	}
	return 1, nil
}

func (s *leaseStore) Get(context.Context, string) (kvstore.Entry, error) {
	return kvstore.Entry{}, &kvstore.Error{Kind: kvstore.KindUnavailable}
}

func (s *leaseStore) Revoke(context.Context, kvstore.LeaseID) error { return nil }

func (s *leaseStore) pause(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
}

// newElectedLoop returns a loop that leads in era 1.
func newElectedLoop(t *testing.T) (*loop, *leaseStore) {
	l := newRestorationLoop(t)
	began := time.Now()
	l.clock = func() time.Duration { return time.Since(began) + 5*time.Second }
	store := &leaseStore{}
	l.store = store
	l.campaign = leader.New(leader.Options{Store: store, Key: leaderKey, Clock: l.clock, EraOf: recordEra,
		Value: func(era kvstore.Era) []byte { return encodeLeader(l.self, era) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.campaign.Run(ctx)
	l.campaign.Observe(nil, kvstore.Position{Era: 1, Version: 1})
	for range 100 {
		time.Sleep(10 * time.Millisecond)
		if l.lead(); l.leading {
			return l, store
		}
	}
	t.Fatal("not elected")
	return nil, nil
}

// holdsUnused says whether the loop still holds the leader's key after some time although
// it does not lead.
func holdsUnused(l *loop) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if l.lead(); l.leading || !l.campaign.State().Held {
			return false
		}
	}
	return true
}

func TestLeaderThatStoppedGivesUpALeaseThatOutlivedAnOutage(t *testing.T) {
	g := NewWithT(t)
	l, store := newElectedLoop(t)
	for _, vm := range []string{"b", "c", "d"} {
		l.members[vm] = member{reportedAt: l.clock() - 3*time.Second}
	}
	store.pause(true)
	time.Sleep(contactTimeout + 300*time.Millisecond)
	l.lead()
	g.Expect(l.leading).To(BeFalse(), "no majority")
	store.pause(false)
	g.Expect(holdsUnused(l)).To(BeFalse())
}

func TestLeaderThatYieldedGivesUpItsLease(t *testing.T) {
	g := NewWithT(t)
	l, _ := newElectedLoop(t)
	reply := make(chan peer.YieldResponse, 1)
	later := peer.Leadership{Leader: keys.Leader{VM: "later", Incarnation: "later"}, Term: kvstore.Position{Era: 1, Version: 70}}
	yieldReceived{&peer.YieldRequest{Incarnation: l.self.Incarnation, Successor: later}, reply}.apply(l)
	g.Expect((<-reply).Refused).To(BeFalse())
	g.Expect(l.leading).To(BeFalse())
	g.Expect(holdsUnused(l)).To(BeFalse())
}

func TestLeaderDoesNotYieldToAnEarlierOne(t *testing.T) {
	g := NewWithT(t)
	l, _ := newElectedLoop(t)
	reply := make(chan peer.YieldResponse, 1)
	earlier := peer.Leadership{Leader: keys.Leader{VM: "earlier", Incarnation: "earlier"}, Term: kvstore.Position{Era: 1, Version: 20}}
	yieldReceived{&peer.YieldRequest{Incarnation: l.self.Incarnation, Successor: earlier}, reply}.apply(l)
	response := <-reply
	g.Expect(response.Refused).To(BeTrue())
	g.Expect(response.KnownLeader.Leader).To(Equal(l.self))
	g.Expect(l.leading).To(BeTrue())
}

func TestFormerLeaderThatKnowsALaterOneDoesNotVouchForItsPages(t *testing.T) {
	g := NewWithT(t)
	l, _ := newElectedLoop(t)
	l.knewPagesAtEnd = true
	later := peer.Leadership{Leader: keys.Leader{VM: "later", Incarnation: "later"}, Term: kvstore.Position{Era: 1, Version: 70}}
	l.followLeader(later)
	l.knewPagesAtEnd = true
	reply := make(chan peer.YieldResponse, 1)
	successor := peer.Leadership{Leader: keys.Leader{VM: "next", Incarnation: "next"}, Term: kvstore.Position{Era: 2, Version: 30}}
	yieldReceived{&peer.YieldRequest{Incarnation: l.self.Incarnation, Successor: successor}, reply}.apply(l)
	response := <-reply
	g.Expect(response.NewestPages).To(BeFalse())
	g.Expect(response.FormerLeader).To(Equal(later), "the successor has to ask it")
}

func TestLeaderWithoutAConfigurationDoesNotVouchForPages(t *testing.T) {
	g := NewWithT(t)
	l, _ := newElectedLoop(t)
	g.Expect(l.configuration).To(BeNil())
	g.Expect(l.knewNewestPages()).To(BeFalse(), "it doesn't know which services have pages")
}

func TestPageOfALeaderThatNobodyNamesIsNotConfirmed(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	c := &consultation{term: kvstore.Position{Era: 2, Version: 60}, members: 2, asked: map[string]bool{"x": false}, waiting: map[string]bool{}}
	l.consultation = c
	known := peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last"}, Term: kvstore.Position{Era: 1, Version: 50}}
	c.note(known, 2)
	c.note(known, 2)
	c.lastYielded = true
	l.applyPage("s", encoded(t, page(keys.Stamp{Era: 1, Number: 8})))
	g.Expect(l.consultationResult("s", c.confirmed(l.self)).Confirmed).To(BeTrue())
	later := page(keys.Stamp{Era: 1, Number: 9})
	later.Writer = keys.Leader{VM: "later", Incarnation: "later"}
	l.applyPage("s", encoded(t, later))
	g.Expect(l.consultationResult("s", c.confirmed(l.self)).Confirmed).To(BeFalse())
}

func TestRestartedDaemonsDoNotConfirmTheLeaderOfTheCopy(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.enterEra(2)
	copied := keys.Leader{VM: "copied", Incarnation: "copied", Address: "127.0.0.1:2"}
	watchResult{prefix: leaderKey, full: true, era: 2, entries: []kvstore.Entry{{Key: leaderKey, Value: encodeLeader(copied, 1), Version: 20, Era: 2}}}.apply(l)
	restarted := httptest.NewServer(peer.NewHandler(informedPeer{follow: peer.FollowResponse{MemberCount: 2}}, nil))
	t.Cleanup(restarted.Close)
	l.knownPeers = []string{restarted.Listener.Addr().String()}
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(l.clock())
	(<-l.inputs).apply(l)
	g.Expect(l.consultation.informed).To(BeZero())
	g.Expect(l.consultation.confirmed(l.self)).To(BeFalse())
}

func TestFormerLeaderThatLeadsAgainVouchesForItsOwnPages(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.machines["s"] = keys.NewMachine(keys.Options{Service: "s", Self: l.self})
	own := peer.Leadership{Leader: l.self, Term: kvstore.Position{Era: 1, Version: 50}}
	c := &consultation{term: kvstore.Position{Era: 2, Version: 60}, members: 1, asked: map[string]bool{}, waiting: map[string]bool{}}
	l.consultation = c
	c.note(own, 1)
	g.Expect(l.consultationResult("s", c.confirmed(l.self)).Confirmed).To(BeFalse(), "it did not know the newest pages")
	l.knewPagesAtEnd = true
	g.Expect(l.consultationResult("s", c.confirmed(l.self)).Confirmed).To(BeTrue(), "no page was ever committed")
}

func TestRestartedLeaderOfANewSystemAsksBeforeItDecides(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.settings = &model.Settings{FirstStart: true}
	l.leading = true
	l.consultation = &consultation{term: kvstore.Position{Era: 2, Version: 60}, deadline: l.clock() + consultationTimeout,
		asked: map[string]bool{}, waiting: map[string]bool{"s": true}}
	l.applyPage("s", encoded(t, page(keys.Stamp{Era: 1, Number: 8})))
	l.decideConsultation(l.clock())
	g.Expect(l.consultation.waiting).To(HaveKey("s"), "there was a leader before")
}

func TestLaterLeaderCountsTheWaitForLostGrantsFromWhenItsVMSawThePage(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	now := 100 * time.Second
	l.clock = func() time.Duration { return now }
	left := page(keys.Stamp{Era: 1, Number: 9})
	left.Ranges[0].Prior = []keys.Holder{{}}
	left.LostGrants = keys.LostGrants{Recorder: "last", WriteID: 1, ArriveWithin: 10}
	l.applyPage("s", encoded(t, left))
	now += 8 * time.Second
	machine := keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: time.Second, PredecessorTimeout: predecessorTimeout})
	l.machines["s"] = machine
	l.term = kvstore.Position{Era: 1, Version: 60}
	l.startLeading(now)
	machine.StepServers(now, []model.Server{{ID: "i-1", Address: "a:1", Slots: 4}}, true)
	machine.StepRead(now, left, kvstore.Position{Era: 1, Version: 30})
	machine.Tick(now)
	write := machine.Ready().Write
	g.Expect(write).NotTo(BeNil())
	g.Expect(write.Page.Ranges[0].Prior).To(BeEmpty(), "all grants by the lost pages have expired")
}

func TestLeaderThatHasJustStartedEndsPredecessorsByTheMajorityOfTheFleet(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	last := peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last"}, Term: kvstore.Position{Era: 1, Version: 50}}
	l.enterEra(2)
	elected := l.clock() + leader.LeaseTTL // The lease of the copy has expired.
	l.clock = func() time.Duration { return elected }
	l.members, l.knownPeers = make(map[string]member), nil
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(l.clock())
	l.fleet.StepRead(nil, 0, 0) // No leader has recorded the fleet.
	machine := keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: time.Second, PredecessorTimeout: predecessorTimeout})
	l.machines["s"] = machine
	machine.Lead(l.clock(), 2)
	machine.StepRead(l.clock(), nil, kvstore.Position{Era: 2, Version: 30})
	machine.StepConsulted(l.clock(), keys.Consultation{Predecessors: []keys.Leader{unknownLeader}})
	for _, vm := range []string{"a", "b", "c"} {
		l.members[vm] = member{address: vm, reportedAt: l.clock()}
	}
	l.endPredecessorsByMajority(l.clock())
	g.Expect(machine.Predecessors()).NotTo(BeEmpty(), "nobody knows the size of the fleet")
	l.consultation.note(last, 5)
	l.endPredecessorsByMajority(l.clock())
	g.Expect(machine.Predecessors()).NotTo(BeEmpty(), "three of five are no majority of two thirds")
	l.members["d"] = member{address: "d", reportedAt: l.clock()}
	l.endPredecessorsByMajority(l.clock())
	g.Expect(machine.Predecessors()).To(BeEmpty())
}

func TestDaemonTellsTheFleetOfTheFormerLeader(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.followLeader(peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last"}, Term: kvstore.Position{Era: 1, Version: 50}})
	l.knownPeers = []string{"a", "b", "c"}
	next := peer.Leadership{Leader: keys.Leader{VM: "next", Incarnation: "next"}, Term: kvstore.Position{Era: 2, Version: 60}}
	l.followLeader(next)
	l.knownPeers = []string{"next"}
	reply := make(chan peer.FollowResponse, 1)
	leaderAnnounced{&peer.FollowRequest{Leadership: next}, reply}.apply(l)
	g.Expect((<-reply).FormerMemberCount).To(Equal(3), "the new leader does not know the fleet yet")
}

func TestFleetOfALeaderThatHadJustBegunIsNotTakenForAll(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.followLeader(peer.Leadership{Leader: keys.Leader{VM: "first", Incarnation: "first"}, Term: kvstore.Position{Era: 1, Version: 50}})
	l.setKnownPeers([]string{"a", "b", "c", "d", "e"})
	l.followLeader(peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last"}, Term: kvstore.Position{Era: 1, Version: 55}})
	l.setKnownPeers([]string{"last"})
	next := peer.Leadership{Leader: keys.Leader{VM: "next", Incarnation: "next"}, Term: kvstore.Position{Era: 2, Version: 60}}
	l.followLeader(next)
	reply := make(chan peer.FollowResponse, 1)
	leaderAnnounced{&peer.FollowRequest{Leadership: next}, reply}.apply(l)
	g.Expect((<-reply).FormerMemberCount).To(Equal(5))
}

func TestLeaderThatAskedOnlyDaemonsThatHaveJustStartedAwaitsReports(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	now := 100 * time.Second
	l.clock = func() time.Duration { return now }
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(now)
	l.machines["s"] = keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: time.Second})
	l.consultation.waiting["s"] = true
	l.consultation.asked["started"] = true
	followDone{address: "started", term: l.term, response: &peer.FollowResponse{}}.apply(l)
	g.Expect(l.consultation.waiting).To(HaveKey("s"), "one that knows the last leader may report")
	now += consultationTimeout
	l.decideConsultation(now)
	g.Expect(l.consultation.waiting).To(BeEmpty())
}

func TestLeaderThatDoesNotKnowTheFleetAsksLateReportersForIt(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	last := peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last"}, Term: kvstore.Position{Era: 1, Version: 50}}
	informed := informedPeer{follow: peer.FollowResponse{Witness: true, FormerLeader: last, FormerMemberCount: 5}}
	server := httptest.NewServer(peer.NewHandler(informed, nil))
	t.Cleanup(server.Close)
	l.knownPeers = nil
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(l.clock())
	l.consultSender(&peer.Report{Address: server.Listener.Addr().String()})
	g.Eventually(l.inputs, time.Second).Should(HaveLen(1))
	(<-l.inputs).apply(l)
	g.Expect(l.fleetAtElection()).To(Equal(5))
}
