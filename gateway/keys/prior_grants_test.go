package keys

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// pageWithPriorHolder returns a page whose only range has been taken from a server that does
// not answer.
func pageWithPriorHolder(number uint64, arriveWithin int64) *Page {
	owner := Holder{Incarnation: model.Incarnation{ID: "i-1", Born: 1}, Address: "a:1", Fence: 9}
	prior := Holder{Incarnation: model.Incarnation{ID: "i-0", Born: 1}, Address: "a:0", Fence: 5}
	return &Page{Stamp: Stamp{Era: 1, Number: number}, Fence: 9, PriorGrantsArriveWithin: arriveWithin, Writer: Leader{VM: "a", Incarnation: "a"},
		Ranges: []Range{{To: model.Keys - 1, Owner: owner, Prior: []Holder{prior}}}}
}

func priorKey(p *Page) holderKey { return keyOf(p.Ranges[0], p.Ranges[0].Prior[0]) }

func TestOnlyALaterPageTellsOfGrantsToAPriorHolder(t *testing.T) {
	g := NewWithT(t)
	first := pageWithPriorHolder(3, 1)
	bounds := PriorGrantBounds{}.See(10*time.Second, first)
	g.Expect(bounds.arrival(priorKey(first))).To(Equal(never), "the writer may not know yet that it is written")
	bounds = bounds.See(11*time.Second, first)
	g.Expect(bounds.arrival(priorKey(first))).To(Equal(never), "the same page")
	bounds = bounds.See(12*time.Second, pageWithPriorHolder(4, 0))
	g.Expect(bounds.arrival(priorKey(first))).To(Equal(never), "an earlier leader may send grants")
	bounds = bounds.See(13*time.Second, pageWithPriorHolder(5, 3000))
	g.Expect(bounds.arrival(priorKey(first))).To(Equal(16 * time.Second))
	bounds = bounds.See(14*time.Second, pageWithPriorHolder(6, 3500))
	g.Expect(bounds.arrival(priorKey(first))).To(Equal(16 * time.Second))
	bounds = bounds.See(15*time.Second, pageWithPriorHolder(7, 0))
	g.Expect(bounds.arrival(priorKey(first))).To(Equal(16*time.Second), "no later leader sends any")
	restored := pageWithPriorHolder(8, 1)
	restored.Era = 2
	g.Expect(bounds.See(16*time.Second, restored).arrival(priorKey(first))).To(Equal(never))
}

func TestUnknownHolderHasNoKnownArrival(t *testing.T) {
	g := NewWithT(t)
	unknown := func(number uint64) *Page {
		page := pageWithPriorHolder(number, 1)
		page.Ranges[0].Prior = []Holder{unknownHolder}
		return page
	}
	bounds := PriorGrantBounds{}.See(time.Second, unknown(1)).See(2*time.Second, unknown(2))
	g.Expect(bounds.arrival(priorKey(unknown(2)))).To(Equal(never))
}

// A leader takes over at 20 s; the prior holder's last grant arrived at 12 s.
func TestWaitForAPriorHolderDoesNotBeginAnewWithEachLeader(t *testing.T) {
	for known, wait := range map[bool]time.Duration{true: 0, false: MaxCallDelay + 2500*time.Millisecond} {
		g := NewWithT(t)
		m := NewMachine(Options{Service: "s", Self: Leader{VM: "b", Incarnation: "b"}, GrantTTL: 2500 * time.Millisecond, PredecessorTimeout: 12 * time.Second})
		stored := pageWithPriorHolder(4, 1)
		if known {
			m.KnowPriorGrants(PriorGrantBounds{}.See(11*time.Second, pageWithPriorHolder(3, 0)).See(12*time.Second, stored))
		}
		began := 20 * time.Second
		m.Lead(began, 1)
		m.StepServers(began, []model.Server{{ID: "i-1", Born: 1, Address: "a:1", Slots: 4}}, true)
		m.Tick(began)
		m.StepRead(began, stored, kvstore.Position{Era: 1, Version: 7})
		m.PredecessorEnded("a", began+MaxCallDelay)
		g.Expect(firstGrantAfter(m, began)).To(And(BeNumerically(">=", wait), BeNumerically("<", wait+500*time.Millisecond)), "known: %v", known)
	}
}

// firstGrantAfter returns how long after a time the first grant is sent.
func firstGrantAfter(m *Machine, began time.Duration) time.Duration {
	version := kvstore.Version(7)
	for now := began; now < began+20*time.Second; now += 20 * time.Millisecond {
		m.Tick(now)
		ready := m.Ready()
		if len(ready.Grants) > 0 {
			return now - began
		}
		if ready.Write != nil {
			version++
			m.StepWritten(now, ready.Write.Page.WriteID, kvstore.Position{Era: 1, Version: version}, nil)
		}
		for _, call := range ready.Releases {
			m.StepReleased(now, call, ReleaseUnanswered, "")
		}
	}
	return never
}

func TestPageTellsNothingOfGrantsWhileAnEarlierLeaderMaySendSome(t *testing.T) {
	g := NewWithT(t)
	m := NewMachine(Options{Service: "s", Self: Leader{VM: "b", Incarnation: "b"}, GrantTTL: 2500 * time.Millisecond, PredecessorTimeout: 12 * time.Second})
	began := 20 * time.Second
	m.Lead(began, 1)
	m.StepServers(began, []model.Server{{ID: "i-1", Born: 1, Address: "a:1", Slots: 4}}, true)
	m.Tick(began)
	m.StepRead(began, pageWithPriorHolder(4, 1), kvstore.Position{Era: 1, Version: 7})
	m.Tick(began)
	write := m.Ready().Write
	g.Expect(write.Page.PriorGrantsArriveWithin).To(BeZero())
	m.StepWritten(began, write.Page.WriteID, kvstore.Position{Era: 1, Version: 8}, nil)
	m.PredecessorEnded("a", began+MaxCallDelay)
	m.Tick(began + 100*time.Millisecond)
	within := time.Duration(m.Ready().Write.Page.PriorGrantsArriveWithin) * time.Millisecond
	g.Expect(within).To(BeNumerically(">=", MaxCallDelay-100*time.Millisecond+impairedTransitTime-transitTime))
}

// Leader a goes on until 21.5 s, as its successor b knows, which resigns in favour of c.
func TestSuccessorOfAnEarlyResignationWaitsForTheLeaderBeforeIt(t *testing.T) {
	g := NewWithT(t)
	began := 20 * time.Second
	lead := func(name string, now time.Duration, stored *Page, version kvstore.Version) *Machine {
		m := NewMachine(Options{Service: "s", Self: Leader{VM: name, Incarnation: name}, GrantTTL: 2500 * time.Millisecond, PredecessorTimeout: 12 * time.Second})
		m.Lead(now, 1)
		m.StepServers(now, []model.Server{{ID: "i-1", Born: 1, Address: "a:1", Slots: 4}}, true)
		m.Tick(now)
		m.StepRead(now, stored, kvstore.Position{Era: 1, Version: version})
		return m
	}
	b := lead("b", began, pageWithPriorHolder(4, 1), 7)
	lastArrival := began + 1500*time.Millisecond + MaxCallDelay
	b.PredecessorsOutvoted(lastArrival)
	b.Tick(began)
	written := b.Ready().Write.Page
	g.Expect(written.Predecessors).To(BeEmpty())

	c := lead("c", began+300*time.Millisecond, written, 8)
	c.PredecessorEnded("b", began+300*time.Millisecond+MaxCallDelay)
	g.Expect(c.predecessorBound()).To(BeNumerically(">=", lastArrival))
}
