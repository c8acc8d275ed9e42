package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

const (
	// storeTimeout is how long a call to the store waits for a response.
	storeTimeout = time.Second
	// contactTimeout is how long after its last contact to the store a leader only renews.
	contactTimeout = time.Second
	// maxWriteDelay bounds how long after it was sent the store may execute a write.
	maxWriteDelay = 6 * time.Second
)

// read has the store answer the read of a page.
func (sim *simulation) read(m *keys.Machine) {
	if sim.storeDown {
		sim.after(storeTimeout, func() { m.StepReadFailed(sim.now) })
		return
	}
	page, position := sim.page, sim.position()
	sim.after(sim.networkDelay(), func() { m.StepRead(sim.now, page, position) })
}

// loseWrite has the store execute a write late or never, without a response.
func (sim *simulation) loseWrite(m *keys.Machine, write keys.PageWrite, stored []byte) {
	if sim.onLostWrite != nil {
		sim.onLostWrite(write)
	}
	if sim.random.Float64() < sim.lateWriteShare {
		sim.after(time.Duration(sim.random.Int64N(int64(maxWriteDelay))), func() {
			if page, err := keys.Decode(stored); err == nil && write.Expected == sim.version {
				sim.page, sim.version = page, sim.version+1
			}
		})
	}
	sim.after(storeTimeout, func() {
		m.StepWritten(sim.now, write.Page.WriteID, kvstore.Position{}, &kvstore.Error{Outcome: kvstore.OutcomeUnknown})
	})
}

// startOutage begins an outage of the store. The leaders notice it later.
func (sim *simulation) startOutage() {
	sim.storeDown = true
	sim.after(contactTimeout, func() { sim.setRenewOnly(sim.storeDown) })
}

// endOutage ends an outage that the leaders have noticed.
func (sim *simulation) endOutage() {
	sim.storeDown = false
	sim.setRenewOnly(false)
}

func (sim *simulation) setRenewOnly(renewOnly bool) {
	for _, m := range sim.leaders {
		if !sim.unreachable[m] {
			m.SetRenewOnly(renewOnly)
		}
	}
}

var _ = Describe("An outage of the store that begins during a page write", func() {
	const outage = 9 * time.Second
	for name, lateWriteShare := range map[string]float64{"is not executed": 0, "is executed": 1} {
		for seed := range uint64(10) {
			It(fmt.Sprintf("seed %d: leaves no key without an owner if the write %s", seed, name), func() {
				sim, _ := startSimulation(seed, 4)
				sim.lateWriteShare = lateWriteShare
				sim.startOutage()
				sim.servers[model.Incarnation{ID: "i-1", Born: 1000}].Draining = true
				for begun := sim.now; sim.now < begun+outage; {
					sim.run(tickInterval)
					Expect(sim.unowned()).To(BeZero(), "%v after the beginning", sim.now-begun)
				}
				sim.endOutage()
				sim.run(10 * time.Second)
				Expect(sim.violations).To(BeEmpty())
				Expect(sim.unowned()).To(BeZero())
			})
		}
	}
})

// priorFence returns the lowest fence with which a page names a server as a prior holder.
func priorFence(page *keys.Page, id string) uint64 {
	lowest := uint64(0)
	for _, r := range page.Ranges {
		for _, prior := range r.Prior {
			if prior.ID == id && (lowest == 0 || prior.Fence < lowest) {
				lowest = prior.Fence
			}
		}
	}
	return lowest
}

var _ = Describe("A page write that is executed after its leader went on without it", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("seed %d: releases keys with the fence with which the server holds them", seed), func() {
			sim, m := startSimulation(seed, 4)
			leaving := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
			late := sim.loseMove()
			sim.page, sim.version = late.Page, sim.version+1
			sim.maxReleaseTime = 2 * time.Second
			sim.servers[model.Incarnation{ID: "i-2", Born: 1000}].Draining = true
			for m.Page().Number < late.Page.Number {
				sim.run(tickInterval)
			}
			fence := priorFence(m.Page(), leaving.ID)
			sim.version++ // The leader reads the page again before it writes the next one.
			for m.Page().Number == late.Page.Number {
				sim.run(tickInterval)
				Expect(priorFence(m.Page(), leaving.ID)).To(Equal(fence))
			}
			sim.run(5 * time.Second)
			Expect(m.Page().Number).To(BeNumerically(">", late.Page.Number))
			Expect(sim.lowReleases).To(BeEmpty())
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})

var _ = Describe("Outages of the store", func() {
	for seed := range uint64(80) {
		It(fmt.Sprintf("seed %d: among random faults no key has two holders, fences only grow, all keys are owned in the end", seed), func() {
			sim := newSimulation(2000 + seed)
			sim.lateWriteShare = 0.6
			sim.ignoreLowReleases = seed%2 == 1
			for i := range 4 + sim.random.IntN(4) {
				sim.addServer(fmt.Sprintf("i-%d", i), 1000)
			}
			sim.addLeader("l0")
			sim.run(3 * time.Second)
			var unlisted []string
			for step := range 12 {
				outage := sim.random.IntN(2) == 0
				if outage {
					sim.startOutage()
				}
				unlisted = sim.injectFault(step, unlisted)
				sim.run(time.Duration(200+sim.random.IntN(2500))*time.Millisecond, unlisted...)
				if outage {
					sim.run(contactTimeout, unlisted...)
					sim.endOutage()
				}
			}
			sim.lateShare, sim.lateArrivalShare, sim.lostWriteShare, sim.refusedShare = 0, 0, 0, 0
			for _, s := range sim.servers {
				s.unreachable = false
			}
			sim.addServer("i-99", 1000) // All others may be draining.
			sim.run(20 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.lowReleases).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})
