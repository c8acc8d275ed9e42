package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// loseMove has a leader try to move the keys of i-1 in an outage, and go on without it with
// higher fences. It returns the write of the move, which may still be executed.
func (sim *simulation) loseMove() keys.PageWrite {
	leaving := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
	var lost *keys.PageWrite
	sim.onLostWrite = func(write keys.PageWrite) { lost = &write }
	sim.startOutage()
	leaving.Draining = true
	for lost == nil {
		sim.run(tickInterval)
	}
	sim.run(2 * time.Second)
	leaving.Draining = false
	sim.list()
	sim.endOutage()
	sim.run(time.Second)
	clear(sim.connections) // The next grants take a higher fence.
	sim.run(2 * time.Second)
	Expect(sim.version).To(Equal(lost.Expected), "the leader has written no other page")
	return *lost
}

var _ = Describe("A page write that is executed before another leader takes over", func() {
	for seed := range uint64(20) {
		It(fmt.Sprintf("seed %d: does not have it release keys with a lower fence than their holder has", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			lost := sim.loseMove()
			earlier.Stop()
			sim.page, sim.version = lost.Page, sim.version+1
			sim.ignoreLowReleases = seed%2 == 1
			sim.addLeader("b")
			sim.run(10 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.lowReleases).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})

		It(fmt.Sprintf("seed %d: does not have it release keys too low beside a leader that renews on", seed), func() {
			sim, _ := startSimulation(seed, 4)
			lost := sim.loseMove()
			sim.isolateLeaders()
			sim.page, sim.version = lost.Page, sim.version+1
			sim.ignoreLowReleases = seed%2 == 1
			sim.addLeader("b")
			sim.run(predecessorTimeout + 10*time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.lowReleases).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})
