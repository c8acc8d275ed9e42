package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

// fullTime is how long after a cut a server resets new connections.
const fullTime = time.Second

var _ = Describe("A leader that is killed while a server is cut off from it, which resets new connections after the cut", func() {
	for seed := range uint64(30) {
		It(fmt.Sprintf("seed %d: leaves no grant that the server accepts after its keys have moved", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
			server.othersReach = 0.7
			cutFor := time.Duration(2000+sim.random.IntN(6000)) * time.Millisecond
			if seed%2 == 0 {
				sim.cutOff(server, cutFor)
			}
			later, held := sim.killWithGrants(earlier, server)
			sim.run(cutFor)
			server.unreachable, server.full = false, true
			sim.after(fullTime, func() { server.full = false })
			for _, call := range held {
				late := thawTime + time.Duration(sim.random.Int64N(int64(fullTime-thawTime)))
				sim.after(late, func() { sim.apply(server, call) })
			}
			sim.run(25 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
			Expect(later.Page().Unfenced).To(BeEmpty())
		})
	}
})
