package keys_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// congestedTransitTime is how much longer a call may be in transit to a congested zone.
const congestedTransitTime = 2300 * time.Millisecond

// storeCopy is a copy of the store's page.
type storeCopy struct {
	page    *keys.Page
	version kvstore.Version
}

func (sim *simulation) copyStore() storeCopy { return storeCopy{sim.page, sim.version} }

// spread tells the VMs a committed page.
func (sim *simulation) spread(page *keys.Page) {
	if sim.known == nil || sim.known.Stamp.Before(page.Stamp) {
		sim.known = page
	}
}

// restore replaces the store's contents by an earlier copy. The leaders notice it with
// their next call and change nothing until they are elected again.
func (sim *simulation) restore(copied storeCopy) {
	sim.page, sim.version = copied.page, copied.version
	sim.era++
	for _, m := range sim.leaders {
		sim.after(sim.networkDelay(), func() { m.SetRenewOnly(true) })
	}
}

// reelect makes a leader of an earlier era the leader of this one, if it still leads.
func (sim *simulation) reelect(m *keys.Machine) {
	if !m.Leading() || sim.unreachable[m] {
		return
	}
	m.SetRenewOnly(false)
	m.Lead(sim.now, sim.era)
}

// lastLeader returns the leader that led last before m.
func (sim *simulation) lastLeader(m *keys.Machine) (string, *keys.Machine) {
	at := slices.Index(sim.leaders, m)
	if at == 0 {
		return "", nil
	}
	for name, other := range sim.byName {
		if other == sim.leaders[at-1] {
			return name, other
		}
	}
	return "", nil
}

// consult answers a new leader's question with what the VMs know. The last leader stops
// and sends its page if it can be reached.
func (sim *simulation) consult(m *keys.Machine) {
	name, last := sim.lastLeader(m)
	if m.KnowsNewestPage() || last == nil {
		sim.after(sim.networkDelay(), func() {
			m.StepConsulted(sim.now, keys.Consultation{Page: sim.known, Confirmed: true})
		})
		return
	}
	predecessor := keys.Leader{VM: name, Incarnation: name, Address: name}
	if sim.unreachable[last] {
		sim.after(time.Second, func() {
			m.StepConsulted(sim.now, keys.Consultation{Page: sim.known, Predecessors: []keys.Leader{predecessor}})
		})
		return
	}
	sim.after(sim.networkDelay(), func() {
		confirmed := last.KnowsNewestPage()
		last.Stop()
		if page := last.Page(); page != nil {
			sim.spread(page)
		}
		sim.after(sim.networkDelay(), func() {
			m.PredecessorEnded(name, sim.now+keys.MaxCallDelay)
			m.StepConsulted(sim.now, keys.Consultation{Page: sim.known, Confirmed: confirmed, Predecessors: []keys.Leader{predecessor}})
		})
	})
}

var _ = Describe("A store restored from an earlier copy", func() {
	// startInEra returns a simulation in which a leader has assigned all keys, and a copy
	// of the store from before the keys of a server were moved.
	startInEra := func(seed uint64) (*simulation, *keys.Machine, storeCopy) {
		sim := newSimulation(seed)
		sim.era = 1
		for i := range 5 {
			sim.addServer(fmt.Sprintf("i-%d", i), 1000)
		}
		m := sim.addLeader("a")
		sim.run(3 * time.Second)
		copied := sim.copyStore()
		sim.servers[model.Incarnation{ID: "i-2", Born: 1000}].Draining = true
		sim.run(2 * time.Second)
		Expect(sim.unowned()).To(BeZero())
		return sim, m, copied
	}

	It("does not let fences or owners go back when its leader goes on", func() {
		sim, m, copied := startInEra(1)
		before := sim.known
		sim.restore(copied)
		sim.run(300 * time.Millisecond)
		sim.reelect(m)
		for range 40 {
			sim.run(100 * time.Millisecond)
			Expect(sim.unowned()).To(BeZero(), "the leader goes on renewing its grants")
		}
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.page.Era).To(Equal(kvstore.Era(2)))
		Expect(sim.page.Ranges).To(HaveLen(len(before.Ranges)))
		for at, r := range sim.page.Ranges {
			Expect(r.Owner).To(Equal(before.Ranges[at].Owner))
		}
	})

	It("lets a new leader continue with the pages of the last one", func() {
		sim, _, copied := startInEra(2)
		sim.restore(copied)
		sim.run(300 * time.Millisecond)
		sim.addLeader("b")
		sim.run(time.Second)
		Expect(sim.unowned()).To(BeZero())
		sim.run(5 * time.Second)
		Expect(sim.unowned()).To(BeZero())
		Expect(sim.violations).To(BeEmpty())
	})

	It("has a new leader wait for the grants by lost pages if the last one can't be asked", func() {
		sim, _, copied := startInEra(3)
		sim.isolateLeaders()
		sim.known = copied.page // Nobody reachable knows the later pages.
		sim.restore(copied)
		sim.run(300 * time.Millisecond)
		sim.addLeader("b")
		sim.run(25 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.unowned()).To(BeZero())
	})

	It("does not have a later leader of the era wait anew for the grants by lost pages", func() {
		sim, _, copied := startInEra(6)
		sim.isolateLeaders()
		sim.known = copied.page
		sim.restore(copied)
		sim.servers[model.Incarnation{ID: "i-2", Born: 1000}].Draining = false
		sim.run(300 * time.Millisecond)
		earlier := sim.addLeader("b")
		sim.run(1500 * time.Millisecond)
		ended := sim.now + keys.MaxCallDelay
		for _, m := range sim.leaders[:1] {
			m.Stop()
		}
		earlier.PredecessorsEnded(ended)
		sim.run(ended + 2500*time.Millisecond - sim.now)
		Expect(sim.unowned()).To(Equal(len(sampledKeys)), "the grants by lost pages may be valid")
		earlier.Stop()
		sim.addLeader("c")
		expired := ended + congestedTransitTime + grantTTL*102/100 + 800*time.Millisecond
		sim.run(expired - sim.now)
		Expect(sim.unowned()).To(BeZero())
		Expect(sim.violations).To(BeEmpty())
	})

	for seed := range uint64(40) {
		It(fmt.Sprintf("seed %d: has later leaders of the era wait for the grants by lost pages", seed), func() {
			sim, last, copied := startInEra(2000 + seed)
			sim.lateArrivalShare = 0.2
			sim.isolateLeaders()
			sim.known = copied.page
			sim.restore(copied)
			sim.servers[model.Incarnation{ID: "i-2", Born: 1000}].Draining = seed%2 == 0
			sim.run(300 * time.Millisecond)
			for _, name := range []string{"b", "c", "d"} {
				m := sim.addLeader(name)
				sim.run(time.Duration(500+sim.random.IntN(2500)) * time.Millisecond)
				if sim.random.IntN(2) == 0 {
					last.Stop()
				}
				if !last.Leading() {
					m.PredecessorsEnded(sim.now + keys.MaxCallDelay)
				}
				sim.run(time.Duration(sim.random.IntN(2500)) * time.Millisecond)
				m.Stop()
			}
			sim.lateArrivalShare = 0
			sim.addLeader("e")
			sim.run(25 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}

	It("gives keys without waiting at the first start", func() {
		sim := newSimulation(4)
		sim.era = 1
		sim.addServer("i-0", 1000)
		sim.addLeader("a")
		sim.run(1500 * time.Millisecond)
		Expect(sim.unowned()).To(BeZero())
	})

	It("takes a write that was applied just before the copy for its own", func() {
		sim, m, _ := startInEra(5)
		sim.lostWriteShare = 1
		sim.servers[model.Incarnation{ID: "i-3", Born: 1000}].Draining = true
		sim.run(200 * time.Millisecond)
		sim.lostWriteShare = 0
		sim.restore(sim.copyStore())
		sim.run(100 * time.Millisecond)
		sim.reelect(m)
		sim.run(5 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.unowned()).To(BeZero())
		Expect(m.KnowsNewestPage()).To(BeTrue())
	})

	It("does not have a later leader count from the end of the one before, which knew earlier ones", func() {
		m := keys.NewMachine(keys.Options{Service: "s", Self: keys.Leader{VM: "b", Incarnation: "b"}, GrantTTL: grantTTL, MaxGrantTTL: 2 * grantTTL, PredecessorTimeout: predecessorTimeout})
		servers := []model.Server{{ID: "i-0", Born: 1000, Service: "s", Address: "i-0:1", Slots: 4}}
		owner := keys.Holder{Incarnation: servers[0].Incarnation(), Address: "i-0:1", Fence: 3}
		page := &keys.Page{Stamp: keys.Stamp{Era: 2, Number: 9}, Fence: 3, Writer: keys.Leader{VM: "a", Incarnation: "a"},
			LostGrants: keys.LostGrants{Recorder: "a", WriteID: 1, ArriveWithin: 2000, Ended: true},
			Ranges:     []keys.Range{{To: model.Keys - 1, Owner: owner, Prior: []keys.Holder{{}}}}}
		m.Lead(0, 2)
		m.StepServers(0, servers, true)
		m.StepRead(0, page, kvstore.Position{Era: 2, Version: 1})
		m.PredecessorEnded("a", 0)
		for now := time.Duration(0); now < 2*time.Second+grantTTL; now += tickInterval {
			m.StepServers(now, servers, true)
			m.Tick(now)
			ready := m.Ready()
			Expect(ready.Grants).To(BeEmpty(), "%v: the grants by lost pages may be valid", now)
			if ready.Write != nil {
				m.StepWritten(now, ready.Write.Page.WriteID, kvstore.Position{Era: 2, Version: kvstore.Version(now) + 2}, nil)
			}
		}
	})

	It("does not take a page without ranges for the end of the grants by lost pages", func() {
		m := keys.NewMachine(keys.Options{Service: "s", Self: keys.Leader{VM: "a", Incarnation: "a"}, GrantTTL: grantTTL, MaxGrantTTL: 2 * grantTTL, PredecessorTimeout: predecessorTimeout})
		servers := []model.Server{{ID: "i-0", Born: 1000, Service: "s", Address: "i-0:1", Slots: 4}}
		m.Lead(0, 2)
		m.Tick(0)
		m.StepRead(0, nil, kvstore.Position{Era: 2})
		m.StepServers(0, servers, false)
		m.StepConsulted(0, keys.Consultation{Predecessors: []keys.Leader{{Incarnation: "unknown"}}})
		ended := 3 * time.Second
		m.PredecessorsEnded(ended)
		for now := time.Duration(0); now < ended+2*grantTTL; now += tickInterval {
			m.StepServers(now, servers, true)
			m.Tick(now)
			ready := m.Ready()
			Expect(ready.Grants).To(BeEmpty(), "%v: the grants by lost pages may be valid", now)
			if ready.Write != nil {
				m.StepWritten(now, ready.Write.Page.WriteID, kvstore.Position{Era: 2, Version: kvstore.Version(now) + 1}, nil)
			}
		}
	})

	for seed := range uint64(80) {
		It(fmt.Sprintf("seed %d: with restorations among random faults no key has two holders and fences only grow", seed), func() {
			sim := newSimulation(1000 + seed)
			sim.era = 1
			sim.ignoreLowReleases = seed%2 == 1
			for i := range 4 + sim.random.IntN(4) {
				sim.addServer(fmt.Sprintf("i-%d", i), 1000)
			}
			sim.addLeader("l0")
			copies := []storeCopy{sim.copyStore()}
			sim.run(3 * time.Second)
			var unlisted []string
			for step := range 12 {
				copies = append(copies, sim.copyStore())
				if sim.random.IntN(3) == 0 {
					sim.restore(copies[max(0, len(copies)-1-sim.random.IntN(4))])
					copies = copies[:1]
					sim.electAfterRestoration(step)
				} else {
					unlisted = sim.injectFault(step, unlisted)
				}
				sim.run(time.Duration(200+sim.random.IntN(2500))*time.Millisecond, unlisted...)
			}
			sim.lateShare, sim.lateArrivalShare, sim.lostWriteShare, sim.refusedShare = 0, 0, 0, 0
			for _, s := range sim.servers {
				s.unreachable = false
			}
			sim.addServer("i-99", 1000) // All others may be draining.
			sim.run(40 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.lowReleases).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
		})
	}
})

// electAfterRestoration has the last leader or a new one win the new era.
func (sim *simulation) electAfterRestoration(step int) {
	last := sim.leaders[len(sim.leaders)-1]
	sim.run(time.Duration(100+sim.random.IntN(1500)) * time.Millisecond)
	if sim.random.IntN(2) == 0 && last.Leading() && !sim.unreachable[last] {
		sim.reelect(last)
		return
	}
	sim.addLeader(fmt.Sprintf("r%d", step+1))
}
