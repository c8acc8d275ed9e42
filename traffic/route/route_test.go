package route

import (
	"maps"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

func TestLookup(t *testing.T) {
	g := NewWithT(t)
	s := &Service{Shards: 4, Overrides: map[string]Unit{"hot": {ID: 9}}}
	for i := range s.Shards {
		s.Units = append(s.Units, Unit{ID: i})
	}
	unit, ok := s.Lookup("hot")
	g.Expect(ok).To(BeTrue())
	g.Expect(unit.ID).To(BeEquivalentTo(9))
	unit, ok = s.Lookup("cold")
	g.Expect(ok).To(BeTrue())
	g.Expect(unit.ID).To(Equal(Shard("cold", 4)))
	_, ok = (&Service{}).Lookup("cold")
	g.Expect(ok).To(BeFalse())
}

func TestServerByName(t *testing.T) {
	g := NewWithT(t)
	s := &Service{Servers: []*Server{{Name: "a"}, {Name: "b"}, {Name: "d"}}}
	g.Expect(s.Server("d")).To(BeIdenticalTo(s.Servers[2]))
	g.Expect(s.Server("c")).To(BeNil())
}

func TestQueueVM(t *testing.T) {
	g := NewWithT(t)
	locations := map[string]Location{}
	for i := range 12 {
		locations["vm"+strconv.Itoa(i)] = Location{Region: "r" + strconv.Itoa(i%2), Zone: "z" + strconv.Itoa(i%4)}
	}
	homes := NewHomes(locations)
	before := map[string]string{}
	used := map[string]int{}
	for i := range 300 {
		server := strconv.Itoa(i)
		before[server] = homes.HomeVM(server, "r0", "z0")
		used[before[server]]++
		g.Expect(locations[before[server]]).To(Equal(Location{Region: "r0", Zone: "z0"}))
	}
	g.Expect(used).To(HaveLen(3), "every VM of the zone gets its share")
	g.Expect(locations[homes.HomeVM("x", "r0", "none")].Region).To(Equal("r0"), "else one of the region")
	g.Expect(homes.HomeVM("x", "none", "z0")).To(BeEmpty())

	g.Expect(homes.WithLocations(maps.Clone(locations))).To(BeIdenticalTo(homes), "the same locations")
	gone := before["0"]
	fewer := maps.Clone(locations)
	delete(fewer, gone)
	homes = homes.WithLocations(fewer)
	for server, vm := range before {
		if vm != gone {
			g.Expect(homes.HomeVM(server, "r0", "z0")).To(Equal(vm), "only servers of the lost VM move")
		}
	}
	moved := maps.Clone(fewer)
	moved["vm1"] = Location{Region: "r0", Zone: "z0"}
	g.Expect(homes.WithLocations(moved)).NotTo(BeIdenticalTo(homes))
}

func TestPublisherWakesWaiters(t *testing.T) {
	g := NewWithT(t)
	p := NewPublisher()
	_, replaced := p.LoadAndWatch()
	next := &Snapshot{Self: "a"}
	p.Publish(next)
	g.Expect(replaced).To(BeClosed())
	g.Expect(p.Load()).To(BeIdenticalTo(next))
}
