package explore

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// heldGrant returns a world in which the first server is cut off from a grant of the
// leader that is under way, and that grant's number.
func heldGrant(g *WithT, cut action) (*world, uint64) {
	w := afterPrompt(newWorld(Size{VMs: 2, Servers: 2}))
	g.Expect(w.apply(Event{cut, 0})).To(Succeed())
	for range 100 {
		w.usual()
		for i := range w.calls {
			if c := &w.calls[i]; c.phase == behindCut {
				g.Expect(c.server).To(Equal(0))
				return w, c.id
			}
		}
	}
	g.Expect(w.calls).To(ContainElement(HaveField("phase", behindCut)))
	return nil, 0
}

// afterPrompt answers all prompt calls.
func afterPrompt(w *world) *world {
	for w.firstPrompt() >= 0 {
		w.usual()
	}
	return w
}

// pending reports whether an event is possible.
func pending(w *world, e Event) bool {
	for _, possible := range w.events(true, nil) {
		if possible == e {
			return true
		}
	}
	return false
}

func TestAKilledVMsGrantArrivesOnceAfterAnotherLeadersGrants(t *testing.T) {
	g := NewWithT(t)
	w, id := heldGrant(g, cutServer)
	g.Expect(afterPrompt(w).apply(Event{kill, 0})).To(Succeed())
	for w.elected == 0 || w.firstPrompt() >= 0 || !w.vms[1].machine.Leading() {
		w.usual()
	}
	g.Expect(pending(w, Event{arrive, id})).To(BeTrue(), "also during the cut")
	g.Expect(w.apply(Event{healServer, 0})).To(Succeed())
	for range 200 {
		if w.servers[0].seen[0] > w.calls[w.find(id)].grant.Fence {
			break
		}
		w.usual()
	}
	before := w.servers[0].holds
	g.Expect(afterPrompt(w).apply(Event{arrive, id})).To(Succeed())
	g.Expect(w.servers[0].holds).To(Equal(before), "its fence is too low")
	g.Expect(w.find(id)).To(Equal(-1))
	g.Expect(w.broken).To(BeNil())
}

func TestAKilledVMsGrantArrivesAtTheLatestSomeTimeAfterTheCut(t *testing.T) {
	g := NewWithT(t)
	w, id := heldGrant(g, cutServer)
	g.Expect(afterPrompt(w).apply(Event{kill, 0})).To(Succeed())
	cut := w.now
	for w.servers[0].cut {
		g.Expect(w.find(id)).To(BeNumerically(">=", 0))
		w.usual()
	}
	g.Expect(w.now - cut).To(BeNumerically("<=", maxCut))
	healed := w.now
	for w.find(id) >= 0 {
		w.usual()
	}
	g.Expect(w.now - healed).To(Equal(deliveryTime))
}

func TestAVMThatLosesPowerDeliversNothing(t *testing.T) {
	g := NewWithT(t)
	w, id := heldGrant(g, cutServer)
	g.Expect(afterPrompt(w).apply(Event{loseVM, 0})).To(Succeed())
	g.Expect(w.find(id)).To(Equal(-1))
}

func TestAProcessThatGivesUpAGrantResetsItsConnection(t *testing.T) {
	g := NewWithT(t)
	w, id := heldGrant(g, cutServer)
	connection := w.calls[w.find(id)].connection
	for end := w.now + time.Second; w.now < end; {
		w.usual()
	}
	g.Expect(w.find(id)).To(Equal(-1))
	g.Expect(w.connectionAt(connection)).To(Equal(-1))
	g.Expect(afterPrompt(w).apply(Event{kill, 0})).To(Succeed())
	for i := range w.calls {
		g.Expect(w.calls[i].outlived()).To(BeFalse())
	}
}

func TestAServerThatIsCutOffAnswersNobody(t *testing.T) {
	g := NewWithT(t)
	w, _ := heldGrant(g, cutServer)
	g.Expect(afterPrompt(w).apply(Event{kill, 0})).To(Succeed())
	seen := w.servers[0].seen
	for w.servers[0].cut {
		w.usual()
		g.Expect(w.servers[0].seen).To(Equal(seen))
	}
	g.Expect(w.servers[0].id).NotTo(BeEmpty())
	g.Expect(w.checkOwned()).To(BeNil())
}

func TestAGrantOfARunningProcessArrivesOnceTheCutEnds(t *testing.T) {
	g := NewWithT(t)
	w, id := heldGrant(g, cutServer)
	g.Expect(afterPrompt(w).apply(Event{healServer, 0})).To(Succeed())
	g.Expect(w.calls[w.find(id)].phase).To(Equal(inTransit))
	g.Expect(w.apply(Event{arrive, id})).To(Succeed())
	g.Expect(w.holdsKey(0, 0)).To(BeTrue())
}

func TestAServerBeyondItsCapResetsNewConnectionsAfterACut(t *testing.T) {
	g := NewWithT(t)
	w, _ := heldGrant(g, cutServerFull)
	g.Expect(afterPrompt(w).apply(Event{kill, 0})).To(Succeed())
	for !w.vms[1].machine.Leading() || w.firstPrompt() >= 0 {
		w.usual()
	}
	g.Expect(w.apply(Event{healServer, 0})).To(Succeed())
	healed, seen := w.now, w.servers[0].seen
	for w.now < healed+resetTime {
		g.Expect(w.servers[0].seen).To(Equal(seen))
		w.usual()
	}
	g.Expect(w.hindered(0)).To(Equal(Capped))
	for w.hindered(0) != "" {
		w.usual()
	}
	g.Expect(w.servers[0].seen).NotTo(Equal(seen), "the next leader reaches it")
}
