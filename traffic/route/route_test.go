package route

import (
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
	s := &Snapshot{Places: map[string]Place{}}
	for i := range 12 {
		s.Places["vm"+strconv.Itoa(i)] = Place{Region: "r" + strconv.Itoa(i%2), Zone: "z" + strconv.Itoa(i%4)}
	}
	used := map[string]int{}
	for i := range 300 {
		vm := s.QueueVM("server"+strconv.Itoa(i), "r0", "z0")
		g.Expect(s.Places[vm]).To(Equal(Place{Region: "r0", Zone: "z0"}))
		used[vm]++
	}
	g.Expect(used).To(HaveLen(3), "every VM of the zone gets its part")
	g.Expect(s.Places[s.QueueVM("x", "r0", "none")].Region).To(Equal("r0"), "else one of the region")
	g.Expect(s.QueueVM("x", "none", "z0")).To(BeEmpty())

	gone := s.QueueVM("x", "r0", "z0")
	before := map[string]string{}
	for i := range 100 {
		name := strconv.Itoa(i)
		before[name] = s.QueueVM(name, "r0", "z0")
	}
	delete(s.Places, gone)
	for name, vm := range before {
		if vm != gone {
			g.Expect(s.QueueVM(name, "r0", "z0")).To(Equal(vm), "only what the lost VM had moves")
		}
	}
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
