package keys_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
)

// collected is the work of a machine after a tick, with probes in one order.
func collected(m *keys.Machine, now time.Duration) keys.Ready {
	m.Tick(now)
	ready := m.Ready()
	slices.SortFunc(ready.Probes, func(a, b keys.ProbeCall) int {
		return cmp.Or(cmp.Compare(a.Incarnation.ID, b.Incarnation.ID), cmp.Compare(a.Incarnation.Born, b.Incarnation.Born))
	})
	return ready
}

// expectSameFuture advances two machines, of which the second is a clone of the first, and
// expects the same work. The calls of every other tick are refused.
func expectSameFuture(first, second *keys.Machine, now time.Duration) {
	for tick := range 40 {
		now += 50 * time.Millisecond
		expected := collected(first, now)
		Expect(collected(second, now)).To(Equal(expected))
		for _, call := range expected.Grants {
			outcome := []keys.Outcome{keys.Accepted, keys.NoListener}[tick%2]
			first.StepGranted(now, call, outcome, 1)
			second.StepGranted(now, call, outcome, 1)
		}
		Expect(second.Fingerprint(now)).To(Equal(first.Fingerprint(now)))
	}
}

var _ = Describe("A clone", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("seed %d: behaves as its original and leaves it alone", seed), func() {
			sim := newSimulation(seed)
			for i := range 4 + sim.random.IntN(4) {
				sim.addServer(fmt.Sprintf("i-%d", i), 1000)
			}
			sim.addLeader("l0")
			sim.run(2 * time.Second)
			var unlisted []string
			for step := range 8 {
				unlisted = sim.injectFault(step, unlisted)
				for range 5 {
					sim.run(time.Duration(20+sim.random.IntN(300))*time.Millisecond, unlisted...)
					for _, m := range sim.leaders {
						before := m.Fingerprint(sim.now)
						clone := m.Clone()
						Expect(clone.Fingerprint(sim.now)).To(Equal(before))
						expectSameFuture(clone, clone.Clone(), sim.now)
						Expect(m.Fingerprint(sim.now)).To(Equal(before), "the clone changed its original")
					}
				}
			}
			Expect(sim.violations).To(BeEmpty())
		})
	}
})
