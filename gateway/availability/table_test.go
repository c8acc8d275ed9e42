package availability

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

const testDrainTime = 2 * time.Second

var incarnation = model.Incarnation{ID: "i-1", Born: 7}

// kinds returns the kinds of news.
func kinds(news []News) []Kind {
	var found []Kind
	for _, n := range news {
		found = append(found, n.Kind)
	}
	return found
}

func TestServerThatHasSaidNothingIsAvailable(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(testDrainTime)
	server := table.Server(incarnation)
	server.Observe(time.Second, Notice{})
	g.Expect(server.Decide(time.Second, time.Second)).To(Equal(Available))
	g.Expect(table.TakeNews(time.Second)).To(BeEmpty())
	var unknown *Server
	g.Expect(unknown.Decide(time.Second, time.Second)).To(Equal(Available))
	g.Expect(unknown.BackoffEnd()).To(BeZero())
}

func TestLeavingServerGetsOnlyRequestsThatArrivedInItsDrainTime(t *testing.T) {
	g := NewWithT(t)
	server := NewTable(testDrainTime).Server(incarnation)
	said := 10 * time.Second
	server.Observe(said, Notice{Leaving: true})
	server.Observe(said+time.Second, Notice{Leaving: true})
	late := said + time.Minute
	g.Expect(server.Decide(said, said)).To(Equal(LastResort))
	g.Expect(server.Decide(late, said+testDrainTime)).To(Equal(LastResort), "it has waited")
	g.Expect(server.Decide(late, said+testDrainTime+1)).To(Equal(Left))
}

func TestShorterBackoffDoesNotEndALongerOne(t *testing.T) {
	g := NewWithT(t)
	server := NewTable(testDrainTime).Server(incarnation)
	server.Observe(time.Second, Notice{Backoff: 10 * time.Second})
	server.Observe(2*time.Second, Notice{Backoff: time.Second})
	g.Expect(server.BackoffEnd()).To(Equal(11 * time.Second))
	g.Expect(server.Decide(11*time.Second-1, 0)).To(Equal(BackingOff))
	g.Expect(server.Decide(11*time.Second, 0)).To(Equal(Available))
}

func TestIncarnationThatIsListedAgainIsStillLeaving(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(0)
	table.Server(incarnation).Observe(time.Second, Notice{Leaving: true})
	table.Release(2*time.Second, incarnation)
	again := table.Server(incarnation)
	g.Expect(again.Decide(time.Minute, time.Minute)).To(Equal(Left))
	g.Expect(table.TakeNews(time.Hour)).To(HaveLen(1), "it is in use")
	table.Release(time.Hour, incarnation)
	g.Expect(kinds(table.TakeNews(time.Hour + MemoryTime - 1))).To(BeEmpty())
	g.Expect(kinds(table.TakeNews(time.Hour + MemoryTime))).To(Equal([]Kind{LeavingForgotten}))
	g.Expect(table.Server(incarnation).Decide(2*time.Hour, 2*time.Hour)).To(Equal(Available))
}

func TestBackoffOutlivesTheAbsenceOfAServer(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(testDrainTime)
	table.Server(incarnation).Observe(0, Notice{Backoff: time.Hour})
	table.Release(time.Second, incarnation)
	g.Expect(kinds(table.TakeNews(30 * time.Minute))).To(Equal([]Kind{BackoffBegun}))
	g.Expect(table.Server(incarnation).Decide(30*time.Minute, 0)).To(Equal(BackingOff))
}

func TestEachWordIsNewsOnce(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(testDrainTime)
	server := table.Server(incarnation)
	server.Observe(time.Second, Notice{Leaving: true, Backoff: time.Second})
	g.Expect(kinds(table.TakeNews(time.Second))).To(Equal([]Kind{LeavingBegun, BackoffBegun}))
	server.Observe(1500*time.Millisecond, Notice{Leaving: true, Backoff: time.Second})
	g.Expect(table.TakeNews(1500*time.Millisecond)).To(BeEmpty(), "it goes on")
	g.Expect(table.Counts()).To(Equal(Counts{Leaving: 1, BackingOff: 1}))
	g.Expect(table.TakeNews(2400 * time.Millisecond)).To(BeEmpty())
	g.Expect(kinds(table.TakeNews(2500 * time.Millisecond))).To(Equal([]Kind{BackoffEnded}))
	server.Observe(3*time.Second, Notice{Backoff: time.Millisecond})
	g.Expect(kinds(table.TakeNews(4*time.Second))).To(Equal([]Kind{BackoffBegun, BackoffEnded}), "it was too short to be seen")
	for range 3 {
		server.Observe(5*time.Second, Notice{InvalidBackoff: "soon"})
	}
	g.Expect(table.TakeNews(5 * time.Second)).To(Equal([]News{{Kind: BackoffInvalid, Incarnation: incarnation, Text: "soon"}}))
	server.Observe(6*time.Second, Notice{InvalidBackoff: "later"})
	g.Expect(table.TakeNews(6 * time.Second)).To(BeEmpty())
	g.Expect(table.Counts()).To(Equal(Counts{Leaving: 1}))
	g.Expect(table.Leaving()).To(Equal([]model.Incarnation{incarnation}))
}
