package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
)

// awaitKeys adds a server and requests keys until a page gives it some.
func (sim *simulation) awaitKeys(m *keys.Machine, id string) {
	sim.addServer(id, 1000)
	for range 2000 {
		var requested []uint16
		for i := range 8 {
			requested = append(requested, uint16(i*8190+sim.random.IntN(1000)))
		}
		m.StepRequests(sim.now, requested)
		m.StepLatency("i-0", 8, 200*time.Millisecond)
		sim.run(tickInterval)
		for _, r := range m.Page().Ranges {
			if r.Owner.ID == id {
				return
			}
		}
	}
}

var _ = Describe("A range that is divided twice", func() {
	for seed := range uint64(20) {
		It(fmt.Sprintf("seed %d: is released with the fence with which the server holds it", seed), func() {
			sim := newSimulation(seed)
			owner := sim.addServer("i-0", 1000)
			m := sim.addLeader("a")
			sim.run(3 * time.Second)
			sim.maxDelay = 150 * time.Millisecond
			sim.awaitKeys(m, "i-1")
			sim.run(2 * time.Second)
			clear(sim.connections) // The next grants take a higher fence.
			sim.run(2 * time.Second)
			sim.awaitKeys(m, "i-2")
			owner.Draining = true
			sim.list()
			sim.run(6 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.lowReleases).To(BeEmpty())
		})
	}
})
