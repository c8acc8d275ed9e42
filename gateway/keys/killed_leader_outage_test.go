package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// killWithGrants kills the leader while a server is cut off from it. It returns the next
// leader and the grants to the server that are held up.
func (sim *simulation) killWithGrants(earlier *keys.Machine, server *fakeServer) (later *keys.Machine, held []keys.GrantCall) {
	held = sim.cutOffWithGrants(server, time.Duration(600+sim.random.IntN(800))*time.Millisecond)
	sim.unreachable[earlier] = true
	earlier.Stop()
	later = sim.addLeader("b")
	sim.after(500*time.Millisecond, func() { later.PredecessorEnded("a", sim.now+keys.MaxCallDelay) })
	return later, held
}

// runUntil runs until a condition holds, for at most 30 s.
func (sim *simulation) runUntil(condition func() bool) {
	for end := sim.now + 30*time.Second; !condition(); {
		ExpectWithOffset(1, sim.now).To(BeNumerically("<", end))
		sim.run(tickInterval)
	}
}

// heal ends the cut of a server. The grants that were held up arrive some time later.
func (sim *simulation) heal(server *fakeServer, held []keys.GrantCall) {
	server.unreachable = false
	for _, call := range held {
		late := thawTime + time.Duration(sim.random.IntN(2000))*time.Millisecond
		sim.after(late, func() { sim.apply(server, call) })
	}
}

// namesPrior reports whether a page names a server as a prior holder.
func namesPrior(page *keys.Page, id string) bool { return page != nil && priorFence(page, id) != 0 }

var _ = Describe("An outage of the store after a leader was killed while a server is cut off", func() {
	for seed := range uint64(30) {
		It(fmt.Sprintf("seed %d: begins before the keys have moved: the server refuses the grants held up", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
			later, held := sim.killWithGrants(earlier, server)
			sim.runUntil(func() bool { return namesPrior(later.Page(), server.ID) })
			sim.storeDown = true
			sim.setRenewOnly(true)
			sim.runUntil(func() bool { return sim.unowned() == 0 })
			sim.run(time.Duration(sim.random.IntN(2000)) * time.Millisecond)
			sim.heal(server, held)
			sim.run(4 * time.Second)
			sim.endOutage()
			sim.run(10 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
			Expect(later.Page().Unfenced).To(BeEmpty())
		})

		It(fmt.Sprintf("seed %d: begins with the write that lists the server: it refuses the grants held up", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			sim.lateWriteShare = float64(seed % 2)
			server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
			later, held := sim.killWithGrants(earlier, server)
			sim.runUntil(func() bool { return namesPrior(later.Page(), server.ID) })
			sim.run(time.Duration(sim.random.IntN(1500)) * time.Millisecond)
			sim.startOutage()
			sim.runUntil(func() bool { return sim.unowned() == 0 })
			sim.run(time.Duration(1200+sim.random.IntN(2000)) * time.Millisecond)
			sim.heal(server, held)
			sim.run(4 * time.Second)
			sim.endOutage()
			sim.run(10 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
			Expect(later.Page().Unfenced).To(BeEmpty())
		})

		It(fmt.Sprintf("seed %d: ends with the next leader's kill: the server refuses the grants held up", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
			second, held := sim.killWithGrants(earlier, server)
			sim.runUntil(func() bool { return namesPrior(second.Page(), server.ID) })
			sim.storeDown = true
			sim.setRenewOnly(true)
			sim.runUntil(func() bool { return sim.unowned() == 0 })
			sim.unreachable[second] = true
			second.Stop()
			sim.endOutage()
			third := sim.addLeader("c")
			sim.after(500*time.Millisecond, func() { third.PredecessorEnded("b", sim.now+keys.MaxCallDelay) })
			sim.runUntil(func() bool { return third.Page() != nil && third.Page().Writer.VM == "c" })
			sim.run(time.Duration(sim.random.IntN(500)) * time.Millisecond)
			sim.heal(server, held)
			sim.run(15 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
			Expect(third.Page().Unfenced).To(BeEmpty())
		})
	}
})
