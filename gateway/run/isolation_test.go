package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/peer"
)

// newIsolatedLeader returns a leader for some time whose members are the given VMs; each
// value says whether the VM gave up the leadership before.
func newIsolatedLeader(t *testing.T, others ...bool) *loop {
	l := newTestLoop(t, 0)
	l.self.VM = "self"
	l.campaign = leader.New(leader.Options{})
	l.leading, l.leadingSince = true, l.clock()-isolationCheckDelay
	l.machines = map[string]*keys.Machine{"s": nil}
	l.members["self"] = member{gaveUp: true, gaveUpAt: l.clock() - time.Second}
	for at, gaveUp := range others {
		l.members[string(rune('a'+at))] = member{gaveUp: gaveUp, gaveUpAt: l.clock() - time.Second}
	}
	return l
}

func TestIsolatedLeaderGivesUpUnlessOthersDid(t *testing.T) {
	for name, c := range map[string]struct {
		others  []bool
		givesUp bool
	}{
		"no other VM":                  {nil, false},
		"the only other VM may reach":  {[]bool{false}, true},
		"the only other VM gave up":    {[]bool{true}, false},
		"one of three others gave up":  {[]bool{true, false, false}, true},
		"two of three others gave up":  {[]bool{true, true, false}, false},
		"none of three others gave up": {[]bool{false, false, false}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newIsolatedLeader(t, c.others...)
			g.Expect(l.checkIsolation(l.clock(), 1)).To(Equal(c.givesUp))
			g.Expect(l.isolationRuledOut).To(Equal(!c.givesUp))
		})
	}
}

func TestNewLeaderWaitsForEvidenceOfIsolation(t *testing.T) {
	g := NewWithT(t)
	l := newIsolatedLeader(t, false)
	l.leadingSince = l.clock()
	g.Expect(l.checkIsolation(l.clock(), 1)).To(BeFalse())
	g.Expect(l.checkIsolation(l.clock()+isolationCheckDelay, 1)).To(BeTrue())
}

func TestIsolationOfOneServiceKeepsTheLeader(t *testing.T) {
	g := NewWithT(t)
	l := newIsolatedLeader(t, false)
	l.machines["t"] = nil
	g.Expect(l.checkIsolation(l.clock(), 1)).To(BeFalse())
}

func TestRuledOutIsolationEndsWithTheIsolation(t *testing.T) {
	g := NewWithT(t)
	l := newIsolatedLeader(t, true)
	g.Expect(l.checkIsolation(l.clock(), 1)).To(BeFalse())
	l.members = map[string]member{"b": {}}
	g.Expect(l.checkIsolation(l.clock()+2*isolationMemory, 1)).To(BeFalse(), "the servers have not answered since")
	g.Expect(l.checkIsolation(l.clock()+2*isolationMemory, 0)).To(BeFalse())
	g.Expect(l.checkIsolation(l.clock()+2*isolationMemory, 1)).To(BeTrue())
}

func TestVMThatGaveUpLeavesTheLeadershipToTheOthers(t *testing.T) {
	g := NewWithT(t)
	l := newIsolatedLeader(t, false, false, false)
	g.Expect(l.priority(0)).To(Equal(leader.PriorityNormal))
	g.Expect(l.checkIsolation(l.clock(), 1)).To(BeTrue())
	g.Expect(l.priority(0)).To(Equal(leader.PriorityLast))
	l.gaveUpAt = l.clock() - isolationMemory
	g.Expect(l.priority(0)).To(Equal(leader.PriorityNormal))
}

func TestReportSaysThatTheSenderGaveUp(t *testing.T) {
	g := NewWithT(t)
	l := newIsolatedLeader(t, false)
	g.Expect(l.checkIsolation(l.clock(), 1)).To(BeTrue())
	l.gaveUpAt -= time.Second
	var report peer.Report
	l.addGiveUp(&report)
	g.Expect(report).To(Equal(peer.Report{GaveUp: true, GaveUpAgoMS: 1000}))

	leader := newTestLoop(t, 0)
	report.VM = "a"
	leader.applyReport(&report)
	g.Expect(leader.members["a"].gaveUp).To(BeTrue())
	g.Expect(leader.members["a"].gaveUpAt).To(Equal(leader.clock() - time.Second))
}
