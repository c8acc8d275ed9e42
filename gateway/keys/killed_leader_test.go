package keys_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// thawTime is how long after a link has healed a grant that was held up may still arrive.
const thawTime = 300 * time.Millisecond

// cutOffWithGrants makes a server unreachable for a time and returns the grants to it that
// were sent meanwhile and are in flight in the end.
func (sim *simulation) cutOffWithGrants(server *fakeServer, d time.Duration) []keys.GrantCall {
	var held []keys.GrantCall
	cutAt := sim.now
	server.unreachable = true
	sim.onGrant = func(call keys.GrantCall) {
		if call.Incarnation == server.Incarnation() && sim.now >= cutAt+d-keys.CallTimeout {
			held = append(held, call)
		}
	}
	sim.run(d)
	sim.onGrant = nil
	return held
}

var _ = Describe("A leader that is killed while a server is cut off from it", func() {
	for seed := range uint64(30) {
		It(fmt.Sprintf("seed %d: leaves no grant that the server accepts after its keys have moved", seed), func() {
			sim, earlier := startSimulation(seed, 4)
			server := sim.servers[model.Incarnation{ID: "i-1", Born: 1000}]
			cutFor := time.Duration(2000+sim.random.IntN(6000)) * time.Millisecond
			if seed%2 == 0 {
				sim.cutOff(server, cutFor)
			}
			held := sim.cutOffWithGrants(server, time.Duration(600+sim.random.IntN(800))*time.Millisecond)
			sim.unreachable[earlier] = true
			earlier.Stop()
			later := sim.addLeader("b")
			sim.after(500*time.Millisecond, func() { later.PredecessorEnded("a", sim.now+keys.MaxCallDelay) })
			sim.after(cutFor, func() {
				server.unreachable = false
				for _, call := range held {
					late := thawTime + time.Duration(sim.random.IntN(2000))*time.Millisecond
					sim.after(late, func() { sim.apply(server, call) })
				}
			})
			sim.run(25 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.unowned()).To(BeZero())
			Expect(later.Page().Unfenced).To(BeEmpty())
		})
	}
})
