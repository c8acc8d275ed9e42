package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

var _ = Describe("A leader", func() {
	for seed := range uint64(30) {
		It(fmt.Sprintf("seed %d: that leads again at once waits for its grants that timed out and may still arrive", seed), func() {
			sim, m := startSimulation(seed, 4)
			timedOut := time.Duration(0)
			sim.onGrant = func(call keys.GrantCall) {
				if call.Incarnation.ID == "i-1" {
					timedOut = sim.now + keys.CallTimeout
				}
			}
			sim.lateArrivalShare = 1
			for timedOut == 0 {
				sim.run(tickInterval)
			}
			sim.lateArrivalShare = 0
			sim.servers[model.Incarnation{ID: "i-1", Born: 1000}].Draining = true
			sim.list()
			sim.run(timedOut + tickInterval - sim.now)
			m.Stop()
			m.Lead(sim.now, sim.era)
			sim.run(10 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}

	It("goes on after a refusal that came while the store was away", func() {
		sim, m := startSimulation(1, 4)
		server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
		m.SetRenewOnly(true)
		for _, key := range sampledKeys {
			server.seen[key] = 1 << 40
		}
		sim.run(2 * time.Second)
		clear(server.seen)
		m.SetRenewOnly(false)
		sim.run(10 * time.Second)
		Expect(sim.unowned()).To(BeZero())
	})
})
