package keys_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

var _ = Describe("A record of another writer at the address of a server that is not fenced yet", func() {
	for seed := range uint64(20) {
		It(fmt.Sprintf("seed %d: does not let the server accept the grants of a killed leader", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
			later, held := sim.killWithGrants(earlier, server)
			sim.runUntil(func() bool { return later.Page() != nil && len(later.Page().Unfenced) > 0 })
			sim.forged = []model.Server{{ID: "x", Service: "s", Address: server.Address, Zone: "z", Slots: 6, Born: 5000}}
			sim.run(time.Second)
			sim.forged = nil
			sim.run(time.Second)
			sim.heal(server, held)
			sim.run(10 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
			Expect(later.Page().Unfenced).To(BeEmpty())
		})
	}
})

var _ = Describe("A cut-off server whose address goes to another server while an earlier leader may grant keys", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("seed %d: has ended as soon as that leader has, without the time of a grant more", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
			server.Draining, server.unreachable = true, true
			sim.unreachable[earlier] = true
			earlier.Stop()
			electedAt := sim.now
			later := sim.addLeader("b")
			sim.run(2 * time.Second)
			Expect(namesPrior(later.Page(), server.ID)).To(BeTrue())
			server.up = false
			other := sim.addServer("x", 1000)
			other.Address = server.Address
			sim.cutOff(other, time.Hour) // It is not listed.
			sim.run(electedAt + predecessorTimeout - sim.now)
			sim.run(600 * time.Millisecond)
			Expect(sim.unowned()).To(BeZero())
			Expect(sim.violations).To(BeEmpty())
		})
	}
})

var _ = Describe("A server with a long round trip that was cut off", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("seed %d: gets keys again", seed), func() {
			sim, _ := startSimulation(seed, 4)
			server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
			server.unreachable = true
			sim.run(10 * time.Second)
			server.unreachable = false
			sim.minDelay = 110 * time.Millisecond
			sim.run(30 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			holds := func(key uint16) bool { return server.holdsKey(key, sim.now) }
			Expect(slices.ContainsFunc(sampledKeys, holds)).To(BeTrue())
		})
	}
})
