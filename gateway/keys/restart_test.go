package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// restart ends a server's process and starts another one at its address, with an ID.
func (sim *simulation) restart(server *fakeServer, id string, downTime time.Duration) {
	server.up = false
	server.dark = sim.random.IntN(2) == 0
	sim.after(downTime, func() {
		next := sim.addServer(id, server.Born+1000)
		next.Address = server.Address
	})
}

// latest returns the running server at an address.
func (sim *simulation) latest(address string) *fakeServer {
	server := sim.serverAt(address)
	Expect(server).NotTo(BeNil(), address)
	return server
}

var _ = Describe("An address at which another server answered", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("seed %d: may lead an earlier leader's last grant to a later life of the holder", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			holder := sim.latest("i-1:1")
			var last keys.GrantCall
			sim.onGrant = func(call keys.GrantCall) {
				if call.Incarnation == holder.Incarnation() {
					last = call
				}
			}
			sim.run(2 * time.Second)
			sim.onGrant = nil
			sim.restart(holder, "n-1", 20*time.Millisecond)
			earlier.Stop()
			sim.addLeader("b")
			last.Fence += 1000 // The earlier leader's last call has a new connection, made late.
			sim.after(keys.CallTimeout, func() {
				sim.latest("i-1:1").up = false
				later := sim.addServer("i-1", 5000)
				sim.apply(later, last)
			})
			sim.run(10 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})

var _ = Describe("A record of another writer with a later start at a server's address", func() {
	for seed := range uint64(20) {
		It(fmt.Sprintf("seed %d: gives no key two holders and leaves none without an owner", seed), func() {
			sim, _ := startSimulation(seed, 4)
			sim.lateArrivalShare = 0.1
			address := "i-1:1"
			for born := range int64(3) {
				id := fmt.Sprintf("x-%d", born)
				if sim.random.IntN(2) == 0 {
					id = "i-1"
				}
				forged := model.Server{ID: id, Service: "s", Address: address, Zone: "z", Slots: 6, Born: 5000 + born}
				sim.forged = append(sim.forged, forged)
				sim.run(time.Duration(sim.random.IntN(4000)) * time.Millisecond)
			}
			sim.forged = nil
			sim.lateArrivalShare = 0
			sim.run(12 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})

var _ = Describe("A server that is back at its address within a second", func() {
	const (
		servers  = 4
		restarts = 12
	)
	// play restarts the servers in turn and returns the simulation after a calm time.
	play := func(seed uint64, id func(server *fakeServer, restart int) string, afterRestart func(sim *simulation, server *fakeServer)) *simulation {
		sim, _ := startSimulation(seed, servers)
		for restart := range restarts {
			server := sim.latest(fmt.Sprintf("i-%d:1", restart%servers))
			sim.restart(server, id(server, restart), time.Duration(20+sim.random.IntN(900))*time.Millisecond)
			if afterRestart != nil {
				afterRestart(sim, server)
			}
			sim.run(time.Duration(1500+sim.random.IntN(1500)) * time.Millisecond)
		}
		sim.run(10 * time.Second)
		return sim
	}
	newID := func(_ *fakeServer, restart int) string { return fmt.Sprintf("n-%d", restart) }
	sameID := func(server *fakeServer, _ int) string { return server.ID }

	for seed := range uint64(10) {
		It(fmt.Sprintf("seed %d: with another ID is not granted keys with a fence of its predecessor", seed), func() {
			sim := play(seed, newID, nil)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})

		It(fmt.Sprintf("seed %d: with its ID is not granted keys with a fence of its earlier life", seed), func() {
			sim := play(seed, sameID, nil)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})

		It(fmt.Sprintf("seed %d: with its ID and cut off from the store shares no keys with their next owner", seed), func() {
			sim := play(seed, sameID, func(sim *simulation, server *fakeServer) {
				cutFor := time.Duration(1000+sim.random.IntN(2500)) * time.Millisecond
				sim.cutOff(server, cutFor)
			})
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})
