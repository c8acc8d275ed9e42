package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/leader"
	"guavacrank.example/kvstore"
)

func TestCampaign(t *testing.T) {
	t.Run("elects one leader, and a new one when the leader stops", func(t *testing.T) {
		g := NewWithT(t)
		_, campaigns, stops := start(t, 4)
		g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(HaveLen(1))
		first := leaders(campaigns)[0]
		term := campaigns[first].State().Term
		stops[first]()
		g.Eventually(func() bool {
			for i, c := range campaigns {
				if i != first && c.State().Held && c.State().Term.Version > term.Version {
					return true
				}
			}
			return false
		}, "3s").Should(BeTrue())
	})

	t.Run("elects another leader after a resignation, and never one that resigned permanently", func(t *testing.T) {
		g := NewWithT(t)
		_, campaigns, _ := start(t, 3)
		g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(HaveLen(1))
		first := leaders(campaigns)[0]
		g.Expect(campaigns[first].Resign(context.Background(), true)).To(Succeed())
		g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(And(HaveLen(1), Not(ContainElement(first))))
		g.Consistently(func() bool { return campaigns[first].State().Held }, "500ms").Should(BeFalse())
	})

	t.Run("resolves a claim whose reply was lost", func(t *testing.T) {
		g := NewWithT(t)
		store, campaigns, _ := start(t, 0)
		store.loseReplies = true
		c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, Clock: func() time.Duration { return time.Second }})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go c.Run(ctx)
		c.Observe(nil, kvstore.Position{Version: 1})
		g.Eventually(func() bool { return c.State().Held }, "3s").Should(BeTrue())
		g.Expect(c.State().Term.Version).To(BeNumerically(">", 0))
		g.Expect(campaigns).To(BeEmpty())
	})

	t.Run("keeps the leadership without recent contact while the store is down, and loses it when another VM holds the key", func(t *testing.T) {
		g := NewWithT(t)
		store, campaigns, _ := start(t, 1)
		g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(HaveLen(1))
		store.mu.Lock()
		store.down = true
		store.mu.Unlock()
		contact := campaigns[0].State().LastContact
		time.Sleep(500 * time.Millisecond)
		g.Expect(campaigns[0].State().Held).To(BeTrue())
		g.Expect(campaigns[0].State().LastContact - contact).To(BeNumerically("<", 400*time.Millisecond))
		campaigns[0].Observe(value("another")(0), kvstore.Position{Version: 9})
		g.Expect(campaigns[0].State().Held).To(BeFalse())
	})
}

// A restored store has lost the leader's key, or names an earlier leader in it.
func TestLeaderClaimsAgainInTheNextEra(t *testing.T) {
	for name, restored := range map[string][]byte{"key lost": nil, "key of an earlier leader": value("earlier")(1)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store, campaigns, _ := start(t, 3)
			g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(HaveLen(1))
			first := leaders(campaigns)[0]
			g.Consistently(func() []int { return leaders(campaigns) }, "200ms").Should(ConsistOf(first)) // Until no other claim is on its way.
			store.setEra(1, nil)
			g.Eventually(func() kvstore.Era { return campaigns[first].State().Term.Era }, "3s").Should(BeEquivalentTo(1))
			store.setEra(2, restored)
			g.Eventually(func() kvstore.Era { return campaigns[first].State().Term.Era }, "1s", "5ms").Should(BeEquivalentTo(2))
			g.Consistently(func() []int { return leaders(campaigns) }, "500ms").Should(ConsistOf(first))
		})
	}
}

// The ID of the lost lease may be given to another VM, whose leadership must not end.
func TestLeaderOfAnEarlierEraDoesNotEndTheLeaseOfAnother(t *testing.T) {
	g := NewWithT(t)
	store, campaigns, _ := start(t, 1)
	store.setEra(1, nil)
	g.Eventually(func() kvstore.Era { return campaigns[0].State().Term.Era }, "3s").Should(BeEquivalentTo(1))
	store.mu.Lock()
	store.era = 2 // The lease with this ID is that of another VM now.
	store.mu.Unlock()
	g.Expect(campaigns[0].Resign(context.Background(), true)).To(Succeed())
	store.mu.Lock()
	defer store.mu.Unlock()
	g.Expect(store.leases).NotTo(BeEmpty())
}

// restoredStore is restored between the calls of a resignation, once it is armed. Another VM
// leads in the new era, with the same lease ID.
type restoredStore struct {
	*fakeStore
	armed atomic.Bool
}

func (s *restoredStore) restore() {
	if !s.armed.Swap(false) {
		return
	}
	s.setEra(2, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += 5
	s.version, s.value, s.holder = s.revision, value("another")(2), s.next
	s.leases[s.next] = time.Now().Add(time.Minute)
}

func (s *restoredStore) KeepAlive(ctx context.Context, lease kvstore.LeaseID) (kvstore.Era, error) {
	defer s.restore()
	return s.fakeStore.KeepAlive(ctx, lease)
}

func (s *restoredStore) CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, text []byte, lease kvstore.LeaseID) (kvstore.Position, error) {
	if expected > 0 {
		s.restore()
	}
	return s.fakeStore.CompareAndSwap(ctx, key, expected, text, lease)
}

func TestNoLaterLeaderIsPossibleBeforeTheEndOfTheLease(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 1}
	store.watch = func([]byte) {}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, MinLeaseTTL: leaseTTL, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(nil, kvstore.Position{Era: 1, Version: 1})
	g.Eventually(func() bool { return c.State().Held }, "3s").Should(BeTrue())
	first := c.State()
	g.Expect(first.LeaseEnd).To(Equal(first.LastContact + leaseTTL))
	g.Eventually(func() time.Duration { return c.State().LastContact }, "3s").Should(BeNumerically(">", first.LastContact))
	renewed := c.State()
	g.Expect(renewed.LeaseEnd).To(Equal(renewed.LastContact + leaseTTL))
}

func TestTheLeaseOfAClaimRunsFromTheCallThatTookIt(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 1, grantDelay: leaseTTL / 2}
	store.watch = func([]byte) { // The claim was applied; its lease is never renewed.
		store.mu.Lock()
		store.down = true
		store.mu.Unlock()
	}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, MinLeaseTTL: leaseTTL, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(nil, kvstore.Position{Era: 1, Version: 1})
	g.Eventually(func() bool { return c.State().Held }, "3s").Should(BeTrue())
	store.mu.Lock()
	defer store.mu.Unlock()
	g.Expect(started.Add(c.State().LeaseEnd)).To(BeTemporally("<=", store.leases[store.holder]))
}

func TestResignationDuringARestorationDoesNotEndAnotherLeadership(t *testing.T) {
	g := NewWithT(t)
	store := &restoredStore{fakeStore: &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 1, ttl: time.Minute}}
	store.watch = func([]byte) {}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, MinLeaseTTL: time.Minute, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(nil, kvstore.Position{Era: 1, Version: 1})
	g.Eventually(func() bool { return c.State().Held }, "3s").Should(BeTrue())
	time.Sleep(50 * time.Millisecond) // The first renewal is over.
	store.armed.Store(true)
	_ = c.Resign(context.Background(), true) // It may fail: the leadership ended with its era.
	store.mu.Lock()
	defer store.mu.Unlock()
	g.Expect(string(store.value)).To(Equal("2/another"))
	g.Expect(store.leases).To(HaveKey(store.holder))
}

// A restored store may keep the key of a leader that has ended, without expiring it.
func TestLeftoverOfAnEarlierEraIsReplaced(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 2, revision: 7, version: 7, value: value("ended")(1)}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(store.value, kvstore.Position{Era: 2, Version: 7})
	g.Consistently(func() bool { return c.State().Held }, leader.LeaseTTL).Should(BeFalse(), "its lease may not have expired yet")
	g.Eventually(func() bool { return c.State().Held }, 8*leader.LeaseTTL).Should(BeTrue())
}

func TestObservationOfTheTimeBeforeTheOwnClaimDoesNotEndTheLeadership(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 2, revision: 7, ttl: 2 * leader.LeaseTTL}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(nil, kvstore.Position{Era: 2, Version: 7})
	g.Eventually(func() bool { return c.State().Held }, 2*leader.LeaseTTL).Should(BeTrue())
	c.Observe(nil, kvstore.Position{Era: 2, Version: 7})
	c.Observe(value("earlier")(1), kvstore.Position{Era: 2, Version: 5})
	g.Expect(c.State().Held).To(BeTrue())
	c.Observe(value("later")(2), kvstore.Position{Era: 2, Version: 20})
	g.Expect(c.State().Held).To(BeFalse())
}

func TestReclaimWhoseReplyWasLostIsFoundAgain(t *testing.T) {
	g := NewWithT(t)
	store, campaigns, _ := start(t, 1)
	store.setEra(1, nil)
	g.Eventually(func() kvstore.Era { return campaigns[0].State().Term.Era }, "3s").Should(BeEquivalentTo(1))
	store.mu.Lock()
	store.loseReplies, store.failReads = true, 1
	store.mu.Unlock()
	store.setEra(2, nil)
	g.Eventually(func() kvstore.Era { return campaigns[0].State().Term.Era }, "3s").Should(BeEquivalentTo(2))
	g.Expect(campaigns[0].State().Held).To(BeTrue())
	store.mu.Lock()
	defer store.mu.Unlock()
	g.Expect(store.writes).To(Equal(2), "the first claim of the era was applied")
}
