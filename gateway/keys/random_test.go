package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

var _ = Describe("Random simulations", func() {
	for seed := range uint64(80) {
		It(fmt.Sprintf("seed %d: no key has two holders, fences only grow, all keys are owned in the end", seed), func() {
			sim := newSimulation(seed)
			sim.ignoreLowReleases = seed%2 == 1
			for i := range 4 + sim.random.IntN(4) {
				sim.addServer(fmt.Sprintf("i-%d", i), 1000)
			}
			sim.addLeader("l0")
			sim.run(3 * time.Second)
			var unlisted []string
			for step := range 12 {
				unlisted = sim.injectFault(step, unlisted)
				sim.run(time.Duration(200+sim.random.IntN(2500))*time.Millisecond, unlisted...)
			}
			sim.lateShare, sim.lateArrivalShare, sim.lostWriteShare, sim.refusedShare = 0, 0, 0, 0
			for _, s := range sim.servers {
				s.unreachable = false
			}
			sim.run(20 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.lowReleases).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})

// maxRestartDelay bounds the time between two processes at one address.
const maxRestartDelay = 2 * time.Second

// injectFault injects one random fault and returns the servers that are not listed
// from then on.
func (sim *simulation) injectFault(step int, unlisted []string) []string {
	var up []*fakeServer
	for i := range 20 {
		for _, born := range []int64{1000, 2000, 3000} {
			if s := sim.servers[model.Incarnation{ID: fmt.Sprintf("i-%d", i), Born: born}]; s != nil && s.up {
				up = append(up, s)
			}
		}
	}
	usable := 0
	for _, s := range up {
		if !s.Draining {
			usable++
		}
	}
	chosen := up[sim.random.IntN(len(up))]
	switch sim.random.IntN(10) {
	case 0:
		chosen.Draining = chosen.Draining || usable > 2
	case 1:
		chosen.unreachable = true
		return append(unlisted, chosen.ID)
	case 2:
		if usable > 2 {
			chosen.up = false
			chosen.dark = sim.random.IntN(2) == 0
		}
	case 3:
		sim.lateShare, sim.lateArrivalShare = 0.3, 0.1
	case 4:
		sim.lostWriteShare = 0.4
	case 5:
		if sim.storeDown {
			break // Nobody can be elected.
		}
		for _, m := range sim.leaders {
			m.Stop()
		}
		sim.addLeader(fmt.Sprintf("l%d", step+1))
	case 6:
		sim.addServer(fmt.Sprintf("i-%d", 8+step), 1000)
	case 7:
		switch {
		case chosen.Born < 3000:
			sim.restart(chosen, chosen.ID, time.Duration(sim.random.Int64N(int64(maxRestartDelay))))
		case usable > 2:
			chosen.up = false
		}
	case 8:
		if sim.storeDown {
			break
		}
		sim.isolateLeaders()
		sim.addLeader(fmt.Sprintf("l%d", step+1))
	case 9:
		sim.refusedShare = 0.2
	}
	return nil
}
