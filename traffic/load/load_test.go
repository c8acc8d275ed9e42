package load

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

func TestUnitsUnderConcurrency(t *testing.T) {
	g := NewWithT(t)
	var units UnitCounters
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 1000 {
				unit := uint32(i % 5 * chunkUnits)
				units.BeginRequest(unit)
				units.Count(unit)
				if worker > 0 || i > 0 {
					units.EndRequest(unit)
				}
			}
		})
	}
	group.Wait()
	g.Expect(units.InFlight()).To(Equal([]uint32{0}))
	counts := units.Take()
	g.Expect(counts).To(HaveLen(5))
	for _, count := range counts {
		g.Expect(count.Requests).To(BeEquivalentTo(1600))
	}
	g.Expect(units.Take()).To(BeEmpty())
}

func TestSketchFindsFrequentKeys(t *testing.T) {
	g := NewWithT(t)
	sketch := NewSketch(64)
	random := rand.New(rand.NewPCG(1, 1))
	for range 80_000 {
		key := "cold" + strconv.Itoa(random.IntN(100_000))
		if random.IntN(10) == 0 {
			key = "hot" + strconv.Itoa(random.IntN(2))
		}
		sketch.Count(key)
	}
	top := sketch.Take(2)
	g.Expect([]string{top[0].Key, top[1].Key}).To(ConsistOf("hot0", "hot1"))
	for _, found := range top {
		g.Expect(found.Requests - found.Error).To(BeNumerically("<=", 4800))
		g.Expect(found.Requests).To(BeNumerically(">=", 3200))
	}
	g.Expect(sketch.Take(2)).To(BeEmpty())
}
