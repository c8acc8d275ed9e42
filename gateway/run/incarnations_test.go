package run

import (
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// takeOver has a loop lead a service whose page was written by the returned leader.
func takeOver(l *loop) keys.Leader {
	l.machines["s"] = keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: grantTTL})
	l.term = kvstore.Position{Era: 1, Version: 60}
	l.startLeading(l.clock())
	taken := page(keys.Stamp{Era: 1, Number: 4})
	l.machines["s"].StepRead(l.clock(), taken, kvstore.Position{Era: 1, Version: 30})
	return taken.Writer
}

func TestAnotherVMAtThePredecessorsAddressDoesNotProveItsEnd(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	last := takeOver(l)
	yieldDone{predecessor: last, response: &peer.YieldResponse{VM: "another", Incarnation: "another"}}.apply(l)
	g.Expect(l.machines["s"].Predecessors()).To(ConsistOf(last))
	yieldDone{predecessor: last, response: &peer.YieldResponse{VM: last.VM, Incarnation: "restarted"}}.apply(l)
	g.Expect(l.machines["s"].Predecessors()).To(BeEmpty(), "two processes of a VM can't listen at one address")
}
