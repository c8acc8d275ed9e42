package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

const (
	// heldUpTime is how late a release is that is held up.
	heldUpTime = 3700 * time.Millisecond
	// releaseTimeout is the timeout of a release.
	releaseTimeout = 4 * time.Second
)

var _ = Describe("A release that is held up", func() {
	for seed := range uint64(10) {
		It(fmt.Sprintf("seed %d: takes a later grant away until its response at the latest", seed), func() {
			sim := newSimulation(seed)
			sim.maxReleaseTime = 10 * time.Millisecond
			first := sim.addServer("i-0", 1000)
			sim.addLeader("a")
			sim.run(3 * time.Second)
			sim.heldUpReleases = true
			second := sim.addServer("i-1", 1000)
			first.Draining = true
			sim.run(500 * time.Millisecond)
			sim.heldUpReleases = false
			for len(sim.holders(0)) == 0 || sim.holders(0)[0] != second.Incarnation() {
				sim.run(tickInterval)
			}
			first.Draining, second.Draining = false, true
			sim.list()
			unowned := time.Duration(0)
			moved := sim.now + 400*time.Millisecond
			for end := sim.now + 2*time.Second; sim.now < end; {
				sim.run(tickInterval)
				if sim.now > moved && sim.unowned() > 0 {
					unowned += tickInterval
				}
			}
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.holders(0)).To(ConsistOf(model.Incarnation{ID: "i-0", Born: 1000}))
			Expect(unowned).To(BeNumerically("<=", 100*time.Millisecond))
		})
	}

	for seed := range uint64(30) {
		It(fmt.Sprintf("seed %d: and not answered takes a later grant away for a fraction of a second only", seed), func() {
			sim := newSimulation(seed)
			first := sim.addServer("i-0", 1000)
			sim.addLeader("a")
			sim.run(3 * time.Second)
			sim.lostReleases = true
			second := sim.addServer("i-1", 1000)
			first.Draining = true
			sim.run(500 * time.Millisecond)
			sim.lostReleases = false
			for len(sim.holders(0)) == 0 || sim.holders(0)[0] != second.Incarnation() {
				sim.run(tickInterval)
			}
			first.Draining, second.Draining = false, true
			sim.list()
			for len(sim.holders(0)) == 0 || sim.holders(0)[0] != first.Incarnation() {
				sim.run(tickInterval)
			}
			unowned := sim.longestUnowned(3 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(unowned).To(BeNumerically("<=", 250*time.Millisecond))
		})
	}
})
