package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// takeOverFromCongested has a leader find a zone congested, and another one take over when
// the congestion has just ended and the zone's servers are leaving.
func takeOverFromCongested(seed uint64, tell func(sim *simulation, earlier, later *keys.Machine)) *simulation {
	sim := newSimulation(seed)
	for i := range 7 {
		s := sim.addServer(fmt.Sprintf("i-%d", i), 1000)
		if i < 3 {
			s.Zone = "far"
		}
	}
	earlier := sim.addLeader("a")
	sim.run(3 * time.Second)
	sim.congestedZone, sim.maxCongestionDelay = "far", 2*time.Second
	sim.run(1800 * time.Millisecond)
	sim.congestedZone = ""
	for i := range 3 {
		sim.servers[model.Incarnation{ID: fmt.Sprintf("i-%d", i), Born: 1000}].Draining = true
	}
	sim.run(time.Duration(sim.random.IntN(600)) * time.Millisecond)
	sim.unreachable[earlier] = true // Its successor is told of its end below.
	earlier.Stop()
	later := sim.addLeader("b")
	for len(later.Predecessors()) == 0 {
		sim.run(tickInterval)
	}
	tell(sim, earlier, later)
	later.PredecessorEnded("a", sim.now+keys.MaxCallDelay)
	return sim
}

// tellImpairedZones has an earlier leader name the impaired zones as it stops.
func tellImpairedZones(sim *simulation, earlier, later *keys.Machine) {
	later.PredecessorImpaired(earlier.ImpairedZones(sim.now))
}

var _ = Describe("A leader whose predecessor found a zone congested", func() {
	for seed := range uint64(40) {
		It(fmt.Sprintf("seed %d: waits for the predecessor's grants that arrive late", seed), func() {
			sim := takeOverFromCongested(seed, tellImpairedZones)
			sim.run(14 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})
