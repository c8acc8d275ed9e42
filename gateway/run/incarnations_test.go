package run

import (
	"testing"
	"time"

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
	yieldDone{predecessor: last, term: l.term, response: &peer.YieldResponse{VM: "another", Incarnation: "another"}}.apply(l)
	g.Expect(l.machines["s"].Predecessors()).To(ConsistOf(last))
	yieldDone{predecessor: last, term: l.term, response: &peer.YieldResponse{VM: last.VM, Incarnation: "restarted"}}.apply(l)
	g.Expect(l.machines["s"].Predecessors()).To(BeEmpty(), "two processes of a VM can't listen at one address")
}

func TestCallsOfALeaderThatRestartedAtOnceAreStillAwaited(t *testing.T) {
	g := NewWithT(t)
	now := 20 * time.Second
	answered := func(incarnation string, uptimeMS int64) time.Duration {
		done := yieldDone{predecessor: keys.Leader{VM: "last", Incarnation: "last"}, response: &peer.YieldResponse{VM: "last", Incarnation: incarnation, UptimeMS: uptimeMS}}
		return done.lastArrival(now)
	}
	g.Expect(answered("last", 60_000)).To(Equal(now + keys.MaxCallDelay))
	g.Expect(answered("restarted", 100)).To(Equal(now-100*time.Millisecond+keys.MaxCallDelay), "its last grant may be on its way")
	g.Expect(answered("restarted", 60_000)).To(Equal(now), "all have arrived")
	g.Expect(answered("restarted", -60_000)).To(Equal(now + keys.MaxCallDelay))
}

func TestPredecessorThatYieldedToAnEarlierTermMayLeadAgain(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	last := takeOver(l)
	asked := kvstore.Position{Era: 1, Version: 40}
	yieldDone{predecessor: last, term: asked, response: &peer.YieldResponse{VM: last.VM, Incarnation: last.Incarnation}}.apply(l)
	g.Expect(l.machines["s"].Predecessors()).To(ConsistOf(last), "it may have led since it answered")
}
