package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/backend"
	"guavacrank.example/control"
	"guavacrank.example/control/controltest"
)

// startingVM is a VM that has just started and has not heard from the others
// yet.
type startingVM struct {
	machine *control.Machine
	fleet   *controltest.Fleet
	now     time.Duration
	writes  int
}

func newStartingVM() *startingVM {
	options := smallFleetOptions(2, 4, 16, allCheckGrants)
	n := &startingVM{fleet: startFleet(options), now: time.Hour}
	n.machine = control.New(control.Options{Self: "vm-new", Region: "r1", Zone: "r1a", Incarnation: "1"})
	n.machine.Step(n.now, control.ConfigurationAccepted{Revision: 1, Configuration: &options.Configuration})
	return n
}

// setOthersAlive sets whether the failure detector considers the other VMs
// alive.
func (n *startingVM) setOthersAlive(alive bool) {
	members := []control.Member{{Name: "vm-new", Region: "r1", Zone: "r1a", Alive: true}}
	for _, vm := range n.fleet.VMs {
		members = append(members, control.Member{Name: vm.Name, Region: vm.Region, Zone: vm.Zone, Alive: alive})
	}
	n.machine.Step(n.now, control.MembersChanged{Members: members})
}

// run advances time; the store and the servers answer immediately.
func (n *startingVM) run(length time.Duration) {
	const tick = 25 * time.Millisecond
	for end := n.now + length; n.now < end; n.now += tick {
		n.machine.Tick(n.now)
		ready := n.machine.Ready()
		n.writes += len(ready.Writes)
		for _, read := range ready.Reads {
			page, version := n.fleet.Store.Page(read.Service)
			n.machine.Step(n.now, control.PageRead{Service: read.Service, Request: read.Request, Version: version, Page: page.Clone()})
		}
		for _, send := range ready.Grants {
			answer := backend.GrantAnswer{Result: backend.GrantHello, Boot: "boot", Clock: n.now.Milliseconds(), HighestTerm: 1}
			n.machine.Step(n.now, control.GrantAnswered{Server: send.Server, Sequence: send.Order.Sequence, Reached: true, Answer: answer})
		}
	}
}

var _ = Describe("a VM that has just started", func() {
	It("takes over no term of VMs that it has not heard from yet", func() {
		n := newStartingVM()
		n.setOthersAlive(false)
		n.run(1500 * time.Millisecond)
		n.setOthersAlive(true)
		n.run(5 * time.Second)
		Expect(n.writes).To(BeZero())
	})

	It("takes over the terms of VMs that stay unreachable", func() {
		n := newStartingVM()
		n.setOthersAlive(false)
		n.run(5 * time.Second)
		Expect(n.writes).NotTo(BeZero())
	})
})
