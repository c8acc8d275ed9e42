package keys_test

import (
	"fmt"
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
