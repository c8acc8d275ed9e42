package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
)

func TestCountMembers(t *testing.T) {
	g := NewWithT(t)
	l := &loop{ledAt: 10 * time.Second, members: map[string]member{"a": {at: 10 * time.Second}}}
	g.Expect(l.countMembers(11*time.Second)).To(BeZero(), "a first leader does not know how many will report")
	l.fleetBefore = make([]string, 12)
	g.Expect(l.countMembers(11*time.Second)).To(Equal(12), "a share of the budget must not grow while few have reported")
	g.Expect(l.countMembers(13500*time.Millisecond)).To(BeZero(), "the only report is too old")
	l.members["b"] = member{at: 13 * time.Second}
	g.Expect(l.countMembers(13500 * time.Millisecond)).To(Equal(1))
}

func TestReportPause(t *testing.T) {
	g := NewWithT(t)
	l := &loop{}
	for range 50 {
		g.Expect(l.reportPause()).To(And(BeNumerically(">=", reportEvery), BeNumerically("<", reportEvery*5/4)))
	}
	l.relay.failures = staleAnswers
	g.Expect(l.reportPause()).To(BeNumerically("<", reportEvery*5/4), "the loss of a leader is found soon")
	l.relay.failures = staleAnswers + 1
	g.Expect(l.reportPause()).To(BeNumerically(">=", 2*reportEvery))
	l.relay.failures = 100
	g.Expect(l.reportPause()).To(And(BeNumerically(">=", longestPause), BeNumerically("<", longestPause*5/4)), "a configuration must be in force in 2 s")
	l.vms.Store(300)
	g.Expect(l.reportPause()).To(BeNumerically("<", l.reportInterval()*5/4))
}

func TestReportTo(t *testing.T) {
	g := NewWithT(t)
	l := &loop{settings: &model.Settings{Seeds: []string{"seed"}}}
	l.leaderNow.Leader.Address = "leader"
	g.Expect(l.reportTo()).To(Equal("leader"))
	l.relay.failures = 1
	g.Expect(l.reportTo()).To(Equal("seed"), "a starting daemon asks both in turn")
	l.stopping = true
	g.Expect(l.reportTo()).To(Equal("leader"), "a stopping one lacks nothing")
}

func TestFollowReports(t *testing.T) {
	g := NewWithT(t)
	l := &loop{clock: func() time.Duration { return 10 * time.Second }, reportAt: 14 * time.Second, relay: newRelay()}
	l.relay.failures = 7
	l.follow(peer.Leadership{Term: 3})
	g.Expect(l.reportAt).To(BeNumerically("<=", 10*time.Second+soonSpread), "a new leader is told at once")
	g.Expect(l.relay.failures).To(BeZero())
}

func TestHasMost(t *testing.T) {
	g := NewWithT(t)
	l := &loop{members: map[string]member{}}
	l.self.VM = "self"
	now := 20 * time.Second
	g.Expect(l.hasMost(now)).To(BeTrue(), "alone")
	for _, vm := range []string{"a", "b", "c"} {
		l.members[vm] = member{at: now - 5*time.Second}
	}
	g.Expect(l.hasMost(now)).To(BeFalse(), "nobody reported within the window")
	l.members["a"] = member{at: now - time.Second}
	g.Expect(l.hasMost(now)).To(BeFalse(), "half is not most")
	l.members["b"] = member{at: now - time.Second}
	g.Expect(l.hasMost(now)).To(BeTrue())
}
