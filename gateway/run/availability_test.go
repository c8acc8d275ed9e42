package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/availability"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
)

var leavingServer = model.Server{ID: "i-1", Born: 7, Service: "s", Address: "127.0.0.1:9", Slots: 4}

// observe records what a response of leavingServer says.
func observe(l *loop, notice availability.Notice) {
	row := l.servers.rows[leavingServer.Incarnation()]
	l.servers.target(row, model.Service{}, 1).Availability.Observe(l.clock(), notice)
	l.noteAvailability(l.clock())
}

func TestLeaderMovesTheKeysOfAServerThatAVMReportsToBeLeaving(t *testing.T) {
	g := NewWithT(t)
	l := newLeadingLoop(t)
	l.read(leavingServer)
	deliverReport(l, &peer.Report{VM: "a", Leader: l.knownLeader, Leaving: []model.Incarnation{{ID: "i-1", Born: 6}}})
	g.Expect(l.servers.ofService("s")).To(ConsistOf(HaveField("Draining", false)), "an earlier incarnation")
	deliverReport(l, &peer.Report{VM: "a", Leader: l.knownLeader, Leaving: []model.Incarnation{leavingServer.Incarnation()}})
	g.Expect(l.servers.ofService("s")).To(ConsistOf(HaveField("Draining", true)))
	l.read(leavingServer)
	g.Expect(l.servers.ofService("s")).To(ConsistOf(HaveField("Draining", true)), "its record says ready, as it did before")
	g.Expect(l.servers.available("s", model.Service{}, 1)).To(HaveLen(1), "it serves its keys until they have moved")
}

func TestReportsNameLeavingServersForAsLongAsTheyAreListed(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.read(leavingServer)
	g.Expect(l.newReport().Leaving).To(BeEmpty())
	observe(l, availability.Notice{Leaving: true})
	for range 2 {
		g.Expect(l.newReport().Leaving).To(ConsistOf(leavingServer.Incarnation()))
	}
	l.servers.rows[leavingServer.Incarnation()].gone = true
	g.Expect(l.newReport().Leaving).To(BeEmpty())
}

func TestServerThatIsListedAgainHasNotTakenItsWordBack(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.servers.update(l.clock(), []model.Server{leavingServer}, false)
	observe(l, availability.Notice{Leaving: true, Backoff: time.Hour})
	for range 3 {
		l.servers.update(l.clock(), nil, false)
	}
	g.Expect(l.servers.rows).To(BeEmpty())
	moved := leavingServer
	moved.Address = "127.0.0.1:10"
	l.servers.update(l.clock(), []model.Server{moved}, false)
	again := l.servers.target(l.servers.rows[moved.Incarnation()], model.Service{}, 1)
	g.Expect(again.Availability.Decide(l.clock(), l.clock())).To(Equal(availability.BackingOff))
	reborn := leavingServer
	reborn.Born++
	l.servers.update(l.clock(), []model.Server{reborn}, false)
	next := l.servers.target(l.servers.rows[reborn.Incarnation()], model.Service{}, 1)
	g.Expect(next.Availability.Decide(l.clock(), l.clock())).To(Equal(availability.Available))
}

func TestServerInBackoffGetsNoProbe(t *testing.T) {
	g := NewWithT(t)
	l := newLeadingLoop(t)
	l.read(leavingServer)
	machine := keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: grantTTL})
	call := keys.ProbeCall{Incarnation: leavingServer.Incarnation(), Address: leavingServer.Address}
	g.Expect(l.keepProbeAway(machine, call)).To(BeFalse())
	observe(l, availability.Notice{Backoff: time.Hour})
	g.Expect(l.keepProbeAway(machine, call)).To(BeTrue())
}
