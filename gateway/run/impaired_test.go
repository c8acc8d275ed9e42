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

// newMachineBehindACongestedLink returns a machine whose grants to the servers of a zone
// have just timed out.
func newMachineBehindACongestedLink(now time.Duration, self keys.Leader, zone string) *keys.Machine {
	m := keys.NewMachine(keys.Options{Service: "s", Self: self, GrantTTL: grantTTL, MaxGrantTTL: maxGrantTTL, PredecessorTimeout: predecessorTimeout})
	began := now - 4*time.Second
	m.Lead(began, 1)
	m.StepServers(began, []model.Server{{ID: "i-0", Address: "i-0:1", Zone: zone, Slots: 4}, {ID: "i-1", Address: "i-1:1", Zone: zone, Slots: 4}}, true)
	m.StepRead(began, nil, kvstore.Position{Era: 1})
	m.StepConsulted(began, keys.Consultation{Confirmed: true})
	m.Tick(began)
	m.Ready()
	m.Tick(now - time.Second)
	m.StepWritten(now-time.Second, m.Ready().Write.Page.WriteID, kvstore.Position{Era: 1, Version: 2}, nil)
	m.Tick(now - keys.CallTimeout)
	for _, call := range m.Ready().Grants {
		m.StepGranted(now, call, keys.TimedOut, 0)
	}
	return m
}

func TestSuccessorKnowsTheZonesThatItsPredecessorFoundImpaired(t *testing.T) {
	g := NewWithT(t)
	last := newLeadingLoop(t)
	last.self = keys.Leader{VM: "last", Incarnation: "last"}
	last.machines["s"] = newMachineBehindACongestedLink(last.clock(), last.self, "far")
	l := newRestorationLoop(t)
	predecessor := takeOver(l)
	request := &peer.YieldRequest{Incarnation: predecessor.Incarnation, Successor: peer.Leadership{Leader: l.self, Term: kvstore.Position{Era: 1, Version: 70}}}
	reply := make(chan peer.YieldResponse, 1)
	yieldReceived{request, reply}.apply(last)
	response := <-reply
	g.Expect(response.ImpairedZones).To(ConsistOf("far"))
	g.Expect(l.machines["s"].ImpairedZones(l.clock())).To(BeEmpty())
	yieldDone{predecessor, l.term, &response, nil}.apply(l)
	g.Expect(l.machines["s"].Predecessors()).To(BeEmpty())
	g.Expect(l.machines["s"].ImpairedZones(l.clock())).To(ConsistOf("far"))
}

func TestSuccessorKnowsImpairedZonesOfAPredecessorThatCannotBeAsked(t *testing.T) {
	g := NewWithT(t)
	last := newLeadingLoop(t)
	last.machines["s"] = newMachineBehindACongestedLink(last.clock(), last.self, "far")
	response := deliverReport(last, &peer.Report{VM: "a", Leader: last.knownLeader})
	g.Expect(response.Leading).To(BeTrue())
	l := newRestorationLoop(t)
	l.campaign = leader.New(leader.Options{})
	l.self = keys.Leader{VM: "a", Incarnation: "a"}
	l.followLeader(last.knownLeader)
	reportDone{&response, nil}.apply(l)
	predecessor := takeOver(l)
	yieldDone{predecessor, l.term, &peer.YieldResponse{VM: predecessor.VM, Incarnation: "restarted"}, nil}.apply(l)
	g.Expect(l.machines["s"].ImpairedZones(l.clock())).To(ConsistOf("far"))
}
