package explore

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
)

// TestEventsLeaveTheirStateAlone walks at random and applies every possible event to two
// clones of each state.
func TestEventsLeaveTheirStateAlone(t *testing.T) {
	g := NewWithT(t)
	encoder := &keys.StateEncoder{}
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(Size{VMs: 3, Servers: 3})
		for range 60 {
			before := w.fingerprint(encoder)
			events := w.events(true, nil)
			for _, e := range events {
				first, second := w.clone(), w.clone()
				g.Expect(first.apply(e)).To(Succeed())
				g.Expect(second.apply(e)).To(Succeed())
				g.Expect(second.fingerprint(encoder)).To(Equal(first.fingerprint(encoder)), "%s is not deterministic", e)
			}
			g.Expect(w.fingerprint(encoder)).To(Equal(before), "a clone's event changed its original")
			w.mustApply(events[random.IntN(len(events))])
			if w.broken != nil {
				break
			}
		}
	}
}

// TestAWorldReturnsToItsStates shows that a world without faults has few states.
func TestAWorldReturnsToItsStates(t *testing.T) {
	g := NewWithT(t)
	encoder := &keys.StateEncoder{}
	w, seen := newWorld(Size{VMs: 2, Servers: 2}), make(map[keys.Fingerprint]bool)
	for range 1000 {
		w.usual()
		seen[w.fingerprint(encoder)] = true
	}
	g.Expect(len(seen)).To(BeNumerically("<", 50))
	g.Expect(w.broken).To(BeNil())
}

func TestEveryActionHasAName(t *testing.T) {
	g := NewWithT(t)
	seen := make(map[string]bool)
	for _, name := range actionNames {
		g.Expect(name).NotTo(BeEmpty())
		g.Expect(seen[name]).To(BeFalse(), name)
		seen[name] = true
	}
}
