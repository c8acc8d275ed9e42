package keys_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// recordRelayed returns where the times of relayed releases are recorded.
func (sim *simulation) recordRelayed() *[]time.Duration {
	var times []time.Duration
	sim.onRelease = func(call keys.ReleaseCall) {
		if call.Relayed {
			times = append(times, sim.now)
		}
	}
	return &times
}

var _ = Describe("Releases that other VMs send too", func() {
	It("are those by servers which may be out of the leader's reach only", func() {
		sim, _ := startSimulation(1, 4)
		relayed := sim.recordRelayed()
		sim.servers[model.Incarnation{ID: "i-1", Born: 1000}].Draining = true
		sim.servers[model.Incarnation{ID: "i-2", Born: 1000}].up = false
		sim.run(2 * time.Second)
		Expect(*relayed).To(BeEmpty())
	})

	It("begin before the keys of a server that is cut off are given to others", func() {
		sim, earlier := startSimulation(2, 4)
		relayed := sim.recordRelayed()
		server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
		later, _ := sim.killWithGrants(earlier, server)
		sim.runUntil(func() bool { return later.Page() != nil && sim.unowned() > 0 })
		sim.runUntil(func() bool { return sim.unowned() == 0 })
		Expect(*relayed).NotTo(BeEmpty())
	})

	It("follow one another after 0.2 s where a server resets connections at once", func() {
		sim, earlier := startSimulation(3, 4)
		server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
		later, _ := sim.killWithGrants(earlier, server)
		sim.runUntil(func() bool { return later.Page() != nil && len(later.Page().Unfenced) > 0 })
		server.unreachable, server.full = false, true
		relayed := sim.recordRelayed()
		sim.run(2 * time.Second)
		Expect(len(*relayed)).To(BeNumerically("~", 9, 1))
	})

	It("end with the first answer that any VM gets", func() {
		sim, earlier := startSimulation(4, 4)
		server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
		server.othersReach = 1
		relayed := sim.recordRelayed()
		later, _ := sim.killWithGrants(earlier, server)
		sim.run(15 * time.Second)
		Expect(*relayed).To(HaveLen(1))
		Expect(later.Page().Unfenced).To(BeEmpty())
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.unowned()).To(BeZero())
	})
})
