package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

var _ = Describe("A leader whose calls start long after its decisions", func() {
	for seed := range uint64(30) {
		It(fmt.Sprintf("seed %d: does not grant keys after its successor counts on its end", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			sim.maxStartDelay = 3 * time.Second
			sim.run(time.Duration(800+sim.random.IntN(800)) * time.Millisecond)
			sim.servers[model.Incarnation{ID: "i-1", Born: 1000}].Draining = true
			sim.unreachable[earlier] = true // Its successor is told of its end below.
			earlier.Stop()
			later := sim.addLeader("b")
			sim.list()
			for len(later.Predecessors()) == 0 {
				sim.run(tickInterval)
			}
			later.PredecessorEnded("a", sim.now+keys.MaxCallDelay)
			sim.run(4 * time.Second)
			sim.maxStartDelay = 0
			sim.run(10 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})
