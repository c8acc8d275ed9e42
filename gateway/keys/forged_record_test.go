package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

// forge lists a record of another writer with a later start than that of all servers.
func (sim *simulation) forge(id, address string) {
	forged := model.Server{ID: id, Service: "s", Address: address, Zone: "z", Slots: 6, Born: 5000}
	sim.forged = append(sim.forged, forged)
}

// longestUnowned runs the simulation and returns the longest time for which a sampled key had
// no owner.
func (sim *simulation) longestUnowned(d time.Duration, unlisted ...string) time.Duration {
	longest := time.Duration(0)
	ownedAt := make(map[uint16]time.Duration)
	for _, key := range sampledKeys {
		ownedAt[key] = sim.now
	}
	for end := sim.now + d; sim.now < end; {
		sim.run(tickInterval, unlisted...)
		for _, key := range sampledKeys {
			if len(sim.holders(key)) > 0 {
				ownedAt[key] = sim.now
			}
			longest = max(longest, sim.now-ownedAt[key])
		}
	}
	return longest
}

var _ = Describe("A record of another writer", func() {
	const maxUnowned = 700 * time.Millisecond
	for name, record := range map[string]struct{ id, address string }{
		"a server's ID and address":                  {"i-1", "i-1:1"},
		"a server's ID and another address":          {"i-1", "x-1:1"},
		"a server's ID and another server's address": {"i-1", "i-2:1"},
		"another ID at a server's address":           {"x-1", "i-1:1"},
		"another server's ID at a server's address":  {"i-2", "i-1:1"},
	} {
		for seed := range uint64(10) {
			// unlisted are the servers whose own records it replaces.
			var unlisted []string
			if seed%2 == 1 {
				unlisted = []string{record.id}
			}
			It(fmt.Sprintf("seed %d: with %s and a later start gives no key two holders", seed, name), func() {
				sim, _ := startSimulation(seed, 4)
				sim.forge(record.id, record.address)
				unowned := sim.longestUnowned(time.Duration(1000+sim.random.IntN(8000))*time.Millisecond, unlisted...)
				sim.forged = nil
				unowned = max(unowned, sim.longestUnowned(12*time.Second))
				Expect(sim.violations).To(BeEmpty())
				Expect(sim.unowned()).To(BeZero())
				Expect(unowned).To(BeNumerically("<=", maxUnowned))
			})

			It(fmt.Sprintf("seed %d: with %s and a later start gives no key of a server that can't be asked two holders", seed, name), func() {
				sim, _ := startSimulation(seed, 4)
				sim.servers[model.Incarnation{ID: "i-1", Born: 1000}].unreachable = true
				sim.forge(record.id, record.address)
				sim.run(12*time.Second, unlisted...)
				Expect(sim.violations).To(BeEmpty())
				Expect(sim.unowned()).To(BeZero())
			})
		}
	}
})
