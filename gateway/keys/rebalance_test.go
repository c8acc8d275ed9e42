package keys_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

var _ = Describe("Machine under load", func() {
	It("divides a hot range among servers", func() {
		sim, m := startSimulation(9, 6)
		for range 20 {
			var requested []uint16
			for i := range 40 {
				requested = append(requested, uint16(20000+i*3))
			}
			m.StepRequests(sim.now, requested)
			for _, s := range sim.servers {
				m.StepLatency(s.ID, 5, 200*time.Millisecond)
			}
			sim.run(300 * time.Millisecond)
		}
		owners := make(map[model.Incarnation]bool)
		for key := uint16(20000); key < 20120; key++ {
			owners[sim.page.Find(key).Owner.Incarnation] = true
		}
		Expect(len(owners)).To(BeNumerically(">=", 3))
		Expect(sim.violations).To(BeEmpty())
	})

	It("divides a hot range even if another server has a hot single key", func() {
		sim, m := startSimulation(15, 12)
		const single, first, keys = uint16(60000), 20000, 60
		for range 20 {
			var requested []uint16
			for range 120 {
				requested = append(requested, single)
			}
			for i := range 120 {
				requested = append(requested, uint16(first+i%keys))
			}
			m.StepRequests(sim.now, requested)
			for _, s := range sim.servers {
				m.StepLatency(s.ID, 5, 200*time.Millisecond)
			}
			sim.run(200 * time.Millisecond)
		}
		owners := make(map[model.Incarnation]bool)
		for key := uint16(first); key < first+keys; key++ {
			owners[sim.page.Find(key).Owner.Incarnation] = true
		}
		Expect(len(owners)).To(BeNumerically(">=", 6))
		Expect(sim.violations).To(BeEmpty())
	})

	It("moves a key that overloads its server to the one with the highest weight, alone", func() {
		sim, m := startSimulation(12, 6)
		const hot = uint16(30000)
		slow := sim.page.Find(hot).Owner.ID
		strong := sim.page.Find(1000).Owner.ID
		for range 30 {
			for _, s := range sim.servers {
				latency := 200 * time.Millisecond
				switch s.ID {
				case slow:
					latency = 280 * time.Millisecond
				case strong:
					latency = 120 * time.Millisecond
				}
				m.StepLatency(s.ID, 5, latency)
			}
			sim.run(100 * time.Millisecond)
		}
		for range 20 {
			var requested []uint16
			for range 12 {
				requested = append(requested, hot)
			}
			m.StepRequests(sim.now, append(requested, 1000, 1500, 9000, 9500))
			sim.run(300 * time.Millisecond)
		}
		Expect(sim.page.Find(hot).Owner.ID).To(Equal(strong))
		Expect(sim.page.Find(1000).Owner.ID).NotTo(Equal(strong))
		Expect(sim.violations).To(BeEmpty())
	})

	It("moves the keys of a slow server away although it has free slots, but leaves it some", func() {
		sim, m := startSimulation(18, 6)
		const slow = "i-2"
		slowRequests := func() int {
			count := 0
			for key := 0; key < model.Keys; key += 64 {
				if sim.page.Find(uint16(key)).Owner.ID == slow {
					count++
				}
			}
			return count
		}
		before := slowRequests()
		for range 60 {
			var requested []uint16
			for range 7 { // 28 a second; the fast servers have room for 80.
				requested = append(requested, uint16(sim.random.IntN(model.Keys)))
			}
			m.StepRequests(sim.now, requested)
			for _, s := range sim.servers {
				latency := 125 * time.Millisecond
				if s.ID == slow {
					latency = 350 * time.Millisecond
				}
				m.StepLatency(s.ID, 1, latency)
			}
			sim.run(250 * time.Millisecond)
		}
		Expect(slowRequests()).To(BeNumerically("<", before/2))
		Expect(slowRequests()).To(BeNumerically(">", 0), "its service time stays known")
		Expect(sim.unowned()).To(BeZero())
		Expect(sim.violations).To(BeEmpty())
	})

	It("moves no keys while no server is busy", func() {
		sim, m := startSimulation(10, 6)
		version := sim.version
		for range 20 {
			var requested []uint16
			for range 5 {
				requested = append(requested, uint16(sim.random.IntN(model.Keys)))
			}
			m.StepRequests(sim.now, requested)
			sim.run(300 * time.Millisecond)
		}
		Expect(sim.version).To(Equal(version))
	})
})
