package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

// replaceLeader has another machine take over from the present leader, which has ended or goes
// on renewing without the store.
func (sim *simulation) replaceLeader(name string) {
	if sim.random.IntN(2) == 0 {
		sim.isolateLeaders()
	} else {
		sim.leaders[len(sim.leaders)-1].Stop()
	}
	sim.addLeader(name)
}

// moveKeysOfOne has a server leave, whose keys have to move, and another one return.
func (sim *simulation) moveKeysOfOne(servers int) {
	id := func() model.Incarnation {
		return model.Incarnation{ID: fmt.Sprintf("i-%d", sim.random.IntN(servers)), Born: 1000}
	}
	sim.servers[id()].Draining = false
	sim.servers[id()].Draining = true
	sim.list()
}

var _ = Describe("Leaders that follow one another", func() {
	for seed := range uint64(60) {
		It(fmt.Sprintf("seed %d: give no keys away while an isolated one renews them", seed), func() {
			const servers = 5
			sim, _ := startSimulation(7000+seed, servers)
			sim.droppedReleases = true
			if seed%2 == 1 {
				sim.lostWriteShare, sim.lateArrivalShare = 0.3, 0.3
			}
			for term := range 5 {
				sim.replaceLeader(fmt.Sprintf("l%d", term))
				for range 3 {
					sim.moveKeysOfOne(servers)
					sim.run(time.Duration(100+sim.random.IntN(1000)) * time.Millisecond)
				}
			}
			sim.droppedReleases, sim.lostWriteShare, sim.lateArrivalShare = false, 0, 0
			sim.run(predecessorTimeout + 10*time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})
