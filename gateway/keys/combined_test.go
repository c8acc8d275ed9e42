package keys_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
)

// leadAgain has one of the machines that led before win the next election.
func (sim *simulation) leadAgain() {
	var candidates []*keys.Machine
	for _, m := range sim.leaders {
		if !sim.unreachable[m] {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 || sim.storeDown {
		return
	}
	chosen := candidates[sim.random.IntN(len(candidates))]
	for _, m := range candidates {
		m.Stop()
	}
	at := slices.Index(sim.leaders, chosen)
	sim.leaders = append(slices.Delete(sim.leaders, at, at+1), chosen)
	chosen.SetRenewOnly(false)
	chosen.Lead(sim.now, sim.era)
}

// forgeRandomly lists a record of another writer, with a server's ID or at a server's address.
func (sim *simulation) forgeRandomly() {
	ids := []string{"i-0", "i-1", "x-0"}
	addresses := []string{"i-0:1", "i-2:1", "x-0:1"}
	sim.forge(ids[sim.random.IntN(len(ids))], addresses[sim.random.IntN(len(addresses))])
}

// injectAnyFault injects a fault of servers, leaders, calls, records or the store.
func (sim *simulation) injectAnyFault(step int, unlisted []string, copies []storeCopy) []string {
	switch sim.random.IntN(12) {
	case 0, 1:
		sim.leadAgain()
	case 2:
		sim.lostReleases = !sim.lostReleases
	case 3:
		sim.maxStartDelay = time.Duration(sim.random.IntN(2)) * time.Second
	case 4:
		sim.forgeRandomly()
	case 5:
		sim.forged = nil
	case 6:
		if !sim.storeDown {
			sim.restore(copies[sim.random.IntN(len(copies))])
			sim.electAfterRestoration(step)
		}
	default:
		return sim.injectFault(step, unlisted)
	}
	return unlisted
}

// endFaults ends all faults and leaves a server and a leader.
func (sim *simulation) endFaults() {
	sim.lateShare, sim.lateArrivalShare, sim.lostWriteShare, sim.refusedShare = 0, 0, 0, 0
	sim.lostReleases, sim.maxStartDelay, sim.forged = false, 0, nil
	for _, s := range sim.servers {
		s.unreachable = false
	}
	sim.addServer("i-99", 1000)
	sim.addLeader("last")
}

var _ = Describe("Combined faults", func() {
	for seed := range uint64(80) {
		It(fmt.Sprintf("seed %d: no key has two holders, fences only grow, all keys are owned in the end", seed), func() {
			sim := newSimulation(5000 + seed)
			sim.era, sim.lateWriteShare = 1, 0.6
			sim.ignoreLowReleases = seed%2 == 1
			for i := range 4 + sim.random.IntN(4) {
				sim.addServer(fmt.Sprintf("i-%d", i), 1000)
			}
			sim.addLeader("l0")
			copies := []storeCopy{sim.copyStore()}
			sim.run(3 * time.Second)
			var unlisted []string
			for step := range 16 {
				copies = append(copies, sim.copyStore())
				outage := sim.random.IntN(3) == 0
				if outage {
					sim.startOutage()
				}
				unlisted = sim.injectAnyFault(step, unlisted, copies[max(0, len(copies)-4):])
				sim.run(time.Duration(200+sim.random.IntN(2000))*time.Millisecond, unlisted...)
				if outage {
					sim.run(contactTimeout, unlisted...)
					sim.endOutage()
				}
			}
			sim.endFaults()
			sim.run(40 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})
