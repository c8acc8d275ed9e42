package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/control/ownership"
)

// keyOf returns a key that is owned by a server in a page.
func keyOf(page ownership.Page, server string) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("key-%d", i)
		if page.UnitOf(key).Owner == server {
			return key
		}
	}
}

const maxLossOutage = 2 * time.Second

var _ = Describe("a loss", func() {
	It("starts with every shard served", func() {
		f := startFleet(smallFleetOptions(1, 4, 16, allCheckGrants))
		page, _ := f.Store.Page(recipes)
		Expect(page.Units).To(HaveLen(16))
		for _, entry := range page.Servers {
			Expect(f.VM(entry.Grantor).Region).To(Equal("r1"))
			Expect(f.VM(entry.Grantor).Zone).NotTo(Equal(f.Server(entry.Name).Config.Zone))
		}
	})

	It("of a server is over within 2 s and moves only its units", func() {
		f := startFleet(smallFleetOptions(1, 4, 16, allCheckGrants))
		before, _ := f.Store.Page(recipes)
		f.Server("s1").Lost = true
		f.Run(5 * time.Second)
		expectHealthy(f)
		Expect(longestOutage(f)).To(BeNumerically("<=", maxLossOutage))
		explained := f.VMs[0].Explain(recipes, keyOf(before, "s1"))
		Expect(explained.Servable).To(BeTrue())
		Expect(explained.Changes[len(explained.Changes)-1].Cause).To(Equal("lost s1"))
		after, _ := f.Store.Page(recipes)
		for _, unit := range before.Units {
			if unit.Owner != "s1" {
				Expect(*after.Unit(unit.ID)).To(Equal(unit))
			}
		}
	})

	It("of a server is handled while the store takes one second for each answer", func() {
		f := startFleet(smallFleetOptions(1, 4, 16, allCheckGrants))
		f.Store.ReplyDelay = time.Second
		f.Run(3 * time.Second)
		f.Server("s1").Lost = true
		f.Run(8 * time.Second)
		expectHealthy(f)
		// One read overlaps the wait for the grant to expire; the write adds
		// the other second.
		Expect(longestOutage(f)).To(BeNumerically("<=", maxLossOutage+f.Store.ReplyDelay))
	})

	It("of a grantor leaves every unit served throughout", func() {
		f := startFleet(smallFleetOptions(2, 4, 16, allCheckGrants))
		lost := f.Grantor(recipes, "s1")
		f.VM(lost).Kill()
		f.Run(5 * time.Second)
		expectHealthy(f)
		Expect(longestOutage(f)).To(BeZero())
		Expect(f.Grantor(recipes, "s1")).NotTo(Equal(lost))
	})

	It("of a zone is over within 2 s", func() {
		f := startFleet(smallFleetOptions(2, 6, 24, allCheckGrants))
		for _, vm := range f.VMs {
			if vm.Zone == "r1a" {
				vm.Kill()
			}
		}
		for _, server := range f.Servers {
			server.Lost = server.Lost || server.Config.Zone == "r1a"
		}
		f.Run(6 * time.Second)
		expectHealthy(f)
		Expect(longestOutage(f)).To(BeNumerically("<=", maxLossOutage))
	})

	It("of the connection between a server and its grantor moves the term and nothing else", func() {
		f := startFleet(smallFleetOptions(2, 4, 16, allCheckGrants))
		before, _ := f.Store.Page(recipes)
		f.Partition(f.Grantor(recipes, "s1"), "s1")
		f.Run(5 * time.Second)
		expectHealthy(f)
		Expect(longestOutage(f)).To(BeZero())
		after, _ := f.Store.Page(recipes)
		Expect(after.Units).To(Equal(before.Units))
	})

	It("of a server and its grantor moves nothing before an operator declares the loss", func() {
		f := startFleet(smallFleetOptions(2, 4, 16, allCheckGrants))
		grantor := f.Grantor(recipes, "s1")
		f.VM(grantor).Kill()
		f.Server("s1").Lost = true
		f.Run(10 * time.Second)
		Expect(f.Violations()).To(BeEmpty())
		page, _ := f.Store.Page(recipes)
		owned := func(page ownership.Page) int {
			count := 0
			for _, unit := range page.Units {
				if unit.Owner == "s1" {
					count++
				}
			}
			return count
		}
		Expect(owned(page)).To(Equal(4))
	})
})
