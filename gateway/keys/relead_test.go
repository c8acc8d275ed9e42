package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// loseGrants has grants to i-1 time out and arrive late, and has its keys move. It returns
// when they have timed out.
func (sim *simulation) loseGrants() {
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
}

var _ = Describe("A leader", func() {
	for seed := range uint64(30) {
		It(fmt.Sprintf("seed %d: that leads again waits for its own late grants also if another leader has just ended", seed), func() {
			sim := newSimulation(seed)
			for i := range 4 {
				sim.addServer(fmt.Sprintf("i-%d", i), 1000)
			}
			earlier := sim.addLeader("b")
			sim.run(3 * time.Second)
			sim.unreachable[earlier] = true
			earlier.Stop()
			m := sim.addLeader("a")
			sim.run(2 * time.Second)
			Expect(m.Predecessors()).To(HaveLen(1))
			sim.loseGrants()
			m.Stop()
			m.Lead(sim.now, sim.era)
			for len(m.Predecessors()) == 0 {
				sim.run(tickInterval)
			}
			m.PredecessorEnded("b", sim.now)
			sim.run(10 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}

	for seed := range uint64(30) {
		It(fmt.Sprintf("seed %d: that leads again at once waits for its grants that timed out and may still arrive", seed), func() {
			sim, m := startSimulation(seed, 4)
			sim.loseGrants()
			m.Stop()
			m.Lead(sim.now, sim.era)
			sim.run(10 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}

	for seed := range uint64(30) {
		It(fmt.Sprintf("seed %d: that leads again waits for grants that are late behind a congested link", seed), func() {
			sim, m := startCongested(seed)
			m.Stop()
			m.Lead(sim.now, sim.era)
			sim.run(12 * time.Second)
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
