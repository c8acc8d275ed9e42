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

func TestCountMembers(t *testing.T) {
	g := NewWithT(t)
	l := &loop{leadingSince: 10 * time.Second, members: map[string]member{"a": {reportedAt: 10 * time.Second}}}
	g.Expect(l.countMembers(11*time.Second)).To(BeZero(), "the first leader of a fleet does not know how many daemons will report")
	l.peersAtElection = make([]string, 12)
	g.Expect(l.countMembers(11*time.Second)).To(Equal(12), "a VM's share of the retry budget must not grow while few daemons have reported")
	g.Expect(l.countMembers(13500*time.Millisecond)).To(BeZero(), "the only report is older than activeMemberTimeout")
	l.members["b"] = member{reportedAt: 13 * time.Second}
	g.Expect(l.countMembers(13500 * time.Millisecond)).To(Equal(1))
}

func TestReportDelay(t *testing.T) {
	g := NewWithT(t)
	l := &loop{}
	for range 50 {
		g.Expect(l.reportDelay()).To(And(BeNumerically(">=", minReportInterval), BeNumerically("<", minReportInterval*5/4)))
	}
	l.reporting.unanswered = staleThreshold
	g.Expect(l.reportDelay()).To(BeNumerically("<", minReportInterval*5/4), "the loss of a leader must be detected soon")
	l.reporting.unanswered = staleThreshold + 1
	g.Expect(l.reportDelay()).To(BeNumerically(">=", 2*minReportInterval))
	l.reporting.unanswered = 100
	g.Expect(l.reportDelay()).To(And(BeNumerically(">=", maxReportDelay), BeNumerically("<", maxReportDelay*5/4)), "a configuration must be in force everywhere within 2 s")
	l.vms.Store(300)
	g.Expect(l.reportDelay()).To(BeNumerically("<", l.reportInterval()*5/4))
}

func TestReportsToALeaderThatIsStillBeingElectedAreNotDelayed(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.campaign = leader.New(leader.Options{})
	l.setKnownLeader(peer.Leadership{Leader: keys.Leader{VM: "leader", Incarnation: "elected", Address: "127.0.0.1:2"}, Term: kvstore.Position{Era: 1, Version: 60}})
	for range staleThreshold + maxDelayDoublings {
		reportDone{&peer.ReportResponse{KnownLeader: l.knownLeader, ConfirmedAgeMS: neverConfirmed}, nil}.apply(l)
	}
	g.Expect(l.reportDelay()).To(BeNumerically("<", l.reportInterval()*5/4))
}

func TestLeaderIsNotListedAgainRightAfterTheStart(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	now := l.clock()
	relists := 0
	l.leaderWatcher.cancel = func() { relists++ }
	l.reporting.leaderRelistedAt = now
	l.relistLeader(now)
	g.Expect(relists).To(BeZero(), "the start lists the leader's key")
	now += relistInterval
	l.relistLeader(now)
	l.relistLeader(now)
	g.Expect(relists).To(Equal(1))
}

func TestReportTarget(t *testing.T) {
	g := NewWithT(t)
	l := &loop{settings: &model.Settings{Seeds: []string{"seed"}}}
	l.knownLeader.Leader.Address = "leader"
	g.Expect(l.reportTarget()).To(Equal("leader"))
	l.reporting.failures = 1
	g.Expect(l.reportTarget()).To(Equal("seed"), "a starting daemon alternates between leader and seeds after failures")
	l.stopping = true
	g.Expect(l.reportTarget()).To(Equal("leader"), "a stopping daemon needs no data from seeds")
}

func TestFollowLeaderSchedulesReport(t *testing.T) {
	g := NewWithT(t)
	l := &loop{clock: func() time.Duration { return 10 * time.Second }, nextReport: 14 * time.Second}
	l.reporting.failures = 7
	l.followLeader(peer.Leadership{Term: kvstore.Position{Version: 3}})
	g.Expect(l.nextReport).To(BeNumerically("<=", 10*time.Second+reportJitter), "a new leader gets a report soon")
	g.Expect(l.reporting.failures).To(BeZero())
}

func TestHasMajority(t *testing.T) {
	g := NewWithT(t)
	l := &loop{members: map[string]member{}}
	l.self.VM = "self"
	now := 20 * time.Second
	l.fleet.StepRead([]string{"a", "b", "c"}, 5, 1)
	g.Expect(l.hasMajority(now)).To(BeTrue(), "a single daemon is a majority")
	for _, vm := range []string{"a", "b", "c"} {
		l.members[vm] = member{address: vm, reportedAt: now - 5*time.Second}
	}
	g.Expect(l.hasMajority(now)).To(BeFalse(), "no other daemon reported within majorityWindow")
	l.members["a"] = member{address: "a", reportedAt: now - time.Second}
	g.Expect(l.hasMajority(now)).To(BeFalse(), "half of the daemons is not a majority")
	l.members["b"] = member{address: "b", reportedAt: now - time.Second}
	g.Expect(l.hasMajority(now)).To(BeTrue())
	l.fleet.StepRead([]string{"c"}, 6, 1)
	g.Expect(l.hasMajority(now)).To(BeFalse(), "a later leader does not count a and b")
}
