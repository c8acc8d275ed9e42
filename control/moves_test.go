package control_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/control/controltest"
	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// maxMoveOutage covers two control round trips between zones, plus the ticks
// and checks in between.
const maxMoveOutage = 60 * time.Millisecond

// ownedUnits counts the units that a server owns in the store's page.
func ownedUnits(f *controltest.Fleet, server string) int {
	page, _ := f.Store.Page(recipes)
	count := 0
	for _, unit := range page.Units {
		if unit.Owner == server {
			count++
		}
	}
	return count
}

func sawEvent(f *controltest.Fleet, number event.Number) bool {
	for _, vm := range f.VMs {
		if slices.ContainsFunc(vm.Events, func(e event.Event) bool { return e.Number == number }) {
			return true
		}
	}
	return false
}

func declareLost(f *controltest.Fleet, kind config.LostKind, name string) {
	f.Configure(func(c *config.Configuration) {
		c.Lost = append(c.Lost, config.Lost{Kind: kind, Name: name, Reason: "test"})
	})
}

var _ = Describe("a planned change", func() {
	It("empties a draining server within 3 s with no longer outage than one move's", func() {
		f := startFleet(smallFleetOptions(1, 4, 16, allCheckGrants))
		setDraining(f, "s1", true)
		f.Run(3 * time.Second)
		expectHealthy(f)
		Expect(ownedUnits(f, "s1")).To(BeZero())
		Expect(longestOutage(f)).To(BeNumerically("<=", maxMoveOutage))
	})

	It("hands over every term before a VM stops", func() {
		f := startFleet(smallFleetOptions(2, 4, 16, allCheckGrants))
		leaving := f.VM(f.Grantor(recipes, "s0"))
		leaving.Stop()
		f.Run(2 * time.Second)
		Expect(leaving.Released).To(BeTrue())
		leaving.Kill()
		f.Run(5 * time.Second)
		expectHealthy(f)
		Expect(longestOutage(f)).To(BeZero())
	})

	It("replaces every VM in turn without an outage", func() {
		f := startFleet(smallFleetOptions(3, 8, 32, allCheckGrants))
		for _, vm := range f.VMs {
			vm.Stop()
			f.Run(2 * time.Second)
			Expect(vm.Released).To(BeTrue(), vm.Name)
			vm.Kill()
			f.Run(time.Second)
			vm.Start()
			f.Run(time.Second)
		}
		f.Run(2 * time.Minute)
		expectHealthy(f)
		Expect(longestOutage(f)).To(BeZero())
		page, _ := f.Store.Page(recipes)
		terms := make(map[string]int)
		for _, entry := range page.Servers {
			terms[entry.Grantor]++
			Expect(f.VM(entry.Grantor).Zone).NotTo(Equal(f.Server(entry.Name).Config.Zone))
		}
		for vm, count := range terms {
			Expect(count).To(BeNumerically("<=", 2), vm)
		}
	})

	It("adds a server that is new in the configuration and removes one that is no longer in it", func() {
		options := smallFleetOptions(1, 4, 16, allCheckGrants)
		joining := options.Configuration.Servers[3]
		options.Configuration.Servers = options.Configuration.Servers[:3]
		options.UnconfiguredServers = []config.Server{joining}
		f := startFleet(options)
		f.Configure(func(c *config.Configuration) { c.Servers = append(c.Servers[1:], joining) })
		f.Run(5 * time.Second)
		expectHealthy(f)
		page, _ := f.Store.Page(recipes)
		Expect(page.Server("s3")).NotTo(BeNil())
		Expect(page.Server("s0")).To(BeNil())
		Expect(longestOutage(f)).To(BeNumerically("<=", maxMoveOutage))
	})

	It("pins a declared key, and reports why one can't be pinned", func() {
		f := startFleet(smallFleetOptions(1, 4, 16, allCheckGrants))
		f.Configure(func(c *config.Configuration) {
			c.Services = slices.Clone(c.Services)
			c.Services[0].Keys = []config.KeyDeclaration{{Key: "tonkotsu", Server: "s2"}, {Key: "shoyu", Server: "s9"}}
		})
		f.Run(12 * time.Second)
		expectHealthy(f)
		explained := f.VMs[0].Explain(recipes, "tonkotsu")
		Expect(explained.Owner).To(Equal("s2"))
		Expect(explained.Declared).To(BeTrue())
		Expect(sawEvent(f, event.KeyUnsatisfiable)).To(BeTrue())
		Expect(f.VMs[0].Explain(recipes, "shoyu").UnsatisfiedReason).To(ContainSubstring("does not serve"))
	})

	It("moves keys that were just isolated only when none of their requests is running", func() {
		options := smallFleetOptions(1, 4, 8, allCheckGrants)
		options.SimulateRequests = true
		f := startFleet(options)
		for round := range 4 {
			f.Configure(func(c *config.Configuration) {
				c.Services = slices.Clone(c.Services)
				c.Services[0].Keys = nil
				for i := range 12 {
					declared := config.KeyDeclaration{Key: fmt.Sprintf("key-%d", i), Server: fmt.Sprintf("s%d", (round+i)%4)}
					c.Services[0].Keys = append(c.Services[0].Keys, declared)
				}
			})
			f.Run(3 * time.Second)
		}
		expectHealthy(f)
	})

	It("refuses a different number of shards and keeps serving", func() {
		f := startFleet(smallFleetOptions(1, 4, 16, allCheckGrants))
		f.Configure(func(c *config.Configuration) {
			c.Services = slices.Clone(c.Services)
			c.Services[0].Shards = 32
		})
		f.Run(3 * time.Second)
		expectHealthy(f)
		Expect(sawEvent(f, event.ShardsChangeRefused)).To(BeTrue())
		Expect(longestOutage(f)).To(BeZero())
	})
})

var _ = Describe("a server and its grantor both lost", func() {
	var f *controltest.Fleet
	var grantor string
	BeforeEach(func() {
		f = startFleet(smallFleetOptions(2, 4, 16, allCheckGrants))
		grantor = f.Grantor(recipes, "s1")
		f.VM(grantor).Kill()
		f.Server("s1").Lost = true
		f.Run(10 * time.Second)
		Expect(ownedUnits(f, "s1")).To(Equal(4))
	})

	It("moves its units after both are declared lost", func() {
		declareLost(f, config.LostServer, "s1")
		declareLost(f, config.LostVM, grantor)
		f.Run(6 * time.Second)
		expectHealthy(f)
		Expect(ownedUnits(f, "s1")).To(BeZero())
	})

	It("moves its units after its region is declared lost", func() {
		declareLost(f, config.LostRegion, "r1")
		f.Run(2 * time.Second)
		page, _ := f.Store.Page(recipes)
		Expect(page.Server("s1").Term).To(BeNumerically(">", 1))
		Expect(f.Violations()).To(BeEmpty())
	})

	It("serves again when the server returns", func() {
		f.Server("s1").Restart()
		f.Run(3 * time.Second)
		expectHealthy(f)
	})

	It("serves again when the grantor's VM returns", func() {
		f.VM(grantor).Start()
		f.Run(5 * time.Second)
		expectHealthy(f)
		Expect(ownedUnits(f, "s1")).To(BeZero())
	})
})

var _ = Describe("a store outage", func() {
	var f *controltest.Fleet
	BeforeEach(func() {
		f = startFleet(smallFleetOptions(2, 4, 16, allCheckGrants))
		f.Store.Down = true
	})

	It("alone leaves every unit served", func() {
		f.Run(60 * time.Second)
		expectHealthy(f)
		Expect(longestOutage(f)).To(BeZero())
	})

	It("does not block a server that freezes and resumes during it", func() {
		f.Run(3 * time.Second)
		f.Server("s1").Freeze()
		f.Run(4 * time.Second)
		f.Server("s1").Thaw()
		f.Run(time.Second)
		expectHealthy(f)
	})

	It("stops new work for a draining server after 3 s", func() {
		setDraining(f, "s1", true)
		f.Run(3 * time.Second)
		Expect(f.Unserved(recipes)).To(HaveLen(ownedUnits(f, "s1")))
		f.Store.Down = false
		f.Run(3 * time.Second)
		expectHealthy(f)
		Expect(ownedUnits(f, "s1")).To(BeZero())
	})

	It("with the loss of a server moves no unit until it ends", func() {
		f.Server("s1").Lost = true
		f.Run(20 * time.Second)
		Expect(ownedUnits(f, "s1")).To(Equal(4))
		f.Store.Down = false
		f.Run(4 * time.Second)
		expectHealthy(f)
		Expect(ownedUnits(f, "s1")).To(BeZero())
	})
})

var _ = Describe("servers that do not check grants", func() {
	none := func(int) bool { return false }

	It("are served again after the loss of their home", func() {
		f := startFleet(smallFleetOptions(2, 4, 16, none))
		f.VM(f.Grantor(recipes, "s1")).Kill()
		f.Run(5 * time.Second)
		expectHealthy(f)
		Expect(longestOutage(f)).To(BeNumerically("<=", maxLossOutage))
	})

	It("lose their units once their home confirms that it has stopped sending", func() {
		f := startFleet(smallFleetOptions(2, 4, 16, none))
		f.Server("s1").Lost = true
		f.Run(5 * time.Second)
		expectHealthy(f)
		Expect(ownedUnits(f, "s1")).To(BeZero())
		Expect(longestOutage(f)).To(BeNumerically("<=", maxLossOutage))
	})

	It("are drained", func() {
		f := startFleet(smallFleetOptions(2, 4, 16, none))
		setDraining(f, "s1", true)
		f.Run(3 * time.Second)
		expectHealthy(f)
		Expect(ownedUnits(f, "s1")).To(BeZero())
	})

	It("keep their units while a former home has not released its term, until it is declared lost", func() {
		f := startFleet(smallFleetOptions(2, 4, 16, none))
		former := f.Grantor(recipes, "s1")
		f.VM(former).Kill()
		f.Run(5 * time.Second)
		f.Server("s1").Lost = true
		f.Run(10 * time.Second)
		Expect(ownedUnits(f, "s1")).To(Equal(4))
		Expect(sawEvent(f, event.BothUnreachable)).To(BeTrue())
		declareLost(f, config.LostVM, former)
		f.Run(5 * time.Second)
		expectHealthy(f)
		Expect(ownedUnits(f, "s1")).To(BeZero())
	})
})

var _ = Describe("a region that is partitioned", func() {
	It("keeps serving its own keys", func() {
		options := smallFleetOptions(2, 8, 32, allCheckGrants)
		spreadServersOverRegions(&options)
		f := startFleet(options)
		before, _ := f.Store.Page(recipes)
		f.Partition("r1", "r2")
		f.Run(60 * time.Second)
		expectHealthy(f)
		Expect(longestOutage(f)).To(BeZero())
		after, _ := f.Store.Page(recipes)
		Expect(after.Units).To(Equal(before.Units))
		f.Heal()
		f.Run(10 * time.Second)
		expectHealthy(f)
	})
})

var _ = Describe("an override", func() {
	It("is isolated and merged into its shard again", func() {
		page, err := ownership.New(recipes, []ownership.Server{{Name: "b", Term: 1}, {Name: "a", Term: 1}}, []string{"a", "b"})
		Expect(err).NotTo(HaveOccurred())
		shard := page.UnitOf("key")
		owner, epoch := shard.Owner, shard.Epoch
		id, err := page.Isolate("key", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.UnitOf("key")).To(HaveValue(Equal(ownership.Unit{ID: id, Owner: owner, Epoch: epoch + 1})))
		Expect(page.Check()).To(Succeed())
		Expect(page.Merge("key")).To(Succeed())
		Expect(page.UnitOf("key").Epoch).To(Equal(epoch + 2))
		Expect(page.Check()).To(Succeed())
	})
})
