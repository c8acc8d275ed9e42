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

// startCongested has a leader find a zone congested. The congestion has just ended, and the
// zone's servers are leaving.
func startCongested(seed uint64) (*simulation, *keys.Machine) {
	sim := newSimulation(seed)
	for i := range 7 {
		s := sim.addServer(fmt.Sprintf("i-%d", i), 1000)
		if i < 3 {
			s.Zone = "far"
		}
	}
	m := sim.addLeader("a")
	sim.run(3 * time.Second)
	sim.congestedZone, sim.maxCongestionDelay = "far", 2*time.Second
	sim.run(1800 * time.Millisecond)
	sim.congestedZone = ""
	for i := range 3 {
		sim.servers[model.Incarnation{ID: fmt.Sprintf("i-%d", i), Born: 1000}].Draining = true
	}
	sim.run(time.Duration(sim.random.IntN(600)) * time.Millisecond)
	return sim, m
}

// takeOverFromCongested has another leader take over from that of startCongested.
func takeOverFromCongested(seed uint64, tell func(sim *simulation, earlier, later *keys.Machine)) *simulation {
	sim, earlier := startCongested(seed)
	sim.unreachable[earlier] = true // Its successor is told of its end below.
	earlier.Stop()
	later := sim.addLeader("b")
	for len(later.Predecessors()) == 0 {
		sim.run(tickInterval)
	}
	tell(sim, earlier, later)
	later.PredecessorEnded("a", sim.now+keys.MaxCallDelay)
	return sim
}

// tellImpairedZones has an earlier leader name the impaired zones as it stops.
func tellImpairedZones(sim *simulation, earlier, later *keys.Machine) {
	later.PredecessorImpaired(earlier.ImpairedZones(sim.now))
}

var _ = Describe("A leader whose predecessor found a zone congested", func() {
	for seed := range uint64(40) {
		It(fmt.Sprintf("seed %d: waits for the predecessor's grants that arrive late", seed), func() {
			sim := takeOverFromCongested(seed, tellImpairedZones)
			sim.run(14 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}

	// newSuccessor returns a machine that leads after one which found "far" impaired and ended
	// at 1 s, in an era whose pages are known or not.
	newSuccessor := func(stored *keys.Page, listed []model.Server) *keys.Machine {
		m := keys.NewMachine(keys.Options{Service: "s", Self: keys.Leader{VM: "b", Incarnation: "b"}, GrantTTL: grantTTL, MaxGrantTTL: 2 * grantTTL, PredecessorTimeout: predecessorTimeout})
		m.Lead(0, 2)
		m.Tick(0)
		m.StepServers(0, listed, true)
		m.StepRead(0, stored, kvstore.Position{Era: 2, Version: 1})
		if stored == nil {
			m.StepConsulted(0, keys.Consultation{Predecessors: []keys.Leader{{Incarnation: "a"}}})
		}
		m.PredecessorImpaired([]string{"far"})
		m.PredecessorEnded("a", time.Second)
		return m
	}

	// firstGrant returns when the machine sends its first grant.
	firstGrant := func(m *keys.Machine, listed []model.Server) time.Duration {
		for now := time.Duration(0); now < 30*time.Second; now += tickInterval {
			m.StepServers(now, listed, true)
			m.Tick(now)
			ready := m.Ready()
			if len(ready.Grants) > 0 {
				return now
			}
			if ready.Write != nil {
				m.StepWritten(now, ready.Write.Page.WriteID, kvstore.Position{Era: 2, Version: kvstore.Version(now) + 2}, nil)
			}
		}
		return 0
	}

	It("counts the longer time for grants by lost pages", func() {
		listed := []model.Server{{ID: "i-0", Born: 1000, Service: "s", Address: "i-0:1", Zone: "far", Slots: 4}}
		Expect(firstGrant(newSuccessor(nil, listed), listed)).To(BeNumerically(">", time.Second+congestedTransitTime+2*grantTTL))
	})

	It("counts the longer time for a holder that has ended, and for one that was never listed here", func() {
		holder := keys.Holder{Incarnation: model.Incarnation{ID: "i-0", Born: 1000}, Address: "i-0:1", Fence: 3}
		listed := []model.Server{{ID: "i-0", Born: 2000, Service: "s", Address: "i-9:1", Zone: "far", Slots: 4}}
		stored := &keys.Page{Stamp: keys.Stamp{Era: 2, Number: 9}, Fence: 3, Writer: keys.Leader{VM: "a", Incarnation: "a"}, Ranges: []keys.Range{{To: model.Keys - 1, Owner: holder}}}
		Expect(firstGrant(newSuccessor(stored, listed), listed)).To(BeNumerically(">=", time.Second+congestedTransitTime))
	})
})
