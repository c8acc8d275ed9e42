package run

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/budget"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// takeOver has a loop lead a service whose page was written by the returned leader.
func takeOver(l *loop) keys.Leader {
	l.machines["s"] = keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: grantTTL})
	l.term = kvstore.Position{Era: 1, Version: 60}
	l.startLeading(l.clock())
	taken := page(keys.Stamp{Era: 1, Number: 4})
	l.machines["s"].StepRead(l.clock(), taken, kvstore.Position{Era: 1, Version: 30})
	return taken.Writer
}

func TestAnotherVMAtThePredecessorsAddressDoesNotProveItsEnd(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	last := takeOver(l)
	yieldDone{predecessor: last, term: l.term, response: &peer.YieldResponse{VM: "another", Incarnation: "another"}}.apply(l)
	g.Expect(l.machines["s"].Predecessors()).To(ConsistOf(last))
	yieldDone{predecessor: last, term: l.term, response: &peer.YieldResponse{VM: last.VM, Incarnation: "restarted"}}.apply(l)
	g.Expect(l.machines["s"].Predecessors()).To(BeEmpty(), "two processes of a VM can't listen at one address")
}

func TestCallsOfALeaderThatRestartedAtOnceAreStillAwaited(t *testing.T) {
	g := NewWithT(t)
	now := 20 * time.Second
	answered := func(incarnation string, uptimeMS int64) time.Duration {
		done := yieldDone{predecessor: keys.Leader{VM: "last", Incarnation: "last"}, response: &peer.YieldResponse{VM: "last", Incarnation: incarnation, UptimeMS: uptimeMS}}
		return done.lastArrival(now)
	}
	g.Expect(answered("last", 60_000)).To(Equal(now + keys.MaxCallDelay))
	g.Expect(answered("restarted", 100)).To(Equal(now-100*time.Millisecond+keys.MaxCallDelay), "its last grant may be on its way")
	g.Expect(answered("restarted", 60_000)).To(Equal(now), "all have arrived")
	g.Expect(answered("restarted", -60_000)).To(Equal(now + keys.MaxCallDelay))
}

func TestPredecessorThatYieldedToAnEarlierTermMayLeadAgain(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	last := takeOver(l)
	asked := kvstore.Position{Era: 1, Version: 40}
	yieldDone{predecessor: last, term: asked, response: &peer.YieldResponse{VM: last.VM, Incarnation: last.Incarnation}}.apply(l)
	g.Expect(l.machines["s"].Predecessors()).To(ConsistOf(last), "it may have led since it answered")
}

// newLeadingLoop returns a loop that leads in a term with the version 60.
func newLeadingLoop(t *testing.T) *loop {
	l := newRestorationLoop(t)
	l.term = kvstore.Position{Era: 1, Version: 60}
	l.startLeading(l.clock())
	return l
}

// deliverReport returns a leader's response to a report.
func deliverReport(l *loop, report *peer.Report) peer.ReportResponse {
	reply := make(chan peer.ReportResponse, 1)
	reportReceived{report, reply}.apply(l)
	return <-reply
}

func TestReportToAnEarlierTermOfAnAddressDoesNotCountForThisOne(t *testing.T) {
	g := NewWithT(t)
	l := newLeadingLoop(t)
	earlier := peer.Leadership{Leader: keys.Leader{VM: l.self.VM, Incarnation: "before its restart", Address: l.self.Address}, Term: kvstore.Position{Era: 1, Version: 20}}
	response := deliverReport(l, &peer.Report{VM: "a", Leader: earlier})
	g.Expect(l.members).NotTo(HaveKey("a"), "its sender may follow the leader of a term between these two next")
	g.Expect(response.Leading).To(BeFalse())
	g.Expect(response.KnownLeader).To(Equal(l.knownLeader))
	response = deliverReport(l, &peer.Report{VM: "a", Leader: response.KnownLeader})
	g.Expect(response.Leading).To(BeTrue())
	g.Expect(l.members).To(HaveKey("a"))
}

func TestDaemonThatReportedToAnEarlierTermReportsToThePresentOneSoon(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.campaign = leader.New(leader.Options{})
	l.nextReport = l.clock() + time.Minute
	present := peer.Leadership{Leader: keys.Leader{VM: "leader", Incarnation: "restarted", Address: "127.0.0.1:2"}, Term: kvstore.Position{Era: 1, Version: 60}}
	reportDone{&peer.ReportResponse{KnownLeader: present}, nil}.apply(l)
	g.Expect(l.newReport().Leader).To(Equal(present))
	g.Expect(l.nextReport).To(BeNumerically("<=", l.clock()+reportJitter))
	g.Expect(l.reporting.failures).To(BeZero(), "the leader responds")
}

func TestResponseOfAnEarlierLeaderIsNotTakenForThatOfThePresentOne(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.campaign = leader.New(leader.Options{})
	earlier := peer.Leadership{Leader: keys.Leader{VM: "earlier", Incarnation: "earlier"}, Term: kvstore.Position{Era: 1, Version: 40}}
	present := peer.Leadership{Leader: keys.Leader{VM: "present", Incarnation: "present"}, Term: kvstore.Position{Era: 1, Version: 60}}
	l.followLeader(earlier)
	l.followLeader(present)
	l.knownPeers = []string{"a", "b"}
	late := peer.ReportResponse{Leading: true, KnownLeader: earlier, Members: []string{"a"}, FollowStore: true, List: listOf(t, 5)}
	reportDone{&late, nil}.apply(l)
	g.Expect(l.knownPeers).To(HaveLen(2))
	g.Expect(l.followsStore).To(BeFalse())
	g.Expect(l.servers.ofService("s")).To(HaveLen(3), "its server list is older")
}

func TestRestartedDaemonsAreNoMajorityOfALeaderWithoutTheStore(t *testing.T) {
	g := NewWithT(t)
	l := newLeadingLoop(t)
	now := l.clock()
	l.leaseEnd = now - 2*time.Second
	l.fleet.StepRead([]string{"a", "b"}, 5, 1)
	for _, vm := range []string{"a", "b"} {
		deliverReport(l, &peer.Report{VM: vm, Address: vm, Leader: l.knownLeader, UptimeMS: 60_000})
	}
	g.Expect(l.hasMajority(now)).To(BeTrue())
	for _, vm := range []string{"a", "b"} {
		deliverReport(l, &peer.Report{VM: vm, Address: vm, Leader: l.knownLeader, UptimeMS: 1000})
	}
	g.Expect(l.hasMajority(now)).To(BeFalse(), "before their restart they may have followed a later leader")
	l.leaseEnd = now
	g.Expect(l.hasMajority(now)).To(BeTrue(), "there was none while the lease was valid")
}

func TestResponseTimesOfAnEarlierIncarnationAreNotThoseOfTheNext(t *testing.T) {
	g := NewWithT(t)
	l := newTestLoop(t, 0)
	l.servers.update(l.clock(), []model.Server{{ID: "a", Service: "s", Born: 1}}, false)
	l.servers.update(l.clock(), []model.Server{{ID: "a", Service: "s", Born: 2}}, false)
	reports := []peer.ServerReport{{Incarnation: model.Incarnation{ID: "a", Born: 1}, Responses: 9, MeanMS: 4000}, {Incarnation: model.Incarnation{ID: "a", Born: 2}, Responses: 1, MeanMS: 10}}
	g.Expect(l.reportsOfListed(reports)).To(Equal(reports[1:]))
}

func TestKeyOfALeaderThatResignedNamesNoLeader(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	g.Expect(leader.IsVacant(nil)).To(BeTrue())
	g.Expect(leader.IsVacant(encodeLeader(l.self, 1))).To(BeFalse())
	l.ignoredVersions = map[string]kvstore.Version{}
	watchResult{prefix: leaderKey, era: 1, entries: []kvstore.Entry{{Key: leaderKey, Value: []byte(`"resigned"`), Version: 70, Era: 1}}}.apply(l)
	g.Expect(l.knownLeader.Leader.Incarnation).To(BeEmpty())
	g.Expect(l.ignoredVersions).To(BeEmpty(), "it is no invalid record")
}

func TestReportsInTheBuffersOfAFrozenLeaderAreNoMajority(t *testing.T) {
	g := NewWithT(t)
	l := newLeadingLoop(t)
	now := l.clock()
	l.clock = func() time.Duration { return now }
	daemon := newRestorationLoop(t)
	daemon.campaign = leader.New(leader.Options{})
	daemon.self = keys.Leader{VM: "a", Incarnation: "a", Address: "a"}
	l.fleet.StepRead([]string{"a"}, 5, 1)
	daemon.budget = budget.New(budget.Options{Window: time.Second})
	daemon.followLeader(l.knownLeader)
	first := deliverReport(l, daemon.newReport())
	daemon.clock = func() time.Duration { return 7 * time.Second } // Its clock differs.
	reportDone{&first, nil}.apply(daemon)
	g.Expect(l.hasMajority(now)).To(BeTrue())

	sent := daemon.newReport()
	now += 5 * time.Second
	deliverReport(l, sent)
	l.leaseEnd = now
	g.Expect(l.hasMajority(now)).To(BeFalse(), "its sender may follow a later leader since")
	response := deliverReport(l, sent)
	reportDone{&response, nil}.apply(daemon)
	now += 400 * time.Millisecond
	deliverReport(l, daemon.newReport())
	g.Expect(l.hasMajority(now)).To(BeTrue())
	daemon.followLeader(peer.Leadership{Leader: keys.Leader{Incarnation: "next"}, Term: kvstore.Position{Era: 1, Version: 90}})
	g.Expect(daemon.newReport().AnsweredAtMS).To(BeZero(), "the clock of another leader says nothing")
}

func TestServerListedAtAnotherAddressStaysDraining(t *testing.T) {
	g := NewWithT(t)
	l := newTestLoop(t, 0)
	server := model.Server{ID: "a", Service: "s", Address: "127.0.0.1:1", Draining: true, Born: 5}
	l.servers.update(l.clock(), []model.Server{server}, false)
	row := l.servers.rows[server.Incarnation()]
	first := l.servers.target(row, model.Service{}, 1)
	server.Address, server.Draining = "127.0.0.1:2", false
	g.Expect(l.servers.update(l.clock(), []model.Server{server}, false)).To(BeTrue(), "requests go to the other address")
	g.Expect(l.servers.available("s", model.Service{}, 1)).To(BeEmpty())
	second := l.servers.target(l.servers.rows[server.Incarnation()], model.Service{}, 1)
	g.Expect(second.Address).To(Equal("127.0.0.1:2"))
	request, err := http.NewRequest(http.MethodGet, "/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, failure := first.Pool.Do(context.Background(), request, false)
	g.Expect(failure).To(MatchError(ContainSubstring("pool closed")), "its idle connections would stay open")
}
